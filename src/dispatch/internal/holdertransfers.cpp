#include "cellholder.h"
#include "controlkeys.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** A long-running task that has waited for this time makes its cell request a
 * worker, as its users should have the task back within 6 s. */
constexpr auto kWorkerRequestDelay = Milliseconds(600);
/** Minimum time between two requests; a transfer takes less than 1 s. */
constexpr auto kWorkerRequestInterval = Milliseconds(500);
/** Timeout for draining a worker that is to be transferred. */
constexpr auto kWorkerDrainTimeout = Milliseconds(2500);
constexpr auto kWorkerDrainPollInterval = Milliseconds(25);

} // namespace

auto CellHolder::RaiseMinToken(const std::string& aWorker, std::uint64_t aToken)
  -> void
{
  auto& token = mMinTokens[aWorker];
  token = std::max(token, aToken);
  mLeavingWorkers.erase(aWorker);
}

auto CellHolder::TokenFor(const std::string& aWorker) const -> std::uint64_t
{
  const auto it = mMinTokens.find(aWorker);
  const auto version =
    it == mMinTokens.end() ? mRowVersion : std::max(mRowVersion, it->second);
  return version * kTokensPerVersion +
         std::min(TokenStepOf(aWorker), kTokensPerVersion - 1);
}

auto CellHolder::TokenStepOf(const std::string& aWorker) const -> std::uint64_t
{
  const auto it = mTokenSteps.find(aWorker);
  return it == mTokenSteps.end() ? 0 : it->second.mStep;
}

auto CellHolder::RaiseTokenForIncarnation(cell::Worker& aWorker,
                                          const cell::WorkerReport& aReport)
  -> bool
{
  const auto startMs = aReport.mIncarnationStartMs;
  auto& step = mTokenSteps[aWorker.mRecord.mId];
  const auto isNew = aWorker.mIncarnationStartMs != 0 && startMs != 0 &&
                     startMs != aWorker.mIncarnationStartMs &&
                     startMs != step.mIncarnationStartMs;
  if (isNew) {
    LogRestart(aWorker, aReport);
    ++step.mStep;
    step.mIncarnationStartMs = startMs;
    aWorker.mIsKnown = false;
    mClocks.erase(aWorker.mRecord.mId);
    CountLateLeases(aWorker, aReport);
  }
  return isNew;
}

/** A call to the former incarnation that was executed late may have given the
 * new one a lease, also if it never replies again. */
auto CellHolder::CountLateLeases(cell::Worker& aWorker,
                                 const cell::WorkerReport& aReport) -> void
{
  const auto now = base::MonotonicClock::now();
  if (!aReport.mRunning.empty() || now < aWorker.mLateStartsUntil) {
    const auto longest = Milliseconds(mContext.mSettings.mLeaseMs);
    aWorker.mLeasesExpiredAt = std::max(
      aWorker.mLeasesExpiredAt, now + MaxLocalDuration(longest) + kLeaseMargin);
  }
}

auto CellHolder::LogRestart(const cell::Worker& aWorker,
                            const cell::WorkerReport& aReport) -> void
{
  const auto& id = aWorker.mRecord.mId;
  const auto clock = mClocks.find(id);
  const auto sinceContact = std::chrono::duration_cast<Milliseconds>(
    base::MonotonicClock::now() - aWorker.mLastContact);
  mContext.mLog.Record(
    kWorkerRestarted,
    { { "cell", mRow.mName },
      { "worker", id },
      { "former_start_ms", aWorker.mIncarnationStartMs },
      { "start_ms", aReport.mIncarnationStartMs },
      { "clock_ms", aReport.mClockMs },
      { "since_contact_ms", sinceContact.count() },
      { "lease_calls", clock == mClocks.end() ? 0 : clock->second.mLeaseCalls },
      { "runs", static_cast<std::int64_t>(aReport.mRunning.size()) },
      { "lease_ms", mContext.mSettings.mLeaseMs } });
}

auto CellHolder::RequestWorkers() -> void
{
  const auto now = base::MonotonicClock::now();
  if (mIsRequestingWorker || mIsShuttingDown || !CanSendOrders() ||
      now - mWorkerRequestedAt < kWorkerRequestInterval) {
    return;
  }
  const auto starved = cell::FindStarved(mState, now, kWorkerRequestDelay);
  if (!starved.empty()) {
    mIsRequestingWorker = true;
    mWorkerRequestedAt = now;
    net::SpawnTask(
      mContext.mExecutor,
      RequestWorker({ mRow.mName, cell::NeedOf(*starved.front()) }));
  }
}

