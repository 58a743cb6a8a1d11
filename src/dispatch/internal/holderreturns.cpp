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
/** and one for which capacity is reserved, but not free, after this time if
 * another cell reports capacity that is free. */
constexpr auto kReservedReturnDelay = Milliseconds(3000);
/** Interval between two attempts to return a task. */
constexpr auto kReturnRetryInterval = Milliseconds(1000);
/** Tasks of one job that are returned in one transaction. */
constexpr std::size_t kMaxReturnedTasks = 24;

} // namespace

/** Returns hosted tasks that cannot be started here to the cells that own
 * them, which may start them or move them to another cell. */
auto CellHolder::ReturnStarvedTasks() -> void
{
  const auto now = base::MonotonicClock::now();
  if (mIsShuttingDown || !CanSendOrders()) {
    return;
  }
  std::map<std::string, std::vector<cell::TaskPosition>> byJob;
  for (const auto* it : cell::FindStarved(mState, now, kReturnDelay)) {
    if (!cell::IsHostedJob(*it->mJob) || now < it->mNextReturnAt) {
      continue;
    }
    const auto isDue =
      !cell::FindReservedWorker(mState, cell::TaskName(*it), now) ||
      (now - it->mReadyAt > kReservedReturnDelay &&
       mContext.mFindHostCell(
         { cell::SpecOf(*it).mNeed, {}, {}, false, true }));
    auto& tasks = byJob[it->mJob->mStored.mSpec.mId];
    if (isDue && tasks.size() < kMaxReturnedTasks) {
      tasks.push_back({ it->mOccurrence, it->mStep, it->mIndex });
    }
  }
  for (auto& [id, tasks] : byJob) {
    if (tasks.empty()) {
      continue;
    }
    auto* job = cell::FindJob(mState, id);
    for (const auto& it : tasks) {
      cell::FindTask(*job, it)->mIsReturning = true;
    }
    net::SpawnTask(mContext.mExecutor, ReturnTasks(id, std::move(tasks)));
  }
}

/** The owning cell rewrites the rows of both cells on condition that the row
 * and the fence of this cell are unchanged. Until the outcome is known the
 * tasks are not started here. */
auto CellHolder::ReturnTasks(std::string aId,
                             std::vector<cell::TaskPosition> aTasks)
  -> net::Task<void>
{
  const auto self = shared_from_this();
  JobCommand command;
  command.mKind = JobCommandKind::ReturnTasks;
  command.mJobId = aId;
  command.mJob.mHostedTasks = aTasks;
  command.mTimeoutMs = kStoreTimeout.count();
  JobReply reply{ JobOutcome::CellNotHeld };
  const auto owner = co_await FindOwner(aId);
  const auto row = mRows.find(aId);
  if (owner && row != mRows.end()) {
    command.mCell = *owner;
    command.mSource = {
      mRow.mName, mFences.at(PartitionOf(aId)), row->second.mJobVersion, 0
    };
    const auto version = row->second.mJobVersion;
    reply = co_await mContext.mExecute(std::move(command));
    if (reply.mOutcome == JobOutcome::Uncertain) {
      co_await InvalidateReturn(aId, version);
    }
    // Removes the tasks if they were returned.
    while (mPhase == HolderPhase::Active &&
           (co_await SyncHostedJob(aId)).mOutcome == JobOutcome::Uncertain &&
           reply.mOutcome == JobOutcome::Done) {
      co_await net::Sleep(kRetryInterval);
    }
  }
  if (mPhase != HolderPhase::Active) {
    co_return;
  }
  mContext.mLog.Record(
    kTasksReturned,
    { { "job", aId },
      { "tasks", static_cast<std::int64_t>(aTasks.size()) },
      { "from", mRow.mName },
      { "outcome", static_cast<std::int64_t>(reply.mOutcome) } });
  auto* job = cell::FindJob(mState, aId);
  for (const auto& it : aTasks) {
    // A task that is still listed was not returned, or was assigned again.
    if (auto* task = job ? cell::FindTask(*job, it) : nullptr) {
      task->mIsReturning = false;
      task->mNextReturnAt = base::MonotonicClock::now() + kReturnRetryInterval;
    }
  }
  ScheduleDecision();
}

/** Rewrites the row of a hosted job, so that a return without a reply, which
 * expects its version, fails if it was not executed. */
