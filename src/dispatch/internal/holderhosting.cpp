#include <algorithm>

#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** A long-running task that has waited for this time is moved to another cell
 * with capacity, as its users should have it back within 6 s. */
constexpr auto kHostingDelay = Milliseconds(1000);
/** A task for which capacity is reserved in its own cell moves to a cell that
 * has to free capacity as well only after this time. */
constexpr auto kOwnReservationWait = Milliseconds(2500);
/** A cell that could not reserve capacity is not asked to do so again for this
 * time. Its status lags, and counts capacity that is scattered over workers. */
constexpr auto kRefusingHostDelay = Milliseconds(1000);
/** The same for capacity that has to be free at once, which changes with each
 * status. */
constexpr auto kStatusInterval = Milliseconds(300);
/** Holders reply to a request for capacity without calls of their own. */
constexpr auto kReservationTimeout = Milliseconds(400);
/** Maximum number of cells that are asked in a row for one task. */
constexpr std::size_t kMaxHostsAsked = 8;
/** Maximum number of tasks that are moved at one time. */
constexpr std::size_t kMaxMovingTasks = 8;
constexpr auto kStoredPollInterval = Milliseconds(20);
/** Tasks that wait for this time are logged, at most once per interval. */
constexpr auto kLoggedWait = Milliseconds(1500);
constexpr auto kWaitLogInterval = Milliseconds(1000);
constexpr std::size_t kMaxLoggedWaits = 16;
constexpr std::size_t kMaxLoggedWorkers = 6;
/** How often a host cell checks whether a hosted job still exists; well below
 * the 3 s within which a cancelled job has to end. */
constexpr auto kHostedJobCheckInterval = Milliseconds(1000);

auto Contains(const std::vector<cell::TaskPosition>& aTasks,
              const cell::TaskPosition& aTask) -> bool
{
  return std::find(aTasks.begin(), aTasks.end(), aTask) != aTasks.end();
}

} // namespace

auto CellHolder::FindOwnJob(const std::string& aId) -> cell::Job*
{
  auto* job = cell::FindJob(mState, aId);
  return job && !cell::IsHostedJob(*job) ? job : nullptr;
}

/** Logs why long-running tasks wait. */
auto CellHolder::LogWaitingTasks() -> void
{
  const auto now = base::MonotonicClock::now();
  if (now < mNextWaitLogAt) {
    return;
  }
  const auto waiting = cell::FindWaiting(mState, now, kLoggedWait);
  if (waiting.empty() && !mHasRefusedRequest) {
    return;
  }
  mNextWaitLogAt = now + kWaitLogInterval;
  mHasRefusedRequest = false;
  const auto capacity = cell::FindFreeCapacity(mState, now);
  LogFreeCapacity(capacity);
  const auto largest = [&](bool aIsExcluded) -> std::int64_t {
    const auto it =
      std::find_if(capacity.begin(), capacity.end(), [&](const auto& aItem) {
        return aIsExcluded == (aItem.mExclusion != cell::WorkerExclusion::None);
      });
    return it == capacity.end() ? 0 : it->mFree.mCpuMillis;
  };
  const auto room = cell::RoomOf(mState, now);
  const auto n = std::min(waiting.size(), kMaxLoggedWaits);
  for (std::size_t i = 0; i < n; ++i) {
    const auto& it = waiting[i];
    const auto& need = cell::SpecOf(*it.mTask).mNeed;
    const auto isHosted = cell::IsHostedJob(*it.mTask->mJob);
    const auto* worker = it.mReservedOn;
    mContext.mLog.Record(
      kTaskWaits,
      { { "cell", mRow.mName },
        { "task", cell::TaskName(*it.mTask) },
        { "reason", base::NameOf(cell::kWaitReasonNames, it.mReason) },
        { "waited_ms", it.mWaited.count() },
        { "is_hosted", static_cast<std::int64_t>(isHosted ? 1 : 0) },
        { "need_cpu_millis", need.mCpuMillis },
        { "need_memory_mb", need.mMemoryMb },
        { "largest_free_cpu_millis", room.mLargestCpuMillis },
        { "largest_free_or_reserved_cpu_millis", largest(false) },
        { "largest_excluded_cpu_millis", largest(true) },
        { "free_cpu_millis", room.mFree.mCpuMillis },
        { "largest_reservable_cpu_millis", room.mLargestReservableCpuMillis },
        { "reserved_on", worker ? worker->mRecord.mId : std::string() },
        { "reserved_ms", it.mReservedFor.count() },
        { "reserved_on_free_cpu_millis",
          worker
            ? worker->mRecord.mCapacity.mCpuMillis - worker->mUsed.mCpuMillis
            : 0 },
        { "reserved_for_others_cpu_millis", it.mReservedForOthersCpuMillis },
        { "waiting_tasks", static_cast<std::int64_t>(waiting.size()) } });
  }
}

