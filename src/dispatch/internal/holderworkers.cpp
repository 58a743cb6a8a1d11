#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "cellchoice.h"
#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/evacuation.h"
#include "eelgrasspost/cell/load.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

auto CellHolder::End() -> void
{
  mPhase = HolderPhase::Ended;
  mFlushTimer->cancel();
}

auto CellHolder::Shutdown() -> net::Task<void>
{
  const auto self = shared_from_this();
  mIsShuttingDown = true;
  if (mPhase == HolderPhase::Active) {
    co_await Flush();
  }
  End();
}

/** A worker refused a call, as it has seen a higher token. */
auto CellHolder::EndAsRefused(const WorkerCall& aCall) -> void
{
  mContext.mLog.Record(
    kHolderRefused,
    { { "cell", mRow.mName },
      { "worker", aCall.mWorker },
      { "term", static_cast<std::int64_t>(mRow.mTerm) },
      { "token", static_cast<std::int64_t>(aCall.mToken) } });
  End();
}

auto CellHolder::UpdateWorker(const cell::WorkerRecord& aRecord) -> void
{
  if (const auto it = mLeavingWorkers.find(aRecord.mId);
      it != mLeavingWorkers.end()) {
    // This entry may not have read yet that the worker is in another cell.
    it->second = aRecord;
    return;
  }
  const auto now = base::MonotonicClock::now();
  for (auto& [id, it] : mState.mWorkers) {
    const auto isReplaced = id != aRecord.mId && !it->mIsListed &&
                            it->mRepliedFrom == aRecord.mAddress;
    if (isReplaced) {
      // An address is reused only after its previous worker has left.
      it->mLeasesExpiredAt = now;
      it->mIsReplaced = true;
    }
  }
  if (!mState.mWorkers.contains(aRecord.mId) &&
      mTokenSteps.contains(aRecord.mId)) {
    // It was removed; it may have restarted unnoticed.
    ++mTokenSteps[aRecord.mId].mStep;
    mClocks.erase(aRecord.mId);
  }
  const auto& worker = cell::UpdateWorker(mState, aRecord, now);
  if (mPhase == HolderPhase::Active) {
    if (!worker.mIsKnown && IsMember(aRecord.mId)) {
      // The poll in flight may wait for an end of the previous incarnation.
      net::SpawnTask(mContext.mExecutor, PollOnce(aRecord.mId));
    }
    StartPolling(aRecord.mId);
    ScheduleDecision();
  }
}

auto CellHolder::UnlistWorker(const std::string& aId) -> void
{
  if (const auto it = mLeavingWorkers.find(aId); it != mLeavingWorkers.end()) {
    it->second.reset();
  }
  cell::UnlistWorker(mState, aId);
  if (mPhase == HolderPhase::Active) {
    // This holder may end before the next tick.
    const auto now = base::MonotonicClock::now();
    cell::ExpireWorkers(mState, now);
    RemoveDepartedMembers(now);
  }
}

auto CellHolder::SetEvacuatedDomains(const cell::DomainSet& aDomains) -> void
{
  if (aDomains == mState.mEvacuatedDomains) {
    return;
  }
  cell::SetEvacuatedDomains(mState, aDomains);
  const auto summary = cell::SummarizeEvacuation(mState);
  mContext.mLog.Record(
    kEvacuationApplied,
    { { "cell", mRow.mName },
      { "domains", base::Join({ aDomains.begin(), aDomains.end() }, ",") },
      { "workers", static_cast<std::int64_t>(summary.mWorkers) },
      { "runs", static_cast<std::int64_t>(summary.mRuns) },
      { "waiting_tasks", static_cast<std::int64_t>(summary.mWaitingTasks) },
      { "held_back_starts",
        static_cast<std::int64_t>(summary.mHeldBackStarts) } });
  ScheduleDecision();
}

auto CellHolder::StartPolling(const std::string& aWorker) -> void
{
  if (mPolledWorkers.insert(aWorker).second) {
    net::SpawnTask(mContext.mExecutor, PollLoop(aWorker));
  }
}

