#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** A hosted task that no worker can hold is returned after this time, */
constexpr auto kReturnDelay = Milliseconds(1000);
/** and one for which capacity is reserved, but not free, after this time. */
constexpr auto kReservedReturnDelay = Milliseconds(3000);
/** Interval between two attempts to return a task. */
constexpr auto kReturnRetryInterval = Milliseconds(1000);

} // namespace

/** Returns hosted tasks that cannot be started here to the cells that own
 * them, which may start them or move them to another cell. */
auto CellHolder::ReturnStarvedTasks() -> void
{
  const auto now = base::MonotonicClock::now();
  if (mIsShuttingDown || !CanSendOrders()) {
    return;
  }
  std::vector<std::string> names;
  for (const auto* it : cell::FindStarved(mState, now, kReturnDelay)) {
    const auto name = cell::TaskName(*it);
    const auto isDue = now - it->mReadyAt > kReservedReturnDelay ||
                       !cell::FindReservedWorker(mState, name, now);
    if (cell::IsHostedJob(*it->mJob) && isDue && now >= it->mNextReturnAt) {
      names.push_back(name);
    }
  }
  for (auto& it : names) {
    cell::FindTask(mState, it)->mIsReturning = true;
    net::SpawnTask(mContext.mExecutor, ReturnTask(std::move(it)));
  }
}

/** The owning cell rewrites the rows of both cells on condition that the row
 * and the fence of this cell are unchanged. Until the outcome is known the task
 * is not started here. */
auto CellHolder::ReturnTask(std::string aTask) -> net::Task<void>
{
  const auto self = shared_from_this();
  const auto* task = cell::FindTask(mState, aTask);
  const auto id = task->mJob->mStored.mSpec.mId;
  JobCommand command;
  command.mKind = JobCommandKind::ReturnTask;
  command.mJobId = id;
  command.mTask = { task->mOccurrence, task->mStep, task->mIndex };
  command.mSource = {
    mRow.mName, mFences.at(PartitionOf(id)), mRows[id].mJobVersion, 0
  };
  command.mTimeoutMs = kStoreTimeout.count();
  JobReply reply{ JobOutcome::CellNotHeld };
  if (const auto owner = co_await FindOwner(id)) {
    command.mCell = *owner;
    reply = co_await mContext.mExecute(std::move(command));
  }
  if (mPhase != HolderPhase::Active) {
    co_return;
  }
  mContext.mLog.Record(
    kTaskReturned,
    { { "task", aTask },
      { "from", mRow.mName },
      { "outcome", static_cast<std::int64_t>(reply.mOutcome) } });
  co_await SettleReturn(
    id, command.mSource.mJobVersion, reply.mOutcome == JobOutcome::Uncertain);
  if (auto* it = cell::FindTask(mState, aTask)) {
    it->mIsReturning = false;
    it->mNextReturnAt = base::MonotonicClock::now() + kReturnRetryInterval;
    ScheduleDecision();
  }
}

/** Reads which tasks of a hosted job are left. A return without a reply may
 * still be executed while the job's row has the version that it expects. */
auto CellHolder::SettleReturn(std::string aId,
                              std::uint64_t aJobVersion,
                              bool aIsUncertain) -> net::Task<void>
{
  const auto last = base::MonotonicClock::now() + kMaxWriteDelay;
  while (mPhase == HolderPhase::Active) {
    const auto reply = co_await SyncHostedJob(aId);
    const auto it = mRows.find(aId);
    const auto isSettled = !aIsUncertain || it == mRows.end() ||
                           it->second.mJobVersion != aJobVersion ||
                           base::MonotonicClock::now() >= last;
    if (reply.mOutcome != JobOutcome::Uncertain && isSettled) {
      co_return;
    }
    co_await net::Sleep(kRetryInterval);
  }
}

auto CellHolder::FindOwner(std::string aId)
  -> net::Task<std::optional<std::string>>
{
  RangeQuery query;
  query.mTable = std::string(kIdTable);
  query.mPartition = PartitionName(PartitionOf(aId));
  query.mFrom = aId;
  query.mLimit = 1;
  const auto found = co_await mContext.mStore.ReadRange(
    query, base::MonotonicClock::now() + kStoreTimeout);
  if (found.mOutcome != StoreOutcome::Done || found.mRows.empty() ||
      found.mRows[0].mKey != aId) {
    co_return std::nullopt;
  }
  const auto row = net::Decode<JobIdRow>(found.mRows[0].mValue);
  co_return row.ok() ? std::optional(row->mCell) : std::nullopt;
}

/** Takes back a task that its host cell cannot start. */
auto CellHolder::AcceptReturnedTask(JobCommand aCommand) -> net::Task<JobReply>
{
  const auto& id = aCommand.mJobId;
  const auto& host = aCommand.mSource;
  auto* job = FindOwnJob(id);
  if (!job) {
    co_return JobReply{ JobOutcome::NotInCell };
  }
  auto* task = cell::FindTask(*job, aCommand.mTask);
  const auto isThere = task && task->mPhase == cell::TaskPhase::Remote &&
                       task->mHostCell == host.mCell;
  if (!isThere || mIsShuttingDown || !CanSendOrders() ||
      cell::IsFinal(job->mState)) {
    co_return JobReply{ JobOutcome::Refused };
  }
  const auto partition = PartitionOf(id);
  StoreTransaction transaction;
  transaction.mPartition = PartitionName(partition);
  const auto hostJob =
    RowKey{ std::string(kJobTable), base::Cat(host.mCell, "/", id) };
  transaction.mExpected = { FenceOf(partition),
                            { { std::string(kFenceTable), host.mCell },
                              host.mFenceVersion },
                            { hostJob, host.mJobVersion } };
  task->mHostCell.clear();
  AppendProgress(transaction, *job);
  const auto isLast = !cell::RemoteTasksByHost(*job).contains(host.mCell);
  task->mHostCell = host.mCell;
  if (isLast) {
    transaction.mRemovals.push_back(hostJob);
  }
  const auto reply = co_await mContext.mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  if (mPhase == HolderPhase::Ended) {
    co_return JobReply{ JobOutcome::Uncertain };
  }
  job = FindOwnJob(id);
  task = job ? cell::FindTask(*job, aCommand.mTask) : nullptr;
  if (reply.mOutcome == StoreOutcome::Conflict) {
    CheckFence(reply);
  }
  if (reply.mOutcome == StoreOutcome::Conflict ||
      reply.mOutcome == StoreOutcome::Refused) {
    co_return JobReply{ JobOutcome::Refused };
  }
  if (!task) {
    co_return JobReply{ JobOutcome::Uncertain };
  }
  if (reply.mOutcome != StoreOutcome::Done) {
    // The next write of the progress assigns the task to the host cell again,
    // which may have read that it was returned.
    cell::MarkDirty(mState, *job);
    ScheduleDecision();
    net::SpawnTask(mContext.mExecutor, NotifyHostWhenStored(id, host.mCell));
    co_return JobReply{ JobOutcome::Uncertain };
  }
  mRows[id].mProgressVersion = reply.mVersion;
  const auto now = base::MonotonicClock::now();
  mRefusingHosts[host.mCell] = { now + kReturnRetryInterval,
                                 cell::SpecOf(*task).mNeed.mCpuMillis };
  // It has waited in the host cell and may move on at once.
  cell::TakeTaskBack(mState, *task, now, kReturnDelay);
  ScheduleDecision();
  co_return JobReply{ JobOutcome::Done };
}

} // namespace eelgrasspost::dispatch