auto CellHolder::RequestWorker(CapacityRequest aRequest) -> net::Task<void>
{
  const auto self = shared_from_this();
  for (const auto& it : mContext.mFindTransferSources()) {
    if (it == mRow.mName) {
      continue;
    }
    JobCommand command;
    command.mKind = JobCommandKind::TransferWorker;
    command.mCell = it;
    command.mRequest = aRequest;
    command.mTimeoutMs = (kWorkerDrainTimeout + kStoreTimeout).count();
    const auto reply = co_await mContext.mExecute(std::move(command));
    if (reply.mOutcome == JobOutcome::Done) {
      mContext.mLog.Record(kWorkerTransferred,
                           { { "cell", mRow.mName }, { "lender", it } });
      break;
    }
    if (mPhase == HolderPhase::Ended) {
      break;
    }
  }
  mIsRequestingWorker = false;
}

/** Drains the worker and removes it from the cell's members before the control
 * table assigns it to its new cell. If this holder ends in between, the worker
 * remains in the cell to which its hash assigns it. */
auto CellHolder::TransferWorker(JobCommand aCommand) -> net::Task<JobReply>
{
  const auto& request = aCommand.mRequest;
  const auto now = base::MonotonicClock::now();
  auto* worker = cell::FindTransferable(
    mState, request.mNeed.mService, request.mNeed.mResources, now);
  if (!worker || mIsShuttingDown || !CanSendOrders() ||
      !mState.mUnreconciledWorkers.empty() || now < mMemberWritesSettledAt) {
    co_return JobReply{ JobOutcome::Refused };
  }
  const auto id = worker->mRecord.mId;
  cell::PrepareTransfer(*worker);
  ScheduleDecision();
  auto isEmpty = false;
  while (!isEmpty && base::MonotonicClock::now() - now < kWorkerDrainTimeout) {
    co_await net::Sleep(kWorkerDrainPollInterval);
    const auto it = mState.mWorkers.find(id);
    if (mPhase != HolderPhase::Active || it == mState.mWorkers.end()) {
      co_return JobReply{ JobOutcome::Refused };
    }
    isEmpty = it->second->mRuns.empty() &&
              it->second->mSeenEnds <= it->second->mStoredEnds;
  }
  if (!isEmpty) {
    mState.mWorkers.at(id)->mIsTransferring = false;
    co_return JobReply{ JobOutcome::Refused };
  }
  // The minimum token stays: the worker refuses lower ones if it returns.
  mLeavingWorkers[id] = mState.mWorkers.at(id)->mRecord;
  mState.mWorkers.erase(id);
  for (auto n = 0; n < 3 && mMembers.contains(id); ++n) {
    co_await WriteMembers();
  }
  if (mPhase != HolderPhase::Active || mMembers.contains(id)) {
    KeepWorker(id);
    co_return JobReply{ JobOutcome::Refused };
  }
  // A holder that claims this cell afterwards has the worker, as has the cell
  // of a later transfer.
  const auto transferKey =
    RowKey{ std::string(kControlTable), TransferKey(id) };
  const auto known = mMinTokens.find(id);
  StoreTransaction transaction;
  transaction.mExpected = {
    { { std::string(kControlTable), CellKey(mRow.mName) }, mRowVersion },
    { transferKey, known == mMinTokens.end() ? 0 : known->second }
  };
  transaction.mWrites.push_back(
    { transferKey,
      net::Encode(WorkerTransferRow{ id, request.mRequestingCell }) });
  const auto reply = co_await mContext.mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  mContext.mLog.Record(
    kWorkerLent,
    { { "worker", id },
      { "from", mRow.mName },
      { "to", request.mRequestingCell },
      { "term", static_cast<std::int64_t>(mRow.mTerm) },
      { "outcome", static_cast<std::int64_t>(reply.mOutcome) },
      { "version", static_cast<std::int64_t>(reply.mVersion) } });
  if (reply.mOutcome == StoreOutcome::Conflict) {
    CheckClaim(reply);
  }
  if (reply.mOutcome == StoreOutcome::Refused ||
      reply.mOutcome == StoreOutcome::Rejected) {
    KeepWorker(id);
  }
  co_return JobReply{ reply.mOutcome == StoreOutcome::Done
                        ? JobOutcome::Done
                        : JobOutcome::Refused };
}

/** Uses a worker again that was not transferred after all, as it was listed
 * last. */
auto CellHolder::KeepWorker(const std::string& aWorker) -> void
{
  const auto leaving = mLeavingWorkers.extract(aWorker);
  if (mPhase == HolderPhase::Active && leaving && leaving.mapped()) {
    UpdateWorker(*leaving.mapped());
  }
}

/** Ends the holder if a conflict shows that its cell was claimed again. */
auto CellHolder::CheckClaim(const StoreReply& aReply) -> void
{
  for (const auto& it : aReply.mRows) {
    const auto isClaim =
      it.mTable == kControlTable && it.mKey == CellKey(mRow.mName);
    if (isClaim && it.mVersion > mRowVersion) {
      End();
    }
  }
}

} // namespace eelgrasspost::dispatch