auto CellHolder::PollWorker(const std::string& aWorker, std::int64_t aWaitMs)
  -> net::Task<bool>
{
  const auto found = mState.mWorkers.find(aWorker);
  if (found == mState.mWorkers.end()) {
    co_return false;
  }
  const auto sentAt = base::MonotonicClock::now();
  const auto sentAtBoot = mContext.mBootNow();
  LeaseRenewal renewal;
  renewal.mWaitMs = aWaitMs;
  // The next incarnation would forget its own ends of these numbers.
  const auto mayAcknowledge =
    found->second->mIsKnown && !found->second->mMayHaveRestartedSince;
  renewal.mStoredEnds = mayAcknowledge ? found->second->mStoredEnds : 0;
  // A renewal without a reply may still be applied. After a call without a
  // reply the worker gets no further renewal, so that its lease ends soon.
  auto& clock = mClocks[aWorker];
  if (CanSendOrders() && !clock.mIsUnresponsive) {
    renewal.mLeaseEndMs = LeaseEnd(aWorker, sentAt);
    mLastOrderAt = mContext.mBootNow();
    clock.mLeaseEndMs = std::max(clock.mLeaseEndMs, renewal.mLeaseEndMs);
    clock.mLeaseCalls += renewal.mLeaseEndMs > 0 ? 1 : 0;
    UpdateClock(aWorker, 0, sentAt);
  }
  const auto step = TokenStepOf(aWorker);
  WorkerCall call;
  call.mAddress = found->second->mRecord.mAddress;
  call.mWorker = aWorker;
  call.mToken = TokenFor(aWorker);
  call.mDeadline = sentAt + Milliseconds(aWaitMs) + kOrderTimeout;
  if (renewal.mLeaseEndMs > 0 || renewal.mStoredEnds > 0) {
    call.mIncarnationStartMs = found->second->mIncarnationStartMs;
  }
  const auto reply = co_await mContext.mWorkers.Renew(call, renewal);
  const auto it = mState.mWorkers.find(aWorker);
  if (mPhase == HolderPhase::Ended || it == mState.mWorkers.end()) {
    co_return false;
  }
  if (step != TokenStepOf(aWorker)) {
    // The reply may come from an earlier incarnation.
    co_return true;
  }
  auto& worker = *it->second;
  const auto now = base::MonotonicClock::now();
  if (reply.mOutcome == cell::OrderOutcome::Done) {
    NoteContact(mContacts,
                aWorker,
                reply.mReport.mIncarnationStartMs,
                sentAtBoot,
                mContext.mBootNow());
    NoteAccepted(aWorker);
  }
  switch (reply.mOutcome) {
    case cell::OrderOutcome::Done:
      break;
    case cell::OrderOutcome::Superseded:
      EndAsRefused(call);
      co_return false;
    case cell::OrderOutcome::OtherIncarnation:
      if (worker.mRepliedFrom != call.mAddress) {
        // It may run at another address, which the record does not tell yet.
        worker.mIsKnown = false;
        co_return false;
      }
      cell::DropWorkerRuns(
        mState, worker, cell::RunsLostReason::AddressReused, now);
      worker.mIsKnown = false;
      mClocks.erase(aWorker);
      ScheduleDecision();
      co_return false;
    case cell::OrderOutcome::Restarted:
      worker.mMayHaveRestartedSince = now;
      mClocks[aWorker].mIsUnresponsive = true;
      // Without a lease, the next poll is for any incarnation.
      co_return co_await PollWorker(aWorker, 0);
    default:
      worker.mMayHaveRestartedSince = now;
      mClocks[aWorker].mIsUnresponsive = true;
      if (now < call.mDeadline) {
        cell::NoteUnreachable(worker, now);
      }
      co_return false;
  }
  if (RaiseTokenForIncarnation(worker, reply.mReport)) {
    // What runs there is known once it has accepted the new token.
    co_return co_await PollWorker(aWorker, 0);
  }
  worker.mRepliedFrom = call.mAddress;
  const auto seen = worker.mSeenEnds;
  cell::ApplyReport(mState, worker, reply.mReport, sentAt, now);
  UpdateClock(aWorker, reply.mReport.mClockMs, now);
  mClocks[aWorker].mIsUnresponsive = false;
  ScheduleDecision();
  constexpr auto kImmediateReply = Milliseconds(20);
  const auto isRelisted =
    worker.mSeenEnds == seen && now - sentAt < kImmediateReply;
  const auto isUnstored = worker.mSeenEnds > worker.mStoredEnds;
  if (aWaitMs > 0 && (isRelisted || isUnstored)) {
    // The worker would list ends that are not stored yet again at once.
    co_await net::Sleep(kUnstoredEndsPollInterval);
  }
  co_return true;
}

