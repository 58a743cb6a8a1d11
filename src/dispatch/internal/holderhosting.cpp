#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** A lasting task that waited so long runs in another cell, if one has room.
 * Its users should have it back within six seconds. */
constexpr auto kHostingDelay = Milliseconds(1000);
constexpr auto kStoredPollInterval = Milliseconds(20);
/** How often a host reads whether a guest's job still exists: well within the
 * three seconds in which a cancelled job has to end. */
constexpr auto kHostedJobCheckInterval = Milliseconds(1000);

} // namespace

auto CellHolder::FindOwnJob(const std::string& aId) -> cell::Job*
{
  auto* job = cell::FindJob(mState, aId);
  return job && !cell::IsHostedJob(*job) ? job : nullptr;
}

/** Looks for another cell for a lasting task that finds no room here. */
auto CellHolder::MoveStarvedTasks() -> void
{
  const auto now = base::MonotonicClock::now();
  if (mIsMovingTask || mIsShuttingDown || !CanSendOrders()) {
    return;
  }
  for (const auto* it : cell::FindStarved(mState, now, kHostingDelay)) {
    const auto& need = it->mJob->mStored.mSpec.mSteps[it->mStep].mNeed;
    if (const auto host = mContext.mFindHostCell(need)) {
      mIsMovingTask = true;
      net::SpawnTask(mContext.mExecutor, MoveTask(cell::TaskName(*it), *host));
      return;
    }
  }
}

/** The row that makes the host start the task and the row that keeps it from
 * being started here are written in one transaction. The task never comes back:
 * nobody has to find out whether it may still run there. */
auto CellHolder::MoveTask(std::string aTask, std::string aHost)
  -> net::Task<void>
{
  const auto self = shared_from_this();
  auto* task = cell::FindTask(mState, aTask);
  JobCommand command;
  command.mKind = JobCommandKind::ReserveCapacity;
  command.mCell = aHost;
  command.mRequest = { mRow.mName,
                       task->mJob->mStored.mQueue.mService,
                       task->mJob->mStored.mSpec.mSteps[task->mStep].mNeed };
  command.mTimeoutMs = kStoreTimeout.count();
  const auto reply = co_await mContext.mExecute(std::move(command));
  mIsMovingTask = false;
  task = cell::FindTask(mState, aTask);
  const auto maySend = reply.mOutcome == JobOutcome::Done && task &&
                       task->mPhase == cell::TaskPhase::Ready &&
                       !task->mMayBeRunning && !task->mJob->mIsMigrating &&
                       !cell::IsFinal(task->mJob->mState) && !mIsShuttingDown &&
                       CanSendOrders();
  if (!maySend) {
    co_return;
  }
  const auto id = task->mJob->mStored.mSpec.mId;
  const auto version = mRows[id].mProgressVersion;
  cell::MoveTaskToHost(mState, *task, aHost);
  ScheduleDecision();
  while (mPhase == HolderPhase::Active && mRows.contains(id) &&
         mRows[id].mProgressVersion <= version) {
    co_await net::Sleep(kStoredPollInterval);
  }
  if (mPhase == HolderPhase::Active) {
    mContext.mLog.Record(
      kTaskHosted,
      { { "task", aTask }, { "from", mRow.mName }, { "to", aHost } });
    co_await NotifyHost(id, aHost);
  }
}

auto CellHolder::NotifyHost(std::string aId, std::string aHost)
  -> net::Task<void>
{
  const auto self = shared_from_this();
  while (mPhase == HolderPhase::Active && FindOwnJob(aId)) {
    JobCommand command;
    command.mKind = JobCommandKind::SyncHostedJob;
    command.mCell = aHost;
    command.mJobId = aId;
    command.mTimeoutMs = kStoreTimeout.count();
    const auto reply = co_await mContext.mExecute(std::move(command));
    if (reply.mOutcome == JobOutcome::Done) {
      co_return;
    }
    co_await net::Sleep(kRetryPause);
  }
}

auto CellHolder::ReserveCapacity(const CapacityRequest& aRequest) -> JobReply
{
  const auto now = base::MonotonicClock::now();
  const auto isKept =
    !mIsShuttingDown && CanSendOrders() &&
    cell::ReserveCapacity(mState, aRequest.mService, aRequest.mNeed, now);
  return { isKept ? JobOutcome::Done : JobOutcome::Refused };
}

/** What is to run here stands in the store only: a message that comes late or
 * twice does no harm. */
auto CellHolder::SyncHostedJob(std::string aId) -> net::Task<JobReply>
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
  const auto isThere =
    !reply.mRows.empty() && reply.mRows[0].mKey == JobKey(aId);
  auto* known = cell::FindJob(mState, aId);
  if (!isThere) {
    if (known && cell::IsHostedJob(*known)) {
      DropJob(aId);
      ScheduleDecision();
    }
    co_return JobReply{ JobOutcome::Done };
  }
  auto stored = net::Decode<cell::StoredJob>(reply.mRows[0].mValue);
  if (!stored.ok() || stored->mHostedTasks.empty()) {
    co_return JobReply{ JobOutcome::Refused };
  }
  const auto now = base::MonotonicClock::now();
  mRows[aId].mJobVersion = reply.mRows[0].mVersion;
  if (known) {
    cell::SetHostedTasks(mState, *known, std::move(stored->mHostedTasks), now);
  } else {
    cell::AddJob(
      mState, *std::move(stored), {}, false, now, base::WallClockMs());
    net::SpawnTask(mContext.mExecutor, WatchGuest(aId));
  }
  ScheduleDecision();
  co_return JobReply{ JobOutcome::Done };
}

/** A cancelled job's rows are gone; its guests end with them. */
auto CellHolder::WatchGuest(std::string aId) -> net::Task<void>
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

} // namespace eelgrasspost::dispatch
