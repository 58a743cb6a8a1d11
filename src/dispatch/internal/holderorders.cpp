#include "cellholder.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

auto CellHolder::LeaseEnd(const std::string& aWorker, MonotonicTime aNow) const
  -> std::int64_t
{
  const auto it = mClocks.find(aWorker);
  if (it == mClocks.end() || it->second.mClockMs == 0) {
    return 0;
  }
  const auto since =
    std::chrono::duration_cast<Milliseconds>(aNow - it->second.mAt);
  return it->second.mClockMs + since.count() +
         LeaseTime(mContext.mSettings).count();
}

/** A start carries the lease that the worker has: one that is sent to a worker
 * that was lost unnoticed must not delay the restart of the worker's tasks.
 * Half a lease is granted, so that the task outlives a renewal without a reply.
 */
auto CellHolder::LeaseEndOfStart(const std::string& aWorker,
                                 MonotonicTime aNow) const -> std::int64_t
{
  const auto it = mClocks.find(aWorker);
  const auto granted = it == mClocks.end() ? 0 : it->second.mLeaseEndMs;
  return std::max(granted,
                  LeaseEnd(aWorker, aNow) -
                    LeaseTime(mContext.mSettings).count() / 2);
}

/** Whether a worker's clock can have the given value now. A clock that starts
 * anew shows that the worker has restarted. */
auto CellHolder::FitsClock(const std::string& aWorker,
                           std::int64_t aClockMs,
                           MonotonicTime aNow) const -> bool
{
  const auto it = mClocks.find(aWorker);
  if (it == mClocks.end() || it->second.mClockMs == 0 || aClockMs == 0) {
    return true;
  }
  const auto since =
    std::chrono::duration_cast<Milliseconds>(aNow - it->second.mAt);
  const auto latest =
    it->second.mClockMs + MaxLocalDuration(since + kOrderTimeout).count();
  const auto earliest = it->second.mClockMs - 2 * kOrderTimeout.count();
  return aClockMs >= earliest && aClockMs <= latest;
}

auto CellHolder::UpdateClock(const std::string& aWorker,
                             std::int64_t aClockMs,
                             MonotonicTime aNow) -> void
{
  const auto found = mState.mWorkers.find(aWorker);
  if (found == mState.mWorkers.end()) {
    return;
  }
  auto& clock = mClocks[aWorker];
  if (clock.mClockMs == 0 && aClockMs > 0) {
    // A previous holder may have granted a lease, or a late call to the former
    // incarnation, whose lease end lies far ahead on the clock of this one.
    clock.mForeignLeaseEndMs = aClockMs + mContext.mSettings.mLeaseMs;
  }
  if (aClockMs > 0 && aClockMs >= clock.mClockMs) {
    clock.mClockMs = aClockMs;
    clock.mAt = aNow;
    clock.mLeaseCalls = 0;
  }
  if (clock.mClockMs == 0) {
    return;
  }
  const auto leaseEnd = std::max(clock.mLeaseEndMs, clock.mForeignLeaseEndMs);
  const auto left =
    Milliseconds(std::max<std::int64_t>(0, leaseEnd - clock.mClockMs));
  const auto expiredAt = clock.mAt + MaxLocalDuration(left) + kLeaseMargin;
  auto& worker = *found->second;
  // Earlier leases of a worker whose runs are not known may last longer.
  worker.mLeasesExpiredAt =
    worker.mIsKnown ? expiredAt : std::max(worker.mLeasesExpiredAt, expiredAt);
}

auto CellHolder::SendOrder(cell::Order aOrder) -> net::Task<void>
{
  const auto self = shared_from_this();
  const auto found = mState.mWorkers.find(aOrder.mWorker);
  if (found == mState.mWorkers.end() || mPhase == HolderPhase::Ended) {
    co_return;
  }
  if (!CanSendOrders()) {
    // The process was suspended after the decision.
    cell::ApplyOutcome(
      mState, aOrder, cell::OrderOutcome::Refused, base::MonotonicClock::now());
    co_return;
  }
  mLastOrderAt = mContext.mBootNow();
  const auto now = base::MonotonicClock::now();
  WorkerCall call;
  call.mAddress = found->second->mRecord.mAddress;
  call.mWorker = aOrder.mWorker;
  call.mToken = TokenFor(aOrder.mWorker);
  call.mDeadline = now + kOrderTimeout;
  call.mIncarnationStartMs = found->second->mIncarnationStartMs;
  const auto step = TokenStepOf(aOrder.mWorker);
  const auto leaseEnd = LeaseEndOfStart(aOrder.mWorker, now);
  if (aOrder.mKind == cell::OrderKind::Start) {
    auto& clock = mClocks[aOrder.mWorker];
    clock.mLeaseEndMs = std::max(clock.mLeaseEndMs, leaseEnd);
    ++clock.mLeaseCalls;
    UpdateClock(aOrder.mWorker, 0, now);
    cell::NoteLateStart(*found->second, call.mDeadline);
  }
  auto reply = co_await mContext.mWorkers.Send(call, aOrder, leaseEnd);
  if (aOrder.mKind == cell::OrderKind::Start &&
      reply.mOutcome == cell::OrderOutcome::Unknown) {
    if (const auto it = mState.mWorkers.find(aOrder.mWorker);
        it != mState.mWorkers.end()) {
      cell::NoteLateStart(*it->second,
                          base::MonotonicClock::now() + kMaxOrderDelay);
    }
  }
  if (mPhase == HolderPhase::Ended || step != TokenStepOf(aOrder.mWorker)) {
    co_return;
  }
  if (reply.mOutcome == cell::OrderOutcome::Superseded) {
    // A worker that was transferred meanwhile has another holder; the cell
    // itself may still be held.
    if (mState.mWorkers.contains(aOrder.mWorker)) {
      EndAsRefused(call);
    }
    co_return;
  }
  if (reply.mOutcome == cell::OrderOutcome::OtherIncarnation) {
    // The clock is that of the worker that replied.
    reply.mClockMs = 0;
    const auto it = mState.mWorkers.find(aOrder.mWorker);
    if (it != mState.mWorkers.end() &&
        it->second->mRepliedFrom != call.mAddress) {
      // The worker has never replied there; its runs may go on elsewhere.
      reply.mOutcome = cell::OrderOutcome::Restarted;
      it->second->mIsKnown = false;
    }
  }
  const auto isWithoutReply =
    reply.mOutcome == cell::OrderOutcome::Unknown ||
    reply.mOutcome == cell::OrderOutcome::Restarted ||
    (reply.mOutcome == cell::OrderOutcome::Refused && reply.mClockMs == 0);
  if (const auto clock = mClocks.find(aOrder.mWorker);
      isWithoutReply && clock != mClocks.end()) {
    clock->second.mIsUnresponsive = true;
  }
  const auto repliedAt = base::MonotonicClock::now();
  if (FitsClock(aOrder.mWorker, reply.mClockMs, repliedAt)) {
    UpdateClock(aOrder.mWorker, reply.mClockMs, repliedAt);
  } else if (const auto it = mState.mWorkers.find(aOrder.mWorker);
             it != mState.mWorkers.end()) {
    cell::SuspectRestart(*it->second, repliedAt);
    ScheduleDecision();
  }
  cell::ApplyOutcome(mState, aOrder, reply.mOutcome, repliedAt, reply.mDetail);
  if (reply.mOutcome != cell::OrderOutcome::Done ||
      aOrder.mKind == cell::OrderKind::Stop) {
    ScheduleDecision();
  }
}

} // namespace eelgrasspost::dispatch
