#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cellholder.h"
#include "claiming.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "rangepages.h"
#include "storeaccess.h"
#include "whenall.h"

namespace eelgrasspost::dispatch {

namespace {

/** Attempt numbers per holder; the term forms the digits above. */
constexpr std::uint64_t kAttemptsPerTerm = 1'000'000;

} // namespace

CellHolder::CellHolder(HolderContext aContext,
                       CellRow aRow,
                       std::uint64_t aRowVersion)
  : mContext(std::move(aContext))
  , mLostRunTime(mContext.mMetrics.FindHistogram("lost_run_time_us"))
  , mRow(std::move(aRow))
  , mRowVersion(aRowVersion)
  , mLastOrderAt(mContext.mBootNow())
  , mConfirmedAt(mContext.mBootNow())
  , mFlushTimer(std::make_unique<net::asio::steady_timer>(mContext.mExecutor,
                                                          MonotonicTime::max()))
{
  mState.mName = mRow.mName;
  mState.mAttemptBase = mRow.mTerm * kAttemptsPerTerm;
  mState.mPolicy.mLeaseMs = LeaseTime(mContext.mSettings).count();
  mState.mPolicy.mPlacementDelay = kPlacementDelay;
  mState.mPolicy.mCheckpointInterval =
    Milliseconds(mContext.mSettings.mCheckpointMs);
  mState.mPolicy.mRestoreTime = Milliseconds(mContext.mSettings.mRestoreMs);
  if (mContext.mSettings.mCheckpointMs > 0) {
    mState.mPolicy.mMaxUnreported =
      Milliseconds(mContext.mSettings.mHarmMs / kUnreportedPartOfHarm);
  }
  mState.mPolicy.mLooksAhead = mContext.mSettings.mLooksAhead;
  mState.mPolicy.mStartsDuplicates = mContext.mSettings.mStartsDuplicates;
  // Half of the limit leaves a margin for clock differences.
  mState.mPolicy.mEarlyMs = mContext.mSettings.mEarlyMs / 2;
  mState.mPolicy.mMaxOverTarget =
    std::max(Milliseconds(0),
             Milliseconds(mContext.mSettings.mHarmMs / 2) - kTailReportDelay);
}

auto CellHolder::PartitionOf(std::string_view aId) const -> std::uint32_t
{
  return static_cast<std::uint32_t>(HashOf(aId) % mContext.mPartitions);
}

auto PartitionName(std::uint32_t aPartition) -> std::string
{
  return base::Cat("p", aPartition);
}

auto CellHolder::FenceOf(std::uint32_t aPartition) const -> RowExpectation
{
  return { { std::string(kFenceTable), mRow.mName }, mFences.at(aPartition) };
}

auto CellHolder::JobKey(std::string_view aId) const -> std::string
{
  return base::Cat(mRow.mName, "/", aId);
}

/** Makes writes of earlier holders to the partition fail. */
auto CellHolder::RaiseFence(std::uint32_t aPartition) -> net::Task<FenceResult>
{
  RangeQuery query;
  query.mTable = std::string(kFenceTable);
  query.mPartition = PartitionName(aPartition);
  query.mFrom = mRow.mName;
  query.mLimit = 1;
  const auto deadline = base::MonotonicClock::now() + kStoreTimeout;
  const auto found = co_await mContext.mStore.ReadRange(query, deadline);
  if (found.mOutcome != StoreOutcome::Done) {
    co_return FenceResult{};
  }
  std::uint64_t version = 0;
  if (!found.mRows.empty() && found.mRows[0].mKey == mRow.mName) {
    version = found.mRows[0].mVersion;
    const auto term = base::ParseNumber<std::uint64_t>(found.mRows[0].mValue);
    if (term.value_or(0) > mRow.mTerm) {
      co_return FenceResult{ false, true };
    }
    if (term.value_or(0) == mRow.mTerm) {
      mFences[aPartition] = version;
      co_return FenceResult{ true, false };
    }
  }
  StoreTransaction transaction;
  transaction.mPartition = PartitionName(aPartition);
  const auto key = RowKey{ std::string(kFenceTable), mRow.mName };
  transaction.mExpected.push_back({ key, version });
  transaction.mWrites.push_back({ key, base::Cat(mRow.mTerm) });
  const auto sentAt = mContext.mBootNow();
  const auto reply = co_await mContext.mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  if (reply.mOutcome == StoreOutcome::Done) {
    NoteFencedWrite(sentAt);
    mFences[aPartition] = reply.mVersion;
    co_return FenceResult{ true, false };
  }
  co_return FenceResult{};
}

auto CellHolder::ReadPrefix(std::string aTable, std::string aPartition)
  -> net::Task<std::optional<std::vector<StoreRow>>>
{
  std::vector<StoreRow> out;
  RangeQuery query;
  query.mTable = std::move(aTable);
  query.mPartition = std::move(aPartition);
  query.mFrom = mRow.mName + "/";
  // '0' is the character after '/'.
  query.mBefore = mRow.mName + "0";
  for (auto hasMore = true; hasMore;) {
    auto reply = co_await mContext.mStore.ReadRange(
      query, base::MonotonicClock::now() + kStoreTimeout);
    if (reply.mOutcome != StoreOutcome::Done) {
      co_return std::nullopt;
    }
    hasMore = ContinueAfter(query, reply);
    const auto repeats = !out.empty() && !reply.mRows.empty() &&
                         reply.mRows.front().mKey == out.back().mKey;
    std::move(reply.mRows.begin() + (repeats ? 1 : 0),
              reply.mRows.end(),
              std::back_inserter(out));
  }
  co_return out;
}

auto CellHolder::LoadPartition(std::uint32_t aPartition) -> net::Task<bool>
{
  const auto fence = co_await RaiseFence(aPartition);
  if (fence.mIsSuperseded) {
    End();
  }
  if (!fence.mIsDone) {
    co_return false;
  }
  const auto partition = PartitionName(aPartition);
  auto jobs = co_await ReadPrefix(std::string(kJobTable), partition);
  if (!jobs) {
    co_return false;
  }
  if (jobs->empty()) {
    co_return true;
  }
  auto progress = co_await ReadPrefix(std::string(kProgressTable), partition);
  if (!progress) {
    co_return false;
  }
  std::map<std::string, const StoreRow*> byKey;
  for (const auto& it : *progress) {
    byKey[it.mKey] = &it;
  }
  std::vector<LoadedJob> loaded;
  for (const auto& it : *jobs) {
    auto job = net::Decode<cell::StoredJob>(it.mValue);
    if (!job.ok()) {
      continue;
    }
    auto& added = loaded.emplace_back();
    added.mJob = *std::move(job);
    added.mRows.mJobVersion = it.mVersion;
    if (const auto found = byKey.find(it.mKey); found != byKey.end()) {
      added.mRows.mProgressVersion = found->second->mVersion;
      added.mProgressValue = found->second->mValue;
    }
  }
  if (!co_await LoadProgressOfAll(loaded)) {
    co_return false;
  }
  for (auto& it : loaded) {
    AddLoadedJob(std::move(it), true);
  }
  co_return true;
}

auto CellHolder::LoadMembers() -> net::Task<bool>
{
  auto rows = co_await ReadPrefix(std::string(kMemberTable),
                                  PartitionName(PartitionOf(mRow.mName)));
  if (!rows) {
    co_return false;
  }
  mMembers.clear();
  mInheritedMembers.clear();
  const auto now = base::MonotonicClock::now();
  mEarlierHoldersActUntil = std::min(
    mEarlierHoldersActUntil,
    mContext.mBootNow() +
      (mIsPreviousHolderGone ? Milliseconds(0) : kConfirmationTimeout));
  const auto leasesExpiredAt = EarlierLeasesExpireAt();
  for (const auto& it : *rows) {
    auto record = net::Decode<cell::WorkerRecord>(it.mValue);
    if (!record.ok()) {
      continue;
    }
    mMembers[record->mId] = { it.mVersion, false };
    mInheritedMembers.insert(record->mId);
    mState.mUnreconciledWorkers.insert(record->mId);
    const auto isNew = !mState.mWorkers.contains(record->mId);
    auto& worker = isNew ? cell::UpdateWorker(mState, *record, now)
                         : *mState.mWorkers.at(record->mId);
    worker.mIsListed = worker.mIsListed && !isNew;
    worker.mLeasesExpiredAt = leasesExpiredAt;
    if (isNew) {
      worker.mIncarnationStartMs = record->mIncarnationStartMs;
    }
  }
  co_return true;
}

auto CellHolder::EarlierLeasesExpireAt() const -> MonotonicTime
{
  const auto now = base::MonotonicClock::now();
  const auto left = std::chrono::duration_cast<Milliseconds>(
    mEarlierHoldersActUntil - mContext.mBootNow());
  const auto lease = LeaseTime(mContext.mSettings);
  // Each worker has the time to reply to a poll and to a repeated one.
  return std::max(now + left + MaxLocalDuration(lease) + kLeaseMargin,
                  now + 2 * kOrderTimeout);
}

auto CellHolder::BoundEarlierHolders(base::BootTime aUntil) -> void
{
  if (aUntil >= mEarlierHoldersActUntil) {
    return;
  }
  mEarlierHoldersActUntil = aUntil;
  const auto expireAt = EarlierLeasesExpireAt();
  for (const auto& id : mState.mUnreconciledWorkers) {
    const auto worker = mState.mWorkers.find(id);
    const auto clock = mClocks.find(id);
    // This holder grants no lease to a worker whose clock it does not know. One
    // that has replied after a restart may have a lease from a late call.
    const auto mayHaveOtherLease =
      TokenStepOf(id) > 0 ||
      (clock != mClocks.end() && clock->second.mClockMs > 0);
    if (worker != mState.mWorkers.end() && !mayHaveOtherLease) {
      auto& expiredAt = worker->second->mLeasesExpiredAt;
      expiredAt = std::min(expiredAt, expireAt);
    }
  }
}

auto CellHolder::TakeOver() -> net::Task<bool>
{
  std::vector<net::Task<bool>> tasks;
  for (std::uint32_t i = 0; i < mContext.mPartitions; ++i) {
    if (!mFences.contains(i)) {
      tasks.push_back(LoadPartition(i));
    }
  }
  const auto isLoaded = co_await WhenAll(std::move(tasks));
  co_return isLoaded&& co_await LoadMembers();
}

auto CellHolder::Run(bool aIsPreviousHolderGone) -> net::Task<void>
{
  const auto self = shared_from_this();
  mIsPreviousHolderGone = aIsPreviousHolderGone;
  const auto now = base::MonotonicClock::now();
  while (mPhase == HolderPhase::TakingOver && !co_await TakeOver()) {
    // Discards partial results; the next attempt loads everything again.
    mState.mJobs.clear();
    mState.mReady.clear();
    mState.mDirty.clear();
    mRows.clear();
    mEndedJobs.clear();
    mFences.clear();
    co_await net::Sleep(kRetryInterval);
  }
  if (mPhase == HolderPhase::Ended) {
    co_return;
  }
  mPhase = HolderPhase::Active;
  const auto took =
    std::chrono::duration_cast<Milliseconds>(base::MonotonicClock::now() - now);
  mContext.mLog.Record(
    kCellActive,
    { { "cell", mRow.mName },
      { "term", static_cast<std::int64_t>(mRow.mTerm) },
      { "token", static_cast<std::int64_t>(mRowVersion) },
      { "jobs", static_cast<std::int64_t>(mState.mJobs.size()) },
      { "workers", static_cast<std::int64_t>(mState.mWorkers.size()) },
      { "unsettled",
        static_cast<std::int64_t>(mState.mUnreconciledWorkers.size()) },
      { "leases_ms",
        std::chrono::duration_cast<Milliseconds>(EarlierLeasesExpireAt() -
                                                 base::MonotonicClock::now())
          .count() },
      { "took_ms", took.count() } });
  if (mState.mUnreconciledWorkers.empty()) {
    for (auto& [id, job] : mState.mJobs) {
      for (auto& [number, occurrence] : job->mOccurrences) {
        for (auto& step : occurrence->mSteps) {
          for (auto& it : step.mTasks) {
            it.mMayBeRunning = false;
          }
        }
      }
    }
  }
  std::vector<std::string> ids;
  ids.reserve(mState.mWorkers.size());
  for (const auto& [id, it] : mState.mWorkers) {
    ids.push_back(id);
  }
  for (const auto& it : ids) {
    StartPolling(it);
  }
  for (const auto& [id, job] : mState.mJobs) {
    if (cell::IsHostedJob(*job)) {
      net::SpawnTask(mContext.mExecutor, WatchHostedJob(id));
    }
    // The previous holder may have ended before it notified the hosts.
    for (const auto& [host, tasks] : cell::RemoteTasksByHost(*job)) {
      net::SpawnTask(mContext.mExecutor, NotifyHost(id, host));
    }
  }
  for (const auto& [id, generation] : std::exchange(mEndedJobs, {})) {
    net::SpawnTask(mContext.mExecutor, RemoveRows(id, generation));
  }
  net::SpawnTask(mContext.mExecutor, FlushLoop());
  ScheduleDecision();
  co_await Tick();
}

} // namespace eelgrasspost::dispatch