auto CellHolder::LogFreeCapacity(
  const std::vector<cell::FreeCapacity>& aCapacity) -> void
{
  const auto n = std::min(aCapacity.size(), kMaxLoggedWorkers);
  for (std::size_t i = 0; i < n; ++i) {
    const auto& it = aCapacity[i];
    mContext.mLog.Record(
      kFreeCapacity,
      { { "cell", mRow.mName },
        { "worker", it.mWorker->mRecord.mId },
        { "free_cpu_millis", it.mFree.mCpuMillis },
        { "free_memory_mb", it.mFree.mMemoryMb },
        { "reserved_cpu_millis", it.mReserved.mCpuMillis },
        { "reserved_for", it.mReservedFor },
        { "reserved_ms", it.mReservedTime.count() },
        { "missing_cpu_millis", it.mMissingCpuMillis },
        { "exclusion",
          base::NameOf(cell::kWorkerExclusionNames, it.mExclusion) } });
  }
}

/** Moves long-running tasks for which this cell has no capacity to other
 * cells. */
auto CellHolder::MoveStarvedTasks() -> void
{
  const auto now = base::MonotonicClock::now();
  if (mIsShuttingDown || !CanSendOrders()) {
    return;
  }
  for (const auto* it : cell::FindStarved(mState, now, kHostingDelay)) {
    if (mMovingTasks.size() >= kMaxMovingTasks) {
      return;
    }
    auto name = cell::TaskName(*it);
    if (!cell::IsHostedJob(*it->mJob) && mMovingTasks.insert(name).second) {
      net::SpawnTask(mContext.mExecutor, MoveTask(std::move(name)));
    }
  }
}

/** Asks other cells until one of them has reserved capacity. */
auto CellHolder::ReserveInOtherCell(cell::LongRunningNeed aNeed, bool aMayWait)
  -> net::Task<std::optional<std::string>>
{
  for (std::size_t i = 0; i < kMaxHostsAsked; ++i) {
    const auto now = base::MonotonicClock::now();
    const std::vector<TaskNeed> needs = { NeedOf(aNeed) };
    const auto host = mContext.mFindHostCell(
      { aNeed.mResources,
        FindRefusingCells(mHostRefusals, needs, now),
        FindRefusingCells(mReservationRefusals, needs, now),
        aMayWait,
        aNeed.mIsRestart });
    if (!host) {
      if (now >= mNextNoHostLogAt) {
        mNextNoHostLogAt = now + kWaitLogInterval;
        mContext.mLog.Record(
          kNoHostCell,
          { { "cell", mRow.mName },
            { "task", aNeed.mTask },
            { "need_cpu_millis", aNeed.mResources.mCpuMillis },
            { "may_wait", static_cast<std::int64_t>(aMayWait ? 1 : 0) },
            { "refused_lately",
              static_cast<std::int64_t>(mHostRefusals.size()) } });
      }
      co_return std::nullopt;
    }
    JobCommand command;
    command.mKind = JobCommandKind::ReserveCapacity;
    command.mCell = *host;
    command.mRequest = { mRow.mName, aNeed, aMayWait };
    command.mTimeoutMs = kReservationTimeout.count();
    const auto reply = co_await mContext.mExecute(std::move(command));
    if (reply.mOutcome == JobOutcome::Done) {
      co_return host;
    }
    if (mPhase != HolderPhase::Active) {
      co_return std::nullopt;
    }
    const auto refusedAt = base::MonotonicClock::now();
    mHostRefusals.push_back({ *host, needs, refusedAt + kStatusInterval });
    if (aMayWait) {
      mReservationRefusals.push_back(
        { *host, needs, refusedAt + kRefusingHostDelay });
    }
    mContext.mLog.Record(
      kHostRefused,
      { { "task", aNeed.mTask },
        { "from", mRow.mName },
        { "to", *host },
        { "outcome", static_cast<std::int64_t>(reply.mOutcome) } });
  }
  co_return std::nullopt;
}