auto CellHolder::InvalidateReturn(std::string aId, std::uint64_t aVersion)
  -> net::Task<void>
{
  while (mPhase == HolderPhase::Active) {
    const auto* job = cell::FindJob(mState, aId);
    const auto row = mRows.find(aId);
    if (!job || row == mRows.end() || row->second.mJobVersion != aVersion) {
      co_return;
    }
    const auto partition = PartitionOf(aId);
    const auto key = RowKey{ std::string(kJobTable), JobKey(aId) };
    StoreTransaction transaction;
    transaction.mPartition = PartitionName(partition);
    transaction.mExpected = { FenceOf(partition), { key, aVersion } };
    transaction.mWrites = { { key, net::Encode(job->mStored) } };
    const auto reply = co_await mContext.mStore.Commit(
      std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
    if (reply.mOutcome == StoreOutcome::Conflict) {
      CheckFence(reply);
    }
    if (mPhase == HolderPhase::Active &&
        (reply.mOutcome == StoreOutcome::Done ||
         (co_await SyncHostedJob(aId)).mOutcome == JobOutcome::Done)) {
      const auto now = mRows.find(aId);
      if (reply.mOutcome == StoreOutcome::Done && now != mRows.end()) {
        now->second.mJobVersion = reply.mVersion;
      }
      if (reply.mOutcome == StoreOutcome::Done ||
          reply.mOutcome == StoreOutcome::Conflict) {
        co_return;
      }
    }
    co_await net::Sleep(kRetryInterval);
  }
}

auto CellHolder::ReadIdRow(std::string aId)
  -> net::Task<std::optional<JobIdRow>>
{
  RangeQuery query;
  query.mTable = std::string(kIdTable);
  query.mPartition = PartitionName(PartitionOf(aId));
  query.mFrom = aId;
  query.mLimit = 1;
  const auto found = co_await mContext.mStore.ReadRange(
    query, base::MonotonicClock::now() + kStoreTimeout);
  if (found.mOutcome != StoreOutcome::Done) {
    co_return std::nullopt;
  }
  if (found.mRows.empty() || found.mRows[0].mKey != aId) {
    co_return JobIdRow{};
  }
  const auto row = net::Decode<JobIdRow>(found.mRows[0].mValue);
  co_return row.ok() ? std::optional(*row) : std::nullopt;
}

auto CellHolder::FindOwner(std::string aId)
  -> net::Task<std::optional<std::string>>
{
  const auto row = co_await ReadIdRow(std::move(aId));
  co_return row && !row->mCell.empty() ? std::optional(row->mCell)
                                       : std::nullopt;
}

/** Takes back tasks that their host cell cannot start. */
auto CellHolder::AcceptReturnedTasks(JobCommand aCommand) -> net::Task<JobReply>
{
  const auto& id = aCommand.mJobId;
  const auto& host = aCommand.mSource;
  auto* job = FindOwnJob(id);
  if (!job) {
    co_return JobReply{ JobOutcome::NotInCell };
  }
  std::vector<cell::Task*> tasks;
  for (const auto& it : aCommand.mJob.mHostedTasks) {
    auto* task = cell::FindTask(*job, it);
    if (task && task->mPhase == cell::TaskPhase::Remote &&
        task->mHostCell == host.mCell) {
      tasks.push_back(task);
    }
  }
  if (tasks.empty() || tasks.size() != aCommand.mJob.mHostedTasks.size() ||
      mIsShuttingDown || !CanSendOrders() || cell::IsFinal(job->mState) ||
      !mRows.at(id).mEarlierProgress.empty()) {
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
  for (auto* it : tasks) {
    it->mHostCell.clear();
  }
  AppendReturnedTasks(
    transaction, *job, host.mCell, aCommand.mJob.mHostedTasks);
  for (auto* it : tasks) {
    it->mHostCell = host.mCell;
  }
  const auto reply = co_await mContext.mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  if (mPhase == HolderPhase::Ended) {
    co_return JobReply{ JobOutcome::Uncertain };
  }
  if (reply.mOutcome == StoreOutcome::Conflict) {
    CheckFence(reply);
  }
  if (HadNoEffect(reply.mOutcome)) {
    co_return JobReply{ JobOutcome::Refused };
  }
  job = FindOwnJob(id);
  if (!job) {
    co_return JobReply{ JobOutcome::Uncertain };
  }
  if (reply.mOutcome != StoreOutcome::Done) {
    // The next write of the progress assigns the tasks to the host cell again,
    // which may have read that they were returned.
    for (const auto& it : aCommand.mJob.mHostedTasks) {
      cell::MarkDirty(mState, *cell::FindTask(*job, it));
    }
    ScheduleDecision();
    net::SpawnTask(mContext.mExecutor, NotifyHostWhenStored(id, host.mCell));
    co_return JobReply{ JobOutcome::Uncertain };
  }
  mRows[id].mProgressVersion = reply.mVersion;
  const auto now = base::MonotonicClock::now();
  for (const auto& it : aCommand.mJob.mHostedTasks) {
    auto& task = *cell::FindTask(*job, it);
    const Refusal refusal{ host.mCell,
                           { NeedOf(cell::NeedOf(task)) },
                           now + kReturnRetryInterval };
    mHostRefusals.push_back(refusal);
    mReservationRefusals.push_back(refusal);
    // It has waited in the host cell and may move on at once.
    cell::TakeTaskBack(mState, task, now, kReturnDelay);
  }
  ScheduleDecision();
  co_return JobReply{ JobOutcome::Done };
}

} // namespace eelgrasspost::dispatch
