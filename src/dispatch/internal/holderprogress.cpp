#include <algorithm>

#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/storelogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "progressrow.h"
#include "rangepages.h"
#include "storeaccess.h"
#include "whenall.h"

namespace eelgrasspost::dispatch {

namespace {

/** Ranges of done pieces that a progress row lists, of 16 bytes each. */
constexpr std::size_t kMaxDoneRanges = 500;
/** Share of a row that the tasks of one piece may take. */
constexpr std::int64_t kTaskPercent = 87;
/** Rows of pieces that are removed in one transaction. */
constexpr std::uint32_t kRemovalsPerTransaction = 90;
/** Jobs whose pieces are read at one time. */
constexpr std::size_t kConcurrentLoads = 16;
/** What the rows of the cells that host tasks of one job may take; all of them
 * are written in one transaction. */
constexpr std::size_t kMaxHostRows = 60;
constexpr std::size_t kMaxHostBytes = 300'000;
/** Encoded size of the position of a hosted task. */
constexpr std::size_t kPositionBytes = 12;

auto PiecePrefix(std::string_view aId, std::uint64_t aGeneration) -> std::string
{
  return base::Cat(aId, "/", aGeneration, "/");
}

auto PieceKey(std::string_view aId,
              std::uint64_t aGeneration,
              std::uint64_t aPiece) -> RowKey
{
  return { std::string(kPieceTable),
           base::Cat(PiecePrefix(aId, aGeneration), aPiece) };
}

auto EncodeHead(const JobRows& aRows, cell::JobState aEndState) -> std::string
{
  ProgressHeadRow row;
  row.mHead = { aRows.mGeneration, aEndState, aRows.mDonePieces };
  return net::Encode(row);
}

auto MakeHostRow(const cell::Job& aJob,
                 const std::string& aHost,
                 std::vector<cell::TaskPosition> aTasks) -> RowWrite
{
  auto hostedJob = aJob.mStored;
  hostedJob.mHostedTasks = std::move(aTasks);
  return { { std::string(kJobTable),
             base::Cat(aHost, "/", aJob.mStored.mSpec.mId) },
           net::Encode(hostedJob) };
}

} // namespace

auto CellHolder::AppendRowVersions(StoreTransaction& aTransaction,
                                   const std::string& aId) const -> void
{
  const auto& rows = mRows.at(aId);
  aTransaction.mExpected.push_back(
    { { std::string(kProgressTable), JobKey(aId) }, rows.mProgressVersion });
  aTransaction.mExpected.push_back(
    { { std::string(kJobTable), JobKey(aId) }, rows.mJobVersion });
}

auto CellHolder::LimitCheckpoints(const std::string& aId,
                                  std::vector<cell::TaskProgress>& aTasks)
  -> void
{
  const auto maxBytes = static_cast<std::size_t>(
    mContext.mSettings.mStoreRowBytes * kTaskPercent / 100);
  const auto n = cell::LimitCheckpoints(aTasks, maxBytes);
  if (n > 0) {
    mContext.mMetrics.FindCounter("checkpoints_not_stored_total").Add(n);
    mContext.mLog.Record(kCheckpointsNotStored,
                         { { "cell", mRow.mName },
                           { "job", aId },
                           { "checkpoints", static_cast<std::int64_t>(n) } });
  }
}

auto CellHolder::MakeProgressUpdate(cell::Job& aJob) -> JobUpdate
{
  const auto& id = aJob.mStored.mSpec.mId;
  JobUpdate out;
  out.mId = id;
  out.mState = aJob.mState;
  AppendRowVersions(out.mChanges, id);
  std::vector<RowWrite> hostRows;
  for (auto& [host, tasks] : cell::RemoteTasksByHost(aJob)) {
    hostRows.push_back(MakeHostRow(aJob, host, std::move(tasks)));
  }
  if (IsInPieces(aJob.mStored)) {
    AppendChangedPieces(out, aJob, hostRows);
  } else {
    auto progress = cell::ProgressOf(aJob);
    LimitCheckpoints(id, progress.mTasks);
    out.mChanges.mWrites.push_back(
      { { std::string(kProgressTable), JobKey(id) }, net::Encode(progress) });
    aJob.mChangedPieces.clear();
  }
  if (out.mIsComplete) {
    std::move(hostRows.begin(),
              hostRows.end(),
              std::back_inserter(out.mChanges.mWrites));
  }
  return out;
}

/** Adds as many of the changed pieces as one transaction takes. The rows of
 * hosted tasks follow with the last of them: a host must not start a task of
 * which the own cell may not know that it is hosted. */
auto CellHolder::AppendChangedPieces(JobUpdate& aUpdate,
                                     cell::Job& aJob,
                                     const std::vector<RowWrite>& aHostRows)
  -> void
{
  const auto& id = aUpdate.mId;
  auto& rows = mRows.at(id);
  auto& changed = aJob.mChangedPieces;
  if (rows.mGeneration == 0) {
    rows.mGeneration = rows.mJobVersion;
  }
  const auto head = RowKey{ std::string(kProgressTable), JobKey(id) };
  // The size of the head changes little with the pieces that are added.
  auto size = SizeOf(aUpdate.mChanges) +
              SizeOf({ {}, {}, { { head, EncodeHead(rows, {}) } }, {} });
  while (!changed.empty()) {
    StoreTransaction piece;
    AppendPiece(piece, aJob, *changed.begin());
    if (!aUpdate.mPieces.empty() && !FitsBeside(size, SizeOf(piece))) {
      break;
    }
    size = size + SizeOf(piece);
    AppendChanges(aUpdate.mChanges, piece);
    aUpdate.mPieces.push_back(*changed.begin());
    changed.erase(changed.begin());
  }
  const auto hasRoom = aUpdate.mPieces.empty() ||
                       FitsBeside(size, SizeOf({ {}, {}, aHostRows, {} }));
  aUpdate.mIsComplete = changed.empty() && hasRoom;
  // The earlier row stands until the pieces hold all of it.
  const auto isReplaced = aUpdate.mIsComplete || rows.mEarlierProgress.empty();
  aUpdate.mChanges.mWrites.push_back(
    { head, isReplaced ? EncodeHead(rows, {}) : rows.mEarlierProgress });
}

auto CellHolder::AppendPiece(StoreTransaction& aTransaction,
                             const cell::Job& aJob,
                             std::uint64_t aPiece) -> void
{
  const auto& id = aJob.mStored.mSpec.mId;
  auto& rows = mRows.at(id);
  auto key = PieceKey(id, rows.mGeneration, aPiece);
  const auto isListedAsDone =
    cell::IsPieceDone(aJob, aPiece) &&
    cell::AddToRanges(rows.mDonePieces, aPiece, kMaxDoneRanges);
  if (isListedAsDone) {
    if (rows.mPieces.contains(aPiece)) {
      aTransaction.mRemovals.push_back(std::move(key));
    }
    return;
  }
  auto progress = cell::ProgressOfPiece(aJob, aPiece);
  LimitCheckpoints(id, progress.mTasks);
  if (cell::HasProgress(progress) || rows.mPieces.contains(aPiece)) {
    rows.mPieces.insert(aPiece);
    aTransaction.mWrites.push_back({ std::move(key), net::Encode(progress) });
  }
}

/** The changes of a return of tasks that another cell has hosted. */
auto CellHolder::AppendReturnedTasks(
  StoreTransaction& aTransaction,
  const cell::Job& aJob,
  const std::string& aHost,
  const std::vector<cell::TaskPosition>& aTasks) -> void
{
  const auto& id = aJob.mStored.mSpec.mId;
  auto& rows = mRows.at(id);
  AppendRowVersions(aTransaction, id);
  const auto progressKey = RowKey{ std::string(kProgressTable), JobKey(id) };
  if (IsInPieces(aJob.mStored)) {
    std::set<std::uint64_t> pieces;
    for (const auto& it : aTasks) {
      pieces.insert(cell::PieceOf(aJob, it));
    }
    for (const auto it : pieces) {
      AppendPiece(aTransaction, aJob, it);
    }
    aTransaction.mWrites.push_back({ progressKey, EncodeHead(rows, {}) });
  } else {
    auto progress = cell::ProgressOf(aJob);
    LimitCheckpoints(id, progress.mTasks);
    aTransaction.mWrites.push_back({ progressKey, net::Encode(progress) });
  }
  // The progress may contain a move to another host that is not stored yet; the
  // next holder must find the row of that host as well.
  auto remote = cell::RemoteTasksByHost(aJob);
  if (!remote.contains(aHost)) {
    aTransaction.mRemovals.push_back(
      { std::string(kJobTable), base::Cat(aHost, "/", id) });
  }
  for (auto& [host, tasks] : remote) {
    aTransaction.mWrites.push_back(MakeHostRow(aJob, host, std::move(tasks)));
  }
}

/** Whether the rows of a job's hosted tasks keep the limits of the store if a
 * cell hosts one more of them. */
auto CellHolder::MayHost(const cell::Task& aTask,
                         const std::string& aHost) const -> bool
{
  const auto& job = *aTask.mJob;
  auto tasks = cell::RemoteTasksByHost(job);
  tasks[aHost].push_back({ aTask.mOccurrence, aTask.mStep, aTask.mIndex });
  const auto jobBytes = net::Encode(job.mStored).size();
  std::size_t bytes = 0;
  for (const auto& [host, hosted] : tasks) {
    const auto rowBytes = jobBytes + kPositionBytes * hosted.size();
    if (rowBytes >
        static_cast<std::size_t>(mContext.mSettings.mStoreRowBytes)) {
      return false;
    }
    bytes += rowBytes;
  }
  return tasks.size() <= kMaxHostRows &&
         (tasks.size() == 1 || bytes <= kMaxHostBytes);
}

auto CellHolder::MakeFinalUpdate(cell::Job& aJob) -> JobUpdate
{
  const auto& id = aJob.mStored.mSpec.mId;
  const auto& rows = mRows.at(id);
  const auto progress = RowKey{ std::string(kProgressTable), JobKey(id) };
  JobUpdate out;
  out.mId = id;
  out.mState = aJob.mState;
  out.mIsFinal = true;
  out.mGeneration = rows.mGeneration;
  auto& changes = out.mChanges;
  AppendRowVersions(changes, id);
  const auto row = JobIdRow{ mRow.mName, aJob.mState, base::WallClockMs() };
  changes.mWrites.push_back(
    { { std::string(kIdTable), id }, net::Encode(row) });
  for (const auto& [host, tasks] : cell::RemoteTasksByHost(aJob)) {
    changes.mRemovals.push_back(
      { std::string(kJobTable), base::Cat(host, "/", id) });
  }
  StoreTransaction removals;
  removals.mRemovals.push_back({ std::string(kJobTable), JobKey(id) });
  if (rows.mProgressVersion > 0) {
    removals.mRemovals.push_back(progress);
  }
  for (const auto it : rows.mPieces) {
    removals.mRemovals.push_back(PieceKey(id, rows.mGeneration, it));
  }
  out.mLeavesRows = !FitsBeside(SizeOf(changes), SizeOf(removals));
  if (out.mLeavesRows) {
    // The next holder removes the rest if this one ends before.
    changes.mWrites.push_back({ progress, EncodeHead(rows, aJob.mState) });
  } else {
    AppendChanges(changes, removals);
  }
  return out;
}

auto CellHolder::PieceQuery(const std::string& aId,
                            std::uint64_t aGeneration) const -> RangeQuery
{
  RangeQuery out;
  out.mTable = std::string(kPieceTable);
  out.mPartition = PartitionName(PartitionOf(aId));
  out.mFrom = PiecePrefix(aId, aGeneration);
  // '0' is the character after '/'.
  out.mBefore = base::Cat(aId, "/", aGeneration, "0");
  return out;
}

/** Removes the rows of a job that has ended: its pieces, then the others. */
auto CellHolder::RemoveRows(std::string aId, std::uint64_t aGeneration)
  -> net::Task<void>
{
  const auto self = shared_from_this();
  const auto partition = PartitionOf(aId);
  while (mPhase == HolderPhase::Active) {
    auto query = PieceQuery(aId, aGeneration);
    query.mLimit = kRemovalsPerTransaction;
    const auto found = co_await mContext.mStore.ReadRange(
      query, base::MonotonicClock::now() + kStoreTimeout);
    if (found.mOutcome != StoreOutcome::Done) {
      co_await net::Sleep(kRetryInterval);
      continue;
    }
    StoreTransaction transaction;
    transaction.mPartition = PartitionName(partition);
    transaction.mExpected.push_back(FenceOf(partition));
    for (const auto& it : found.mRows) {
      transaction.mRemovals.push_back({ it.mTable, it.mKey });
    }
    if (!found.mHasMore) {
      transaction.mRemovals.push_back({ std::string(kJobTable), JobKey(aId) });
      transaction.mRemovals.push_back(
        { std::string(kProgressTable), JobKey(aId) });
    }
    const auto reply = co_await mContext.mStore.Commit(
      std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
    if (reply.mOutcome == StoreOutcome::Conflict) {
      CheckFence(reply);
    } else if (reply.mOutcome == StoreOutcome::Done && !found.mHasMore) {
      co_return;
    }
    if (reply.mOutcome != StoreOutcome::Done) {
      co_await net::Sleep(kRetryInterval);
    }
  }
}

auto CellHolder::LoadPieces(
  LoadedJob& aJob,
  std::map<std::uint64_t, cell::ProgressPiece>& aPieces) -> net::Task<bool>
{
  const auto& id = aJob.mJob.mSpec.mId;
  const auto prefix = PiecePrefix(id, aJob.mRows.mGeneration);
  auto query = PieceQuery(id, aJob.mRows.mGeneration);
  for (auto hasMore = true; hasMore;) {
    const auto reply = co_await mContext.mStore.ReadRange(
      query, base::MonotonicClock::now() + kStoreTimeout);
    if (reply.mOutcome != StoreOutcome::Done) {
      co_return false;
    }
    for (const auto& it : reply.mRows) {
      const auto number =
        base::ParseNumber<std::uint64_t>(it.mKey.substr(prefix.size()));
      auto piece = net::Decode<cell::ProgressPiece>(it.mValue);
      if (!number || !piece.ok()) {
        aJob.mIsDamaged = true;
        continue;
      }
      aJob.mRows.mPieces.insert(*number);
      aPieces[*number] = *std::move(piece);
    }
    hasMore = ContinueAfter(query, reply);
  }
  co_return true;
}

/** Reads a job's progress, of which the row is known; false if the store did
 * not answer. */
auto CellHolder::LoadProgress(LoadedJob& aJob) -> net::Task<bool>
{
  if (aJob.mProgressValue.empty()) {
    co_return true;
  }
  const auto head = DecodeProgressHead(aJob.mProgressValue);
  if (!head) {
    auto decoded = DecodeProgress(aJob.mProgressValue);
    if (!decoded.ok()) {
      aJob.mIsDamaged = true;
      co_return true;
    }
    aJob.mProgress = *std::move(decoded);
    if (!IsInPieces(aJob.mJob)) {
      co_return true;
    }
    // A previous holder may have written some of the pieces that replace it.
    aJob.mRows.mEarlierProgress = aJob.mProgressValue;
    aJob.mRows.mGeneration = aJob.mRows.mJobVersion;
    std::map<std::uint64_t, cell::ProgressPiece> pieces;
    co_return co_await LoadPieces(aJob, pieces);
  }
  aJob.mRows.mGeneration = head->mGeneration;
  aJob.mRows.mDonePieces = head->mDonePieces;
  aJob.mHasEnded = cell::IsFinal(head->mEndState);
  if (aJob.mHasEnded) {
    co_return true;
  }
  std::map<std::uint64_t, cell::ProgressPiece> pieces;
  const auto isLoaded = co_await LoadPieces(aJob, pieces);
  aJob.mProgress = cell::MergePieces(aJob.mJob, head->mDonePieces, pieces);
  co_return isLoaded;
}

auto CellHolder::LoadProgressOfAll(std::vector<LoadedJob>& aJobs)
  -> net::Task<bool>
{
  for (std::size_t from = 0; from < aJobs.size(); from += kConcurrentLoads) {
    std::vector<net::Task<bool>> tasks;
    const auto end = std::min(aJobs.size(), from + kConcurrentLoads);
    for (auto i = from; i < end; ++i) {
      tasks.push_back(LoadProgress(aJobs[i]));
    }
    if (!co_await WhenAll(std::move(tasks))) {
      co_return false;
    }
  }
  co_return true;
}

/** Adds a job that was read from the store, or removes the rest of its rows if
 * it has ended. */
auto CellHolder::AddLoadedJob(LoadedJob aJob, bool aIsInherited) -> void
{
  const auto id = aJob.mJob.mSpec.mId;
  if (aJob.mIsDamaged) {
    mContext.mLog.Record(kProgressUnreadable,
                         { { "cell", mRow.mName }, { "job", id } });
    return;
  }
  if (aJob.mHasEnded) {
    mEndedJobs[id] = aJob.mRows.mGeneration;
    return;
  }
  const auto isInPieces = IsInPieces(aJob.mJob);
  const auto isOfEarlierVersion = !aJob.mRows.mEarlierProgress.empty();
  mRows[id] = std::move(aJob.mRows);
  auto& job = cell::AddJob(mState,
                           std::move(aJob.mJob),
                           aJob.mProgress,
                           aIsInherited,
                           base::MonotonicClock::now(),
                           base::WallClockMs());
  if (isOfEarlierVersion) {
    job.mChangedPieces = cell::FindPiecesWithProgress(job);
    const auto& written = mRows.at(id).mPieces;
    job.mChangedPieces.insert(written.begin(), written.end());
  }
  // The rows of hosted tasks may be missing; see AppendChangedPieces.
  const auto mayLackRows = isInPieces && !cell::RemoteTasksByHost(job).empty();
  if (isOfEarlierVersion || mayLackRows) {
    cell::MarkDirty(mState, job);
  }
}

} // namespace eelgrasspost::dispatch