/** One transaction writes the row that makes the host cell start the task and
 * the row that prevents its start here. */
auto CellHolder::MoveTask(std::string aTask) -> net::Task<void>
{
  const auto self = shared_from_this();
  const auto now = base::MonotonicClock::now();
  auto* task = cell::FindTask(mState, aTask);
  if (!task) {
    mMovingTasks.erase(aTask);
    co_return;
  }
  const auto mayWait = !cell::FindReservedWorker(mState, aTask, now) ||
                       now - task->mReadyAt > kOwnReservationWait;
  const auto host = co_await ReserveInOtherCell(cell::NeedOf(*task), mayWait);
  mMovingTasks.erase(aTask);
  if (!host) {
    co_return;
  }
  task = cell::FindTask(mState, aTask);
  const auto mayMove = task && task->mPhase == cell::TaskPhase::Ready &&
                       !task->mMayBeRunning && !task->mJob->mIsMigrating &&
                       !cell::IsFinal(task->mJob->mState) && !mIsShuttingDown &&
                       CanSendOrders();
  if (!mayMove) {
    co_return;
  }
  if (!MayHost(*task, *host)) {
    mHostRefusals.push_back(
      { *host, { NeedOf(cell::NeedOf(*task)) }, now + kRefusingHostDelay });
    co_return;
  }
  const auto id = task->mJob->mStored.mSpec.mId;
  cell::MoveTaskToHost(mState, *task, *host);
  ScheduleDecision();
  mContext.mLog.Record(
    kTaskHosted,
    { { "task", aTask }, { "from", mRow.mName }, { "to", *host } });
  co_await NotifyHostWhenStored(id, *host);
}

/** Notifies a host cell once the current progress of a job is stored. */
auto CellHolder::NotifyHostWhenStored(std::string aId, std::string aHost)
  -> net::Task<void>
{
  const auto self = shared_from_this();
  const auto rows = mRows.find(aId);
  const auto version = rows == mRows.end() ? 0 : rows->second.mProgressVersion;
  while (mPhase == HolderPhase::Active && mRows.contains(aId) &&
         mRows.at(aId).mProgressVersion <= version) {
    co_await net::Sleep(kStoredPollInterval);
  }
  co_await NotifyHost(aId, aHost);
}

/** Notifies a host cell of the tasks that it runs, until it has read them from
 * the store. */
auto CellHolder::NotifyHost(std::string aId, std::string aHost)
  -> net::Task<void>
{
  const auto self = shared_from_this();
  while (mPhase == HolderPhase::Active) {
    const auto* job = FindOwnJob(aId);
    auto tasks = job ? cell::RemoteTasksByHost(*job)
                     : std::map<std::string, std::vector<cell::TaskPosition>>();
    if (!tasks.contains(aHost)) {
      co_return;
    }
    JobCommand command;
    command.mKind = JobCommandKind::SyncHostedJob;
    command.mCell = aHost;
    command.mJobId = aId;
    command.mJob.mHostedTasks = std::move(tasks.at(aHost));
    command.mTimeoutMs = kStoreTimeout.count();
    const auto reply = co_await mContext.mExecute(std::move(command));
    if (reply.mOutcome == JobOutcome::Done) {
      co_return;
    }
    co_await net::Sleep(kRetryInterval);
  }
}

/** A holder that raises the fence from now on reads the job's rows afterwards.
 */
