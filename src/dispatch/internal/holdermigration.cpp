#include "cellchoice.h"
#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/evacuation.h"
#include "eelgrasspost/cell/load.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "progressrow.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

constexpr auto kResolveInterval = Milliseconds(500);
/** A cell that declined a job is not asked for the like of it for this time. */
constexpr auto kDeclinedDelay = Milliseconds(1000);

} // namespace

auto CellHolder::TryMigration(cell::MigratableJob aJob) -> bool
{
  auto* job = cell::FindJob(mState, aJob.mId);
  aJob.mExcludedCells =
    FindRefusingCells(mImportRefusals,
                      NeedsOf(job->mStored, aJob.mWaitingSteps),
                      base::MonotonicClock::now());
  const auto isDelayed = aJob.mWaited == Milliseconds(0);
  const auto target = isDelayed ? mContext.mFindEmptierCell(aJob)
                                : mContext.mFindCellWithCapacity(aJob);
  if (!target) {
    return false;
  }
  job->mIsMigrating = true;
  // A cell with suitable workers is left only for one that has room now.
  const auto mustStartAtOnce = aJob.mCanRunHere && !isDelayed;
  net::SpawnTask(mContext.mExecutor,
                 MigrateJob(std::move(aJob), *target, mustStartAtOnce));
  return true;
}

auto CellHolder::MigrateJobs() -> void
{
  if (mIsShuttingDown || !CanSendOrders() || mState.mReady.empty()) {
    return;
  }
  const auto now = base::MonotonicClock::now();
  for (const auto& it : cell::FindDelayedJobs(mState, now)) {
    TryMigration(it);
  }
  const auto maxMoves = cell::IsClosed(mState) ? kMigrationsPerTickOfClosedCell
                                               : kMigrationsPerTick;
  std::size_t moves = 0;
  const auto jobs = cell::FindMigratable(mState, now, kMigrationDelay);
  for (const auto& it : jobs) {
    if (moves >= maxMoves) {
      return;
    }
    moves += IsMigrationDue(it) && TryMigration(it) ? 1 : 0;
  }
  if (mContext.mPlanOverflow && moves < maxMoves) {
    OverflowJobs(jobs, maxMoves - moves, now);
  }
}

auto CellHolder::OverflowJobs(const std::vector<cell::MigratableJob>& aJobs,
                              std::size_t aMaxMoves,
                              MonotonicTime aNow) -> void
{
  std::erase_if(mArrivals, [&](const auto& aArrival) {
    return aNow - aArrival.second > kMoveRestTime;
  });
  // The expected wait holds for the last jobs in line.
  std::vector<OverflowCandidate> candidates;
  for (auto it = aJobs.rbegin();
       it != aJobs.rend() && candidates.size() < kOverflowCandidatesPerTick;
       ++it) {
    const auto* job = cell::FindJob(mState, it->mId);
    if (job->mIsMigrating || !it->mCanRunHere || mArrivals.contains(it->mId) ||
        it->mLateness == cell::Lateness::Worthless ||
        !cell::IsSubjectToAdmission(job->mStored.mSpec)) {
      continue;
    }
    const auto& stored = job->mStored;
    candidates.push_back({ *it, cell::DemandOf(stored.mSpec, stored.mQueue) });
    candidates.back().mJob.mExcludedCells = FindRefusingCells(
      mImportRefusals, NeedsOf(stored, it->mWaitingSteps), aNow);
  }
  if (candidates.empty()) {
    return;
  }
  for (auto& it : mContext.mPlanOverflow(candidates, aMaxMoves)) {
    mContext.mMetrics.FindCounter("jobs_overflowed_total").Add();
    mContext.mLog.Record(kJobOverflows,
                         { { "job", it.mJob.mId },
                           { "from", mRow.mName },
                           { "to", it.mCell },
                           { "expected_wait_ms", it.mWaitHere.count() },
                           { "expected_wait_there_ms", it.mWaitThere.count() },
                           { "waited_ms", it.mJob.mWaited.count() } });
    cell::FindJob(mState, it.mJob.mId)->mIsMigrating = true;
    net::SpawnTask(mContext.mExecutor,
                   MigrateJob(std::move(it.mJob), it.mCell, false));
  }
}

/** The target cell rewrites the job's rows on condition that the rows of this
 * cell are unchanged. While the outcome is unknown the job stays frozen here;
 * storing its progress then shows which of the two writes came first. */