auto CellHolder::PollOnce(std::string aWorker) -> net::Task<void>
{
  const auto self = shared_from_this();
  co_await PollWorker(aWorker, 0);
}

auto CellHolder::PollLoop(std::string aWorker) -> net::Task<void>
{
  const auto self = shared_from_this();
  while (mPhase == HolderPhase::Active) {
    const auto it = mState.mWorkers.find(aWorker);
    if (it == mState.mWorkers.end()) {
      break;
    }
    if (!IsMember(aWorker)) {
      co_await WriteMembers();
      if (!IsMember(aWorker)) {
        co_await net::Sleep(kRetryInterval);
      }
      // The worker may have left the cell meanwhile.
      continue;
    }
    const auto& worker = *it->second;
    const auto isUrgent = !mClocks.contains(aWorker) || !worker.mIsKnown ||
                          worker.mMayHaveRestartedSince;
    const auto hasBestEffort = worker.mBestEffortCpuMillis > 0;
    const auto wait = isUrgent        ? 0
                      : hasBestEffort ? kBestEffortPollWaitMs
                                      : kRenewalWaitMs;
    if (!co_await PollWorker(aWorker, wait)) {
      co_await net::Sleep(kRetryInterval);
    }
  }
  mPolledWorkers.erase(aWorker);
  mClocks.erase(aWorker);
}

auto CellHolder::ScheduleDecision() -> void
{
  if (mIsDecisionScheduled || mPhase != HolderPhase::Active) {
    return;
  }
  mIsDecisionScheduled = true;
  net::asio::post(mContext.mExecutor,
                  [self = shared_from_this()] { self->MakeDecisions(); });
}

auto CellHolder::UpdateWorkerListState() -> void
{
  const auto state = mContext.mWorkerListState();
  if (state == mState.mWorkerListState) {
    return;
  }
  mState.mWorkerListState = state;
  mContext.mLog.Record(
    kWorkerListStateChanged,
    { { "cell", mRow.mName },
      { "state", base::NameOf(cell::kWorkerListStateNames, state) } });
}

auto CellHolder::MakeDecisions() -> void
{
  mIsDecisionScheduled = false;
  LogEvents();
  if (!CanSendOrders() || mIsShuttingDown) {
    return;
  }
  UpdateWorkerListState();
  const auto now = base::MonotonicClock::now();
  for (auto& it : cell::CollectOrders(mState, now)) {
    net::SpawnTask(mContext.mExecutor, SendOrder(std::move(it)));
  }
  LogEvents();
  auto needsFlush = !mState.mDirty.empty();
  for (auto& [id, it] : mState.mWorkers) {
    needsFlush = needsFlush || HighestStorableEnd(*it) > it->mStoredEnds;
    if (!it->mForeignEnds.empty() && mSettlingWorkers.insert(id).second) {
      net::SpawnTask(mContext.mExecutor, SettleForeignEnds(id));
    }
    if (it->mNeedsPoll && it->mIsKnown) {
      it->mNeedsPoll = false;
      net::SpawnTask(mContext.mExecutor, PollOnce(id));
    }
  }
  for (const auto& it : mState.mDirty) {
    const auto* job = cell::FindJob(mState, it);
    mIsFlushUrgent = mIsFlushUrgent || (job && cell::IsFinal(job->mState));
  }
  if (needsFlush) {
    // A slow store takes few transactions. Progress is batched more with rising
    // commit times, so that submissions do not wait for it.
    const auto at =
      now + (mIsFlushUrgent ? std::max(kUrgentFlushDelay, mCommitTime / 4)
                            : std::max(kFlushDelay, mCommitTime * 2));
    if (at < mFlushTimer->expiry()) {
      mFlushTimer->expires_at(at);
    }
  }
}

