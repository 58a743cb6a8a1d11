#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batchlogevents.h"
#include "eelgrasspost/batch/jobcodec.h"
#include "eelgrasspost/net/iopool.h"
#include "keys.h"
#include "workermonitor.h"

namespace eelgrasspost::batch {

namespace {

using platform::AttemptState;

/** Whether a task's record names an attempt as the running one. */
auto IsRunningAttempt(const std::optional<TaskRecord>& aTask,
                      const AttemptKey& aKey) -> bool
{
  return aTask && aTask->mState == TaskState::Running &&
         aTask->mAttempt == aKey.mAttempt;
}

} // namespace

auto WorkerMonitor::RunReconciliation() -> net::Task<void>
{
  while (true) {
    const auto workers = mWorkers;
    for (const auto& [name, it] : workers) {
      co_await ResolveReservations(it);
      co_await ReconcileUntracked(it);
    }
    co_await net::Sleep(mOptions.mCheckInterval);
  }
}

auto WorkerMonitor::ReadTask(AttemptKey aKey)
  -> net::Task<absl::StatusOr<ReadTaskResult>>
{
  const auto position = ParseTaskName(aKey.mTask);
  if (!position) {
    co_return ReadTaskResult();
  }
  auto row = co_await mTable.Read(BlockKey(position->mJob, position->mBlock));
  if (!row.ok()) {
    co_return row.status();
  }
  ReadTaskResult out;
  out.mRow = *std::move(row);
  if (!out.mRow) {
    co_return out;
  }
  const auto block = DecodeBlock(out.mRow->mValue);
  if (!block.ok()) {
    co_return block.status();
  }
  if (position->mSlot < block->mTasks.size()) {
    out.mTask = block->mTasks[position->mSlot];
  }
  co_return out;
}

auto WorkerMonitor::ResolveReservations(HeldWorkerPtr aWorker)
  -> net::Task<void>
{
  const auto before = base::MonotonicClock::now() - mOptions.mReconcileAfter;
  std::vector<AttemptKey> unresolved;
  for (const auto& [key, it] : aWorker->mStarting) {
    if (it.mPhase == StartPhase::Reserved && it.mSince < before) {
      unresolved.push_back(key);
    }
  }
  for (const auto& key : unresolved) {
    co_await ResolveReservation(aWorker, key);
  }
}

auto WorkerMonitor::ResolveReservation(HeldWorkerPtr aWorker, AttemptKey aKey)
  -> net::Task<void>
{
  const auto found = co_await ReadTask(aKey);
  const auto it = aWorker->mStarting.find(aKey);
  if (!found.ok() || it == aWorker->mStarting.end()) {
    co_return;
  }
  if (IsRunningAttempt(found->mTask, aKey) &&
      found->mTask->mToken == it->second.mToken) {
    Confirm(aWorker, aKey);
    co_return;
  }
  const auto expected = it->second.mExpectedVersion;
  if (found->mRow && found->mRow->mVersion == expected) {
    // The write may still be in flight; incrementing the version makes it fail.
    std::vector<platform::TableWrite> writes;
    writes.push_back({ found->mRow->mKey, found->mRow->mValue, expected });
    const auto status = co_await mTable.Commit(std::move(writes));
    if (!status.ok()) {
      co_return;
    }
  }
  Release(aWorker, aKey);
}

auto WorkerMonitor::ReconcileUntracked(HeldWorkerPtr aWorker) -> net::Task<void>
{
  if (!aWorker->mReport) {
    co_return;
  }
  const auto now = base::MonotonicClock::now();
  std::map<AttemptKey, base::MonotonicTime> seen;
  std::vector<platform::AttemptReport> due;
  for (const auto& it : aWorker->mReport->mReport.mAttempts) {
    const auto key = AttemptKey{ it.mTask, it.mAttempt };
    if (mIsCurrentAttempt && mIsCurrentAttempt(key)) {
      continue;
    }
    const auto known = aWorker->mUntracked.find(key);
    const auto since = known == aWorker->mUntracked.end() ? now : known->second;
    const auto isDue = since + mOptions.mReconcileAfter < now;
    seen[key] = isDue ? now : since;
    if (isDue) {
      due.push_back(it);
    }
  }
  aWorker->mUntracked = std::move(seen);
  for (const auto& it : due) {
    const auto key = AttemptKey{ it.mTask, it.mAttempt };
    const auto task = co_await ReadTask(key);
    if (!task.ok()) {
      co_return;
    }
    if (IsRunningAttempt(task->mTask, key)) {
      continue;
    }
    if (it.mState == AttemptState::Running) {
      base::Log(kObsoleteAttempt,
                base::Cat(it.mTask, " attempt ", it.mAttempt));
      Stop(aWorker, key, false);
    } else {
      Forget(aWorker, key);
    }
  }
}

} // namespace eelgrasspost::batch