auto CellHolder::HoldsFence(std::string aId) -> net::Task<std::optional<bool>>
{
  RangeQuery query;
  query.mTable = std::string(kFenceTable);
  query.mPartition = PartitionName(PartitionOf(aId));
  query.mFrom = mRow.mName;
  query.mLimit = 1;
  const auto reply = co_await mContext.mStore.ReadRange(
    query, base::MonotonicClock::now() + kStoreTimeout);
  if (reply.mOutcome != StoreOutcome::Done) {
    co_return std::nullopt;
  }
  co_return !reply.mRows.empty() && reply.mRows[0].mKey == mRow.mName &&
    reply.mRows[0].mVersion == mFences.at(PartitionOf(aId));
}

/** The write of the hosted job's row may not be executed yet. */
auto CellHolder::ConfirmHostedTasks(JobCommand aCommand) -> net::Task<JobReply>
{
  const auto& id = aCommand.mJobId;
  const auto reply = co_await SyncHostedJob(id, true);
  const auto* job = cell::FindJob(mState, id);
  const auto isComplete =
    job && std::all_of(aCommand.mJob.mHostedTasks.begin(),
                       aCommand.mJob.mHostedTasks.end(),
                       [&](const cell::TaskPosition& aTask) {
                         return Contains(job->mStored.mHostedTasks, aTask);
                       });
  co_return reply.mOutcome == JobOutcome::Done && !isComplete
    ? JobReply{ JobOutcome::NotInCell }
    : reply;
}

auto CellHolder::ReserveCapacity(const CapacityRequest& aRequest) -> JobReply
{
  const auto now = base::MonotonicClock::now();
  const auto isReserved =
    !mIsShuttingDown && CanSendOrders() &&
    cell::ReserveCapacity(mState, aRequest.mNeed, aRequest.mMayWait, now);
  mHasRefusedRequest = mHasRefusedRequest || !isReserved;
  return { isReserved ? JobOutcome::Done : JobOutcome::Refused };
}

/** Whether no later read of a hosted job's row was applied. */
auto CellHolder::IsNewestSync(const std::string& aId,
                              std::uint64_t aVersion,
                              MonotonicTime aNow) -> bool
{
  std::erase_if(mHostedSyncs, [&](const auto& aItem) {
    return aNow - aItem.second.mAt > kMaxWriteDelay;
  });
  auto& last = mHostedSyncs[aId];
  if (aVersion < last.mVersion) {
    return false;
  }
  last = { aVersion, aNow };
  return true;
}

/** Reads the hosted tasks from the store only, so delayed or duplicate messages
 * do no harm. */
auto CellHolder::SyncHostedJob(std::string aId, bool aMustHoldFence)
  -> net::Task<JobReply>
{
  RangeQuery query;
  query.mTable = std::string(kJobTable);
  query.mPartition = PartitionName(PartitionOf(aId));
  query.mFrom = JobKey(aId);
  query.mLimit = 1;
  const auto reply = co_await mContext.mStore.ReadRange(
    query, base::MonotonicClock::now() + kStoreTimeout);
  if (reply.mOutcome != StoreOutcome::Done || mPhase != HolderPhase::Active) {
    co_return JobReply{ JobOutcome::Uncertain };
  }
  std::optional<cell::StoredJob> stored;
  if (!reply.mRows.empty() && reply.mRows[0].mKey == JobKey(aId)) {
    auto decoded = net::Decode<cell::StoredJob>(reply.mRows[0].mValue);
    if (!decoded.ok() || decoded->mHostedTasks.empty()) {
      co_return JobReply{ JobOutcome::Refused };
    }
    stored = *std::move(decoded);
  }
  auto outcome = JobOutcome::Done;
  const auto* job = cell::FindJob(mState, aId);
  const auto addsTasks =
    stored && std::any_of(stored->mHostedTasks.begin(),
                          stored->mHostedTasks.end(),
                          [&](const cell::TaskPosition& aTask) {
                            return !job ||
                                   !Contains(job->mStored.mHostedTasks, aTask);
                          });
  if (aMustHoldFence || addsTasks) {
    // A later holder, which may start them too, expects that tasks which were
    // written after its fence do not run under an earlier one.
    const auto isHeld = co_await HoldsFence(aId);
    if (mPhase != HolderPhase::Active) {
      co_return JobReply{ JobOutcome::Uncertain };
    }
    outcome = !isHeld   ? JobOutcome::Uncertain
              : *isHeld ? JobOutcome::Done
                        : JobOutcome::CellNotHeld;
  }
  if (!IsNewestSync(aId, reply.mVersion, base::MonotonicClock::now())) {
    // A later read arrived first.
    co_return JobReply{ JobOutcome::Uncertain };
  }
  if (outcome == JobOutcome::Done || !stored) {
    ApplyHostedJob(aId, reply, std::move(stored));
  } else if (auto* known = cell::FindJob(mState, aId); known && stored) {
    // Tasks that are hosted no more must not be started in any case.
    auto tasks = known->mStored.mHostedTasks;
    std::erase_if(tasks, [&](const cell::TaskPosition& aTask) {
      return !Contains(stored->mHostedTasks, aTask);
    });
    cell::SetHostedTasks(
      mState, *known, std::move(tasks), false, base::MonotonicClock::now());
  }
  co_return JobReply{ outcome };
}

