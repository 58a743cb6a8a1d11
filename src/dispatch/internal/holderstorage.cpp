#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"
#include "whenall.h"

namespace eelgrasspost::dispatch {

namespace {

/** Jobs per transaction: each takes up to 5 of its 100 items, and one more for
 * each cell that hosts tasks of the job. */
constexpr std::size_t kJobsPerTransaction = 14;
constexpr auto kFlushPollInterval = Milliseconds(5);
/** Long, as no caller waits for progress and a slow store should not receive it
 * twice. */
constexpr auto kFlushTimeout = Milliseconds(6000);

/** Minimum time between two removals of rows of departed workers. */
constexpr auto kMemberRemovalInterval = Milliseconds(500);

struct JobWrite
{
  std::string mId;
  cell::JobState mState = cell::JobState::Running;
  bool mIsFinal = false;
};

/** The last end that a worker's incarnation had listed, and that needs no other
 * cell, when a flush began. */
struct SeenEnds
{
  std::int64_t mIncarnationStartMs = 0;
  std::uint64_t mNumber = 0;
};

auto FindReplyRow(const StoreReply& aReply, const RowKey& aKey)
  -> const StoreRow*
{
  const auto it = std::find_if(
    aReply.mRows.begin(), aReply.mRows.end(), [&](const StoreRow& aRow) {
      return aRow.mTable == aKey.mTable && aRow.mKey == aKey.mKey;
    });
  return it == aReply.mRows.end() ? nullptr : &*it;
}

} // namespace

auto CellHolder::FlushLoop() -> net::Task<void>
{
  const auto self = shared_from_this();
  while (mPhase == HolderPhase::Active) {
    boost::system::error_code ec;
    co_await mFlushTimer->async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ec));
    if (ec || mPhase != HolderPhase::Active) {
      continue;
    }
    mFlushTimer->expires_at(MonotonicTime::max());
    mIsFlushUrgent = false;
    if (co_await Flush()) {
      ScheduleDecision();
    } else {
      mFlushTimer->expires_after(kRetryInterval);
    }
  }
}

auto CellHolder::Flush() -> net::Task<bool>
{
  const auto self = shared_from_this();
  // Flushes run one at a time: the ends that a flush acknowledges must not
  // belong to a write of another flush that is still in flight.
  while (mIsFlushing) {
    co_await net::Sleep(kFlushPollInterval);
  }
  mIsFlushing = true;
  std::map<std::string, SeenEnds> seen;
  for (const auto& [id, it] : mState.mWorkers) {
    seen[id] = { it->mIncarnationStartMs, cell::HighestSettledEnd(*it) };
  }
  std::map<std::uint32_t, std::vector<std::string>> byPartition;
  for (const auto& it : mState.mDirty) {
    byPartition[PartitionOf(it)].push_back(it);
  }
  std::vector<net::Task<bool>> tasks;
  tasks.reserve(byPartition.size());
  for (auto& [partition, jobs] : byPartition) {
    tasks.push_back(FlushPartition(partition, std::move(jobs)));
  }
  auto isOk = true;
  if (!tasks.empty()) {
    isOk = co_await WhenAll(std::move(tasks));
  }
  mIsFlushing = false;
  if (!isOk) {
    co_return false;
  }
  for (const auto& [id, ends] : seen) {
    const auto it = mState.mWorkers.find(id);
    // A worker that restarted meanwhile numbers its ends from the start.
    if (it != mState.mWorkers.end() &&
        it->second->mIncarnationStartMs == ends.mIncarnationStartMs &&
        it->second->mSeenEnds >= ends.mNumber) {
      it->second->mStoredEnds = std::max(it->second->mStoredEnds, ends.mNumber);
    }
  }
  co_return true;
}

auto CellHolder::AppendProgress(StoreTransaction& aTransaction,
                                const cell::Job& aJob) -> void
{
  const auto& id = aJob.mStored.mSpec.mId;
  const auto& rows = mRows[id];
  const auto progress = RowKey{ std::string(kProgressTable), JobKey(id) };
  const auto stored = RowKey{ std::string(kJobTable), JobKey(id) };
  aTransaction.mExpected.push_back({ progress, rows.mProgressVersion });
  aTransaction.mExpected.push_back({ stored, rows.mJobVersion });
  aTransaction.mWrites.push_back(
    { progress, net::Encode(cell::ProgressOf(aJob)) });
  for (const auto& [host, tasks] : cell::RemoteTasksByHost(aJob)) {
    auto hostedJob = aJob.mStored;
    hostedJob.mHostedTasks = tasks;
    aTransaction.mWrites.push_back(
      { { std::string(kJobTable), base::Cat(host, "/", id) },
        net::Encode(hostedJob) });
  }
}