auto CellHolder::LogEvents() -> void
{
  for (const auto& it : mState.mEvents) {
    std::vector<base::EventField> fields = {
      { "cell", mRow.mName },
      { "subject", it.mSubject },
      { "worker", it.mWorker },
      { "attempt", static_cast<std::int64_t>(it.mAttempt) },
      { "token", static_cast<std::int64_t>(mRowVersion) },
      { "reason", it.mReason },
      { "value", it.mValue }
    };
    if (it.mSinceContact) {
      fields.push_back({ "since_contact_ms", it.mSinceContact->count() });
    }
    if (!it.mDetail.empty()) {
      fields.push_back({ "detail", it.mDetail });
    }
    mContext.mLog.Record(*FindLogEvent(it.mKind), fields);
    if (it.mKind == cell::CellEventKind::TaskPlaced && it.mSinceContact) {
      mLostRunTime.Record(static_cast<double>(
        std::chrono::microseconds(*it.mSinceContact).count()));
    }
  }
  mState.mEvents.clear();
}

auto CellHolder::Tick() -> net::Task<void>
{
  const auto self = shared_from_this();
  constexpr auto kRetentionMargin = Milliseconds(30000);
  while (mPhase == HolderPhase::Active) {
    const auto now = base::MonotonicClock::now();
    cell::OpenDueOccurrences(mState, now, base::WallClockMs());
    cell::CheckRuns(mState, now);
    cell::ExpireWorkers(mState, now);
    cell::Decay(mState.mInterference,
                std::chrono::duration<double>(kTickInterval).count());
    cell::RemoveExpiredReservations(mState, now);
    if (mContext.mSettings.mHasAdmission || mContext.mSettings.mHasOverflow) {
      cell::UpdateRates(mState, now);
      mLoad = cell::MeasureLoad(mState, now);
    }
    RemoveDepartedMembers(now);
    RetrySetAsideJobs(now);
    CheckClaimIfDue(now);
    MigrateJobs();
    RequestWorkers();
    MoveStarvedTasks();
    ReturnStarvedTasks();
    LogWaitingTasks();
    const auto keep =
      Milliseconds(mContext.mSettings.mStatusRetentionMs) + kRetentionMargin;
    while (!mFinishedOrder.empty() &&
           now - mFinishedOrder.front().first > keep) {
      mFinished.erase(mFinishedOrder.front().second);
      mFinishedOrder.pop_front();
    }
    ScheduleDecision();
    co_await net::Sleep(kTickInterval);
  }
}

auto CellHolder::ExportEstimates(std::size_t aMax)
  -> std::vector<InterferenceEstimate>
{
  std::vector<InterferenceEstimate> out;
  auto& table = mState.mInterference;
  const auto n = table.mImages.size();
  for (std::size_t i = 0; i < n * n && out.size() < aMax; ++i) {
    const auto at = mNextExportedEstimate++ % (n * n);
    const auto& pair = table.mPairs[at / n][at % n];
    if (cell::IsLearned(pair)) {
      const auto learned = cell::TakeUnsent(table, at / n, at % n);
      out.push_back({ table.mImages[at / n],
                      table.mImages[at % n],
                      static_cast<float>(pair.mPressure),
                      static_cast<float>(pair.mVariance),
                      static_cast<float>(learned.mPrecision),
                      static_cast<float>(learned.mWeightedPressure),
                      static_cast<float>(learned.mMinVariance) });
    }
  }
  return out;
}

auto CellHolder::ImportEstimates(
  const std::vector<InterferenceEstimate>& aEstimates) -> void
{
  auto& table = mState.mInterference;
  for (const auto& it : aEstimates) {
    const auto bestEffort = cell::ImageIndex(table, it.mBestEffortImage);
    const auto serving = cell::ImageIndex(table, it.mServingImage);
    cell::AddInformation(table,
                         bestEffort,
                         serving,
                         { it.mLearnedPrecision,
                           it.mLearnedWeightedPressure,
                           it.mLearnedMinVariance });
    cell::AdoptPairEstimate(table,
                            bestEffort,
                            serving,
                            cell::MakePairEstimate(it.mPressure, it.mVariance));
  }
}

auto CellHolder::GetStatus() const -> CellStatus
{
  auto out = MakeCellStatus(mState, base::MonotonicClock::now());
  out.mToken = mRowVersion;
  out.mLoad = mLoad;
  out.mIsActive = CanSendOrders() && !mIsShuttingDown;
  return out;
}

} // namespace eelgrasspost::dispatch
