#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/storelogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "jobupdate.h"
#include "storeaccess.h"
#include "whenall.h"

namespace eelgrasspost::dispatch {

namespace {

constexpr std::size_t kJobsPerTransaction = 14;
constexpr auto kFlushPollInterval = Milliseconds(5);
/** Long, as no caller waits for progress and a slow store should not receive it
 * twice. */
constexpr auto kFlushTimeout = Milliseconds(6000);
/** Progress that the store has rejected is not sent again for this time. */
constexpr auto kSetAsideTime = Milliseconds(5000);

/** The last end that a worker's incarnation had listed, and that needs no other
 * cell, when a flush began. */
struct SeenEnds
{
  std::int64_t mIncarnationStartMs = 0;
  std::uint64_t mNumber = 0;
};

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
  mUnstoredJobs.clear();
  std::map<std::string, SeenEnds> seen;
  for (const auto& [id, it] : mState.mWorkers) {
    seen[id] = { it->mIncarnationStartMs, cell::HighestSettledEnd(*it) };
  }
  std::map<std::uint32_t, std::vector<std::string>> byPartition;
  for (const auto& it : mState.mDirty) {
    byPartition[PartitionOf(it)].push_back(it);
  }
  for (const auto& [id, it] : mSetAsideJobs) {
    mUnstoredJobs.insert(id);
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
  if (mPhase == HolderPhase::Ended) {
    co_return false;
  }
  for (const auto& [id, ends] : seen) {
    const auto it = mState.mWorkers.find(id);
    // A worker that restarted meanwhile numbers its ends from the start.
    if (it != mState.mWorkers.end() &&
        it->second->mIncarnationStartMs == ends.mIncarnationStartMs &&
        it->second->mSeenEnds >= ends.mNumber) {
      cell::NoteStoredEnds(*it->second, ends.mNumber, mUnstoredJobs);
    }
  }
  co_return isOk;
}

/** The changes that store a job's state; nothing if there is nothing to store,
 * or not yet. */
auto CellHolder::MakeUpdate(const std::string& aId) -> std::optional<JobUpdate>
{
  auto* job = cell::FindJob(mState, aId);
  if (!job || !mRows.contains(aId)) {
    return std::nullopt;
  }
  if (cell::IsHostedJob(*job)) {
    // The cell that owns the job stores its progress.
    mState.mDirty.erase(aId);
    job->mIsDirty = false;
    job->mChangedPieces.clear();
    cell::MarkCrashesStored(*job);
    ReportGivenUpJob(*job);
    return std::nullopt;
  }
  const auto isFinal = cell::IsFinal(job->mState);
  if (const auto it = mSetAsideJobs.find(aId);
      it != mSetAsideJobs.end() &&
      !IsRetryDue(it->second, isFinal, base::MonotonicClock::now())) {
    mState.mDirty.erase(aId);
    return std::nullopt;
  }
  auto out = isFinal ? MakeFinalUpdate(*job) : MakeProgressUpdate(*job);
  mRows.at(aId).mIsBeingWritten = true;
  if (out.mIsComplete) {
    mState.mDirty.erase(aId);
    job->mIsDirty = false;
  }
  return out;
}

auto CellHolder::FlushPartition(std::uint32_t aPartition,
                                std::vector<std::string> aJobs)
  -> net::Task<bool>
{
  auto isOk = true;
  std::vector<JobUpdate> batch;
  TransactionSize size;
  for (std::size_t i = 0; i < aJobs.size(); ++i) {
    const auto id = aJobs[i];
    auto update = MakeUpdate(id);
    if (!update) {
      continue;
    }
    const auto added = SizeOf(update->mChanges);
    if (!batch.empty() &&
        (batch.size() == kJobsPerTransaction || !FitsBeside(size, added))) {
      isOk =
        co_await CommitUpdates(aPartition, std::exchange(batch, {})) && isOk;
      size = {};
    }
    const auto isComplete = update->mIsComplete;
    size = size + added;
    batch.push_back(*std::move(update));
    if (!isComplete) {
      // The next changes of the job expect the version that this write makes.
      const auto isStored =
        co_await CommitUpdates(aPartition, std::exchange(batch, {}));
      size = {};
      isOk = isOk && isStored;
      if (isStored) {
        aJobs.push_back(id);
      }
    }
  }
  if (!batch.empty()) {
    isOk = co_await CommitUpdates(aPartition, std::move(batch)) && isOk;
  }
  co_return isOk;
}

/** Stores the state of jobs in one transaction, or in several if the store
 * rejects that one: then each job that is not at fault is still stored. */
auto CellHolder::CommitUpdates(std::uint32_t aPartition,
                               std::vector<JobUpdate> aUpdates)
  -> net::Task<bool>
{
  if (mPhase == HolderPhase::Ended) {
    co_return false;
  }
  StoreTransaction transaction;
  transaction.mPartition = PartitionName(aPartition);
  transaction.mExpected.push_back(FenceOf(aPartition));
  for (const auto& it : aUpdates) {
    AppendChanges(transaction, it.mChanges);
  }
  const auto size = SizeOf(transaction);
  const auto rows = transaction.mWrites.size();
  const auto sentAt = base::MonotonicClock::now();
  const auto sentAtBoot = mContext.mBootNow();
  const auto reply =
    co_await mContext.mStore.Commit(transaction, sentAt + kFlushTimeout);
  UpdateCommitTime(sentAt);
  if (reply.mOutcome == StoreOutcome::Done) {
    NoteFencedWrite(sentAtBoot);
    mContext.mMetrics.FindCounter("progress_rows_written_total").Add(rows);
    mContext.mMetrics.FindCounter("progress_bytes_written_total")
      .Add(size.mBytes);
  }
  if (mPhase == HolderPhase::Ended) {
    co_return false;
  }
  if (reply.mOutcome == StoreOutcome::Rejected && aUpdates.size() > 1) {
    const auto middle = static_cast<std::ptrdiff_t>(aUpdates.size() / 2);
    std::vector<JobUpdate> second(
      std::make_move_iterator(aUpdates.begin() + middle),
      std::make_move_iterator(aUpdates.end()));
    aUpdates.resize(static_cast<std::size_t>(middle));
    const auto isFirstOk =
      co_await CommitUpdates(aPartition, std::move(aUpdates));
    const auto isSecondOk =
      co_await CommitUpdates(aPartition, std::move(second));
    co_return isFirstOk&& isSecondOk;
  }
  for (const auto& it : aUpdates) {
    ApplyCommit(it, reply);
  }
  if (reply.mOutcome == StoreOutcome::Conflict) {
    CheckFence(reply);
  }
  // A job that is set aside is retried in its own time.
  co_return reply.mOutcome == StoreOutcome::Done ||
    reply.mOutcome == StoreOutcome::Rejected;
}

auto CellHolder::ApplyCommit(const JobUpdate& aUpdate, const StoreReply& aReply)
  -> void
{
  const auto& id = aUpdate.mId;
  auto* job = cell::FindJob(mState, id);
  const auto rows = mRows.find(id);
  if (rows != mRows.end()) {
    rows->second.mIsBeingWritten = false;
  }
  if (aReply.mOutcome == StoreOutcome::Done) {
    if (aUpdate.mIsFinal) {
      mUnstoredJobs.erase(id);
      FinishJob(id, aUpdate.mState);
      if (aUpdate.mLeavesRows) {
        net::SpawnTask(mContext.mExecutor, RemoveRows(id, aUpdate.mGeneration));
      }
    } else if (rows != mRows.end()) {
      NoteStoredProgress(aUpdate, rows->second, aReply.mVersion);
    }
    return;
  }
  mUnstoredJobs.insert(id);
  if (job) {
    job->mIsDirty = true;
    job->mChangedPieces.insert(aUpdate.mPieces.begin(), aUpdate.mPieces.end());
    mState.mDirty.insert(id);
  }
  if (aReply.mOutcome == StoreOutcome::Rejected) {
    SetAside(aUpdate, aReply);
    return;
  }
  if (aReply.mOutcome != StoreOutcome::Conflict) {
    return;
  }
  const auto key = JobKey(id);
  // The rows of a conflict are complete if they include the fence row.
  const auto isComplete =
    FindReplyRow(aReply, { std::string(kFenceTable), mRow.mName }) != nullptr;
  const auto* jobRow = FindReplyRow(aReply, { std::string(kJobTable), key });
  const auto isJobGone = isComplete && (!jobRow || jobRow->mVersion == 0);
  if (isJobGone) {
    // An earlier write whose reply was lost has been applied, or another cell
    // has imported the job; the row of its id tells which.
    DropJob(id);
    ScheduleDecision();
    return;
  }
  const auto* progressRow =
    FindReplyRow(aReply, { std::string(kProgressTable), key });
  if (rows != mRows.end()) {
    rows->second.mProgressVersion =
      progressRow && !progressRow->mIsRemoved ? progressRow->mVersion : 0;
  }
}

auto CellHolder::NoteStoredProgress(const JobUpdate& aUpdate,
                                    JobRows& aRows,
                                    std::uint64_t aVersion) -> void
{
  aRows.mProgressVersion = aVersion;
  for (const auto it : aUpdate.mPieces) {
    if (cell::IsInRanges(aRows.mDonePieces, it)) {
      aRows.mPieces.erase(it);
    }
  }
  if (!aUpdate.mIsComplete) {
    return;
  }
  aRows.mEarlierProgress.clear();
  mUnstoredJobs.erase(aUpdate.mId);
  mSetAsideJobs.erase(aUpdate.mId);
  if (auto* job = cell::FindJob(mState, aUpdate.mId); job && !job->mIsDirty) {
    cell::MarkCrashesStored(*job);
  }
}

/** The store will never take the current state of a job: the others of the cell
 * go on without it. */
auto CellHolder::SetAside(const JobUpdate& aUpdate, const StoreReply& aReply)
  -> void
{
  const auto& id = aUpdate.mId;
  mState.mDirty.erase(id);
  mSetAsideJobs[id] = { base::MonotonicClock::now() + kSetAsideTime,
                        aUpdate.mIsFinal };
  const auto size = SizeOf(aUpdate.mChanges);
  mContext.mMetrics.FindCounter("jobs_set_aside_total").Add();
  mContext.mLog.Record(
    kJobSetAside,
    { { "cell", mRow.mName },
      { "job", id },
      { "items", static_cast<std::int64_t>(size.mItems) },
      { "bytes", static_cast<std::int64_t>(size.mBytes) },
      { "largest_row_bytes", static_cast<std::int64_t>(size.mLargestRow) },
      { "reason", aReply.mError } });
}

/** Sends the state of jobs again that were set aside some time ago. */
auto CellHolder::RetrySetAsideJobs(MonotonicTime aNow) -> void
{
  std::erase_if(mSetAsideJobs, [&](const auto& aItem) {
    return !cell::FindJob(mState, aItem.first);
  });
  for (const auto& [id, it] : mSetAsideJobs) {
    const auto* job = cell::FindJob(mState, id);
    if (IsRetryDue(it, cell::IsFinal(job->mState), aNow)) {
      mState.mDirty.insert(id);
    }
  }
  ReleaseHeldBackEnds();
}

/** A worker that lists as many ends as it can hides all later ones. The next
 * holder would start the tasks of the released ends again. */
auto CellHolder::ReleaseHeldBackEnds() -> void
{
  if (mSetAsideJobs.empty()) {
    return;
  }
  for (auto& [id, it] : mState.mWorkers) {
    auto& ends = it->mUnstoredEnds;
    const auto isBlocked =
      it->mMayHaveMoreEnds && !ends.empty() &&
      std::all_of(ends.begin(), ends.end(), [&](const auto& aEnd) {
        return mSetAsideJobs.contains(aEnd.second);
      });
    if (!isBlocked) {
      continue;
    }
    mContext.mLog.Record(
      kEndsReleased,
      { { "cell", mRow.mName },
        { "worker", id },
        { "job", ends.begin()->second },
        { "ends", static_cast<std::int64_t>(ends.size()) } });
    ends.clear();
  }
}

/** The highest end of a worker that can be stored at present. */
auto CellHolder::HighestStorableEnd(const cell::Worker& aWorker) const
  -> std::uint64_t
{
  const auto out = cell::HighestSettledEnd(aWorker);
  if (mSetAsideJobs.empty()) {
    return out;
  }
  for (const auto& [number, job] : aWorker.mUnstoredEnds) {
    if (mSetAsideJobs.contains(job)) {
      return std::min(out, number - 1);
    }
  }
  return out;
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
  mSetAsideJobs.erase(aId);
  cell::RemoveJob(mState, aId);
  ScheduleDecision();
}

} // namespace eelgrasspost::dispatch