auto CellHolder::AppendFinalState(StoreTransaction& aTransaction,
                                  const cell::Job& aJob) -> void
{
  const auto& id = aJob.mStored.mSpec.mId;
  const auto& rows = mRows[id];
  const auto progress = RowKey{ std::string(kProgressTable), JobKey(id) };
  const auto stored = RowKey{ std::string(kJobTable), JobKey(id) };
  aTransaction.mExpected.push_back({ progress, rows.mProgressVersion });
  aTransaction.mExpected.push_back({ stored, rows.mJobVersion });
  aTransaction.mRemovals.push_back(stored);
  if (rows.mProgressVersion > 0) {
    aTransaction.mRemovals.push_back(progress);
  }
  const auto row = JobIdRow{ mRow.mName, aJob.mState, base::WallClockMs() };
  aTransaction.mWrites.push_back(
    { { std::string(kIdTable), id }, net::Encode(row) });
  for (const auto& [host, tasks] : cell::RemoteTasksByHost(aJob)) {
    aTransaction.mRemovals.push_back(
      { std::string(kJobTable), base::Cat(host, "/", id) });
  }
}

auto CellHolder::FlushPartition(std::uint32_t aPartition,
                                std::vector<std::string> aJobs)
  -> net::Task<bool>
{
  auto isOk = true;
  for (std::size_t from = 0; from < aJobs.size(); from += kJobsPerTransaction) {
    StoreTransaction transaction;
    transaction.mPartition = PartitionName(aPartition);
    transaction.mExpected.push_back(FenceOf(aPartition));
    std::vector<JobWrite> writes;
    const auto end = std::min(aJobs.size(), from + kJobsPerTransaction);
    for (auto i = from; i < end; ++i) {
      const auto& id = aJobs[i];
      auto* job = cell::FindJob(mState, id);
      if (!job || !mRows.contains(id)) {
        continue;
      }
      if (cell::IsHostedJob(*job)) {
        // The cell that owns the job stores its progress.
        mState.mDirty.erase(id);
        job->mIsDirty = false;
        cell::MarkCrashesStored(*job);
        ReportGivenUpJob(*job);
        continue;
      }
      const auto isFinal = cell::IsFinal(job->mState);
      if (isFinal) {
        AppendFinalState(transaction, *job);
      } else {
        AppendProgress(transaction, *job);
      }
      mState.mDirty.erase(id);
      job->mIsDirty = false;
      writes.push_back({ id, job->mState, isFinal });
    }
    if (writes.empty()) {
      continue;
    }
    const auto sentAt = base::MonotonicClock::now();
    const auto sentAtBoot = mContext.mBootNow();
    const auto reply =
      co_await mContext.mStore.Commit(transaction, sentAt + kFlushTimeout);
    UpdateCommitTime(sentAt);
    if (reply.mOutcome == StoreOutcome::Done) {
      NoteFencedWrite(sentAtBoot);
    }
    if (mPhase == HolderPhase::Ended) {
      co_return false;
    }
    for (const auto& it : writes) {
      auto* job = cell::FindJob(mState, it.mId);
      if (reply.mOutcome == StoreOutcome::Done) {
        if (it.mIsFinal) {
          FinishJob(it.mId, it.mState);
        } else {
          mRows[it.mId].mProgressVersion = reply.mVersion;
          if (job && !job->mIsDirty) {
            cell::MarkCrashesStored(*job);
          }
        }
        continue;
      }
      if (job) {
        job->mIsDirty = true;
        mState.mDirty.insert(it.mId);
      }
      if (reply.mOutcome != StoreOutcome::Conflict) {
        continue;
      }
      const auto key = JobKey(it.mId);
      // The rows of a conflict are complete if they include the fence row.
      const auto isComplete =
        FindReplyRow(reply, { std::string(kFenceTable), mRow.mName }) !=
        nullptr;
      const auto* jobRow = FindReplyRow(reply, { std::string(kJobTable), key });
      const auto isJobGone = isComplete && (!jobRow || jobRow->mVersion == 0);
      if (isJobGone) {
        // An earlier write whose reply was lost has been applied, or another
        // cell has imported the job; the row of its id tells which.
        DropJob(it.mId);
        ScheduleDecision();
        continue;
      }
      const auto* progressRow =
        FindReplyRow(reply, { std::string(kProgressTable), key });
      mRows[it.mId].mProgressVersion =
        progressRow && !progressRow->mIsRemoved ? progressRow->mVersion : 0;
    }
    if (reply.mOutcome == StoreOutcome::Conflict) {
      CheckFence(reply);
    }
    isOk = isOk && reply.mOutcome == StoreOutcome::Done;
  }
  co_return isOk;
}

auto CellHolder::UpdateCommitTime(MonotonicTime aSentAt) -> void
{
  const auto took = std::chrono::duration_cast<Milliseconds>(
    base::MonotonicClock::now() - aSentAt);
  mCommitTime = (mCommitTime * 3 + took) / 4;
}

auto CellHolder::CheckFence(const StoreReply& aReply) -> void
{
  const auto* fence =
    FindReplyRow(aReply, { std::string(kFenceTable), mRow.mName });
  if (!fence || fence->mValue.empty()) {
    return;
  }
  const auto term = base::ParseNumber<std::uint64_t>(fence->mValue);
  if (term && *term > mRow.mTerm) {
    End();
  }
}