/** Applies what was read of a hosted job; nothing if it has no row. */
auto CellHolder::ApplyHostedJob(const std::string& aId,
                                const StoreReply& aReply,
                                std::optional<cell::StoredJob> aStored) -> void
{
  auto* known = cell::FindJob(mState, aId);
  if (!aStored) {
    if (known && cell::IsHostedJob(*known)) {
      DropJob(aId);
      ScheduleDecision();
    }
    return;
  }
  const auto now = base::MonotonicClock::now();
  const auto version = aReply.mRows[0].mVersion;
  mRows[aId].mJobVersion = version;
  // Earlier holders start no task of a row that was written after the fence.
  const auto mayBeRunning = version < mFences.at(PartitionOf(aId));
  if (known) {
    cell::SetHostedTasks(
      mState, *known, std::move(aStored->mHostedTasks), mayBeRunning, now);
  } else {
    const auto isInherited =
      mayBeRunning && !mState.mUnreconciledWorkers.empty();
    cell::AddJob(
      mState, *std::move(aStored), {}, isInherited, now, base::WallClockMs());
    net::SpawnTask(mContext.mExecutor, WatchHostedJob(aId));
  }
  ScheduleDecision();
}

/** Stops the hosted tasks when the job's rows are removed, as after its
 * cancellation. */
auto CellHolder::WatchHostedJob(std::string aId) -> net::Task<void>
{
  const auto self = shared_from_this();
  while (mPhase == HolderPhase::Active) {
    co_await net::Sleep(kHostedJobCheckInterval);
    const auto* job = cell::FindJob(mState, aId);
    if (!job || !cell::IsHostedJob(*job)) {
      co_return;
    }
    co_await SyncHostedJob(aId);
  }
}

auto CellHolder::ReportGivenUpJob(const cell::Job& aJob) -> void
{
  if (cell::IsFinal(aJob.mState)) {
    net::SpawnTask(mContext.mExecutor, NotifyOwner(aJob.mStored.mSpec.mId));
  }
}

/** Tells the cell that owns a hosted job that a task of it is given up, until
 * the job's row is removed. */
auto CellHolder::NotifyOwner(std::string aId) -> net::Task<void>
{
  const auto self = shared_from_this();
  while (mPhase == HolderPhase::Active && cell::FindJob(mState, aId)) {
    if (const auto owner = co_await FindOwner(aId)) {
      JobCommand command;
      command.mKind = JobCommandKind::GiveUpJob;
      command.mCell = *owner;
      command.mJobId = aId;
      command.mTimeoutMs = kStoreTimeout.count();
      co_await mContext.mExecute(std::move(command));
    }
    co_await net::Sleep(kHostedJobCheckInterval);
  }
}

auto CellHolder::GiveUpJob(const std::string& aId) -> JobReply
{
  auto* job = FindOwnJob(aId);
  if (!job) {
    return { JobOutcome::NotInCell };
  }
  cell::GiveUpHostedJob(mState, *job);
  ScheduleDecision();
  return { JobOutcome::Done };
}

} // namespace eelgrasspost::dispatch