auto CellHolder::MigrateJob(cell::MigratableJob aJob,
                            std::string aCell,
                            bool aMustStartAtOnce) -> net::Task<void>
{
  const auto self = shared_from_this();
  const auto& aId = aJob.mId;
  auto* job = cell::FindJob(mState, aId);
  if (!job || !mRows.contains(aId)) {
    co_return;
  }
  const auto& rows = mRows.at(aId);
  if (IsInPieces(job->mStored) && (job->mIsDirty || rows.mIsBeingWritten ||
                                   !rows.mEarlierProgress.empty())) {
    // Its pieces stay where they are and have to be complete.
    job->mIsMigrating = false;
    co_return;
  }
  JobCommand command;
  command.mKind = JobCommandKind::ImportJob;
  command.mCell = aCell;
  command.mJobId = aId;
  command.mJob = job->mStored;
  command.mProgress = cell::ProgressOf(*job);
  command.mSource = {
    mRow.mName,       mFences.at(PartitionOf(aId)),
    rows.mJobVersion, rows.mProgressVersion,
    rows.mGeneration, { rows.mPieces.begin(), rows.mPieces.end() },
    rows.mDonePieces
  };
  command.mTimeoutMs = kStoreTimeout.count();
  command.mWaitingSteps = aJob.mWaitingSteps;
  command.mMustStartAtOnce = aMustStartAtOnce;
  const auto needs = NeedsOf(job->mStored, aJob.mWaitingSteps);
  const auto source = command.mSource;
  const auto reply = co_await mContext.mExecute(std::move(command));
  if (mPhase == HolderPhase::Ended) {
    co_return;
  }
  if (reply.mOutcome == JobOutcome::Declined) {
    mImportRefusals.push_back(
      { aCell, needs, base::MonotonicClock::now() + kDeclinedDelay });
  }
  mContext.mLog.Record(
    kJobMigrated,
    { { "job", aId },
      { "from", mRow.mName },
      { "to", aCell },
      { "term", static_cast<std::int64_t>(mRow.mTerm) },
      { "job_version", static_cast<std::int64_t>(source.mJobVersion) },
      { "progress_version",
        static_cast<std::int64_t>(source.mProgressVersion) },
      { "outcome", static_cast<std::int64_t>(reply.mOutcome) } });
  job = cell::FindJob(mState, aId);
  if (!job) {
    co_return;
  }
  if (reply.mOutcome == JobOutcome::Done) {
    DropJob(aId);
    co_return;
  }
  if (reply.mOutcome != JobOutcome::Uncertain) {
    job->mIsMigrating = false;
    co_return;
  }
  while (mPhase == HolderPhase::Active) {
    job = cell::FindJob(mState, aId);
    if (!job) {
      co_return;
    }
    job->mIsDirty = true;
    mState.mDirty.insert(aId);
    const auto version = mRows.at(aId).mProgressVersion;
    ScheduleDecision();
    co_await net::Sleep(kRetryInterval);
    const auto it = mRows.find(aId);
    job = cell::FindJob(mState, aId);
    if (job && it != mRows.end() && it->second.mProgressVersion > version) {
      job->mIsMigrating = false;
      co_return;
    }
  }
}

auto CellHolder::DropJob(const std::string& aId) -> void
{
  mRows.erase(aId);
  mSetAsideJobs.erase(aId);
  cell::RemoveJob(mState, aId);
}

/** Finds out whether an import whose reply was lost has been applied. */
auto CellHolder::ResolveImport(std::string aId) -> net::Task<void>
{
  const auto self = shared_from_this();
  const auto last = base::MonotonicClock::now() + kMaxWriteDelay;
  auto isResolved = false;
  while (!isResolved && mPhase == HolderPhase::Active &&
         base::MonotonicClock::now() < last) {
    isResolved = co_await LoadJob(aId);
    if (!isResolved) {
      co_await net::Sleep(kResolveInterval);
    }
  }
  mUnresolvedJobs.erase(aId);
}

auto CellHolder::LoadJob(std::string aId) -> net::Task<bool>
{
  const auto row = co_await ReadJobRow(kJobTable, aId);
  if (!row || row->mVersion == 0) {
    co_return false;
  }
  auto job = net::Decode<cell::StoredJob>(row->mValue);
  if (!job.ok() || !job->mHostedTasks.empty()) {
    co_return false;
  }
  const auto progressRow = co_await ReadJobRow(kProgressTable, aId);
  if (!progressRow) {
    co_return false;
  }
  LoadedJob loaded;
  loaded.mJob = *std::move(job);
  loaded.mRows.mJobVersion = row->mVersion;
  loaded.mRows.mProgressVersion = progressRow->mVersion;
  loaded.mProgressValue = progressRow->mValue;
  const auto isLoaded = co_await LoadProgress(loaded);
  if (!isLoaded || loaded.mHasEnded || loaded.mIsDamaged ||
      mPhase != HolderPhase::Active) {
    co_return false;
  }
  // Runs refer to the tasks of a job that was added meanwhile.
  if (!cell::FindJob(mState, aId) && !mFinished.contains(aId)) {
    AddLoadedJob(std::move(loaded), false);
    ScheduleDecision();
  }
  co_return true;
}

auto CellHolder::ReadJobRow(std::string_view aTable, std::string aId)
  -> net::Task<std::optional<StoreRow>>
{
  RangeQuery query;
  query.mTable = std::string(aTable);
  query.mPartition = PartitionName(PartitionOf(aId));
  query.mFrom = JobKey(aId);
  query.mLimit = 1;
  auto reply = co_await mContext.mStore.ReadRange(
    query, base::MonotonicClock::now() + kStoreTimeout);
  if (reply.mOutcome != StoreOutcome::Done) {
    co_return std::nullopt;
  }
  if (reply.mRows.empty() || reply.mRows[0].mKey != query.mFrom) {
    co_return StoreRow{};
  }
  co_return std::move(reply.mRows[0]);
}