auto CellHolder::FinishJob(const std::string& aId, cell::JobState aState)
  -> void
{
  mFinished[aId] = aState;
  mFinishedOrder.emplace_back(base::MonotonicClock::now(), aId);
  mRows.erase(aId);
  cell::RemoveJob(mState, aId);
  ScheduleDecision();
}

auto CellHolder::IsMember(const std::string& aWorker) const -> bool
{
  const auto it = mMembers.find(aWorker);
  return it != mMembers.end() && !it->second.mIsUncertain;
}

/** Runs before a worker gets its first order, so that the next holder knows of
 * the worker. Writes run one at a time. */
auto CellHolder::WriteMembers() -> net::Task<void>
{
  const auto self = shared_from_this();
  while (mIsWritingMembers) {
    co_await net::Sleep(kFlushPollInterval);
  }
  mIsWritingMembers = true;
  if (co_await ReadUncertainMembers()) {
    co_await WriteChangedMembers();
  }
  mIsWritingMembers = false;
}

auto CellHolder::RemoveDepartedMembers(MonotonicTime aNow) -> void
{
  const auto hasDeparted =
    std::any_of(mMembers.begin(), mMembers.end(), [&](const auto& aItem) {
      return !mState.mWorkers.contains(aItem.first);
    });
  if (hasDeparted && !mIsWritingMembers && aNow >= mNextMemberRemovalAt) {
    mNextMemberRemovalAt = aNow + kMemberRemovalInterval;
    net::SpawnTask(mContext.mExecutor, WriteMembers());
  }
}

/** Reads the versions of the rows whose last write got no reply or failed. */
auto CellHolder::ReadUncertainMembers() -> net::Task<bool>
{
  const auto isAnyUncertain =
    std::any_of(mMembers.begin(), mMembers.end(), [](const auto& aItem) {
      return aItem.second.mIsUncertain;
    });
  if (!isAnyUncertain) {
    co_return true;
  }
  const auto rows = co_await ReadPrefix(std::string(kMemberTable),
                                        PartitionName(PartitionOf(mRow.mName)));
  if (!rows) {
    co_return false;
  }
  std::map<std::string, std::uint64_t> versions;
  for (const auto& it : *rows) {
    versions[it.mKey] = it.mVersion;
  }
  for (auto& [id, it] : mMembers) {
    if (it.mIsUncertain) {
      const auto found = versions.find(JobKey(id));
      it.mVersion = found == versions.end() ? 0 : found->second;
    }
  }
  std::erase_if(mMembers, [&](const auto& aItem) {
    return aItem.second.mVersion == 0 && !mState.mWorkers.contains(aItem.first);
  });
  co_return true;
}

auto CellHolder::WriteChangedMembers() -> net::Task<void>
{
  const auto partition = PartitionOf(mRow.mName);
  const auto before = mMembers;
  StoreTransaction transaction;
  transaction.mPartition = PartitionName(partition);
  transaction.mExpected.push_back(FenceOf(partition));
  std::vector<std::string> written;
  std::vector<std::string> removed;
  auto addsRows = false;
  // Each row takes two of the 100 items of a transaction.
  constexpr std::size_t kMaxRows = 45;
  for (const auto& [id, it] : mState.mWorkers) {
    if (!IsMember(id) && written.size() < kMaxRows) {
      const auto key = RowKey{ std::string(kMemberTable), JobKey(id) };
      auto& row = mMembers[id];
      row.mIsUncertain = true;
      addsRows = addsRows || row.mVersion == 0;
      written.push_back(id);
      transaction.mExpected.push_back({ key, row.mVersion });
      transaction.mWrites.push_back({ key, net::Encode(it->mRecord) });
    }
  }
  for (auto& [id, it] : mMembers) {
    if (!mState.mWorkers.contains(id) &&
        written.size() + removed.size() < kMaxRows) {
      const auto key = RowKey{ std::string(kMemberTable), JobKey(id) };
      it.mIsUncertain = true;
      removed.push_back(id);
      transaction.mExpected.push_back({ key, it.mVersion });
      transaction.mRemovals.push_back(key);
    }
  }
  if (written.empty() && removed.empty()) {
    co_return;
  }
  const auto sentAt = mContext.mBootNow();
  const auto reply = co_await mContext.mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  switch (reply.mOutcome) {
    case StoreOutcome::Done:
      NoteFencedWrite(sentAt);
      for (const auto& it : written) {
        mMembers[it] = { reply.mVersion, false };
      }
      for (const auto& it : removed) {
        mMembers.erase(it);
      }
      break;
    case StoreOutcome::Refused:
    case StoreOutcome::Rejected:
      mMembers = before;
      break;
    case StoreOutcome::Conflict:
      CheckFence(reply);
      break;
    default:
      if (addsRows) {
        mMemberWritesSettledAt = base::MonotonicClock::now() + kMaxWriteDelay;
      }
  }
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

} // namespace eelgrasspost::dispatch