/** The progress row of an imported job; nothing if it has none yet. */
auto CellHolder::EncodeImportedProgress(const JobCommand& aCommand)
  -> std::optional<std::string>
{
  const auto& origin = aCommand.mSource;
  if (origin.mGeneration != 0) {
    ProgressHeadRow head;
    head.mHead = { origin.mGeneration, {}, origin.mDonePieces };
    return net::Encode(head);
  }
  if (IsInPieces(aCommand.mJob)) {
    return std::nullopt;
  }
  auto progress = aCommand.mProgress;
  LimitCheckpoints(aCommand.mJobId, progress.mTasks);
  return net::Encode(progress);
}

auto CellHolder::ImportJob(JobCommand aCommand) -> net::Task<JobReply>
{
  const auto& id = aCommand.mJobId;
  if (mIsShuttingDown || !CanSendOrders() || mUnresolvedJobs.contains(id)) {
    co_return JobReply{ JobOutcome::CellNotHeld };
  }
  if (const auto* job = cell::FindJob(mState, id)) {
    // A hosted job is not the job itself, of which the rows are elsewhere. A
    // migrating one may be in the other cell by now.
    const auto isElsewhere = cell::IsHostedJob(*job) || job->mIsMigrating;
    co_return JobReply{ isElsewhere ? JobOutcome::Refused : JobOutcome::Done };
  }
  // Jobs for which no cell has a suitable worker would move between cells.
  const auto isDeclined =
    !cell::CanRunSteps(mState, aCommand.mJob, aCommand.mWaitingSteps) ||
    (aCommand.mMustStartAtOnce &&
     !cell::HasRoomForSteps(mState,
                            aCommand.mJob,
                            aCommand.mWaitingSteps,
                            base::MonotonicClock::now()));
  if (isDeclined) {
    co_return JobReply{ JobOutcome::Declined };
  }
  const auto partition = PartitionOf(id);
  const auto& origin = aCommand.mSource;
  const auto fromKey = base::Cat(origin.mCell, "/", id);
  const auto fromJob = RowKey{ std::string(kJobTable), fromKey };
  const auto fromProgress = RowKey{ std::string(kProgressTable), fromKey };
  StoreTransaction transaction;
  transaction.mPartition = PartitionName(partition);
  transaction.mExpected = { FenceOf(partition),
                            { { std::string(kFenceTable), origin.mCell },
                              origin.mFenceVersion },
                            { fromJob, origin.mJobVersion },
                            { fromProgress, origin.mProgressVersion } };
  transaction.mRemovals = { fromJob };
  if (origin.mProgressVersion > 0) {
    transaction.mRemovals.push_back(fromProgress);
  }
  const auto row =
    JobIdRow{ mRow.mName, cell::JobState::Queued, base::WallClockMs() };
  transaction.mWrites = { { { std::string(kIdTable), id }, net::Encode(row) },
                          { { std::string(kJobTable), JobKey(id) },
                            net::Encode(aCommand.mJob) } };
  if (auto progress = EncodeImportedProgress(aCommand)) {
    transaction.mWrites.push_back(
      { { std::string(kProgressTable), JobKey(id) }, *std::move(progress) });
  }
  const auto hasProgressRow = transaction.mWrites.size() > 2;
  mUnresolvedJobs.insert(id);
  const auto reply = co_await mContext.mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  if (mPhase == HolderPhase::Ended) {
    co_return JobReply{ JobOutcome::Uncertain };
  }
  if (reply.mOutcome == StoreOutcome::Conflict) {
    CheckFence(reply);
  }
  if (reply.mOutcome == StoreOutcome::Unknown) {
    // Until it is resolved, a submission of the id must not add the job.
    net::SpawnTask(mContext.mExecutor, ResolveImport(id));
    co_return JobReply{ JobOutcome::Uncertain };
  }
  mUnresolvedJobs.erase(id);
  if (reply.mOutcome != StoreOutcome::Done) {
    co_return JobReply{ JobOutcome::Refused };
  }
  mRows[id] = { reply.mVersion,
                hasProgressRow ? reply.mVersion : 0,
                origin.mGeneration,
                { origin.mPieces.begin(), origin.mPieces.end() },
                origin.mDonePieces };
  if (mContext.mPlanOverflow) {
    mArrivals[id] = base::MonotonicClock::now();
  }
  cell::AddJob(mState,
               std::move(aCommand.mJob),
               aCommand.mProgress,
               false,
               base::MonotonicClock::now(),
               base::WallClockMs());
  ScheduleDecision();
  co_return JobReply{ JobOutcome::Done };
}

} // namespace eelgrasspost::dispatch
