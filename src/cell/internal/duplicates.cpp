#include "duplicates.h"

#include <algorithm>

#include "eelgrasspost/cell/lookahead.h"
#include "workerchoice.h"

namespace eelgrasspost::cell {

namespace {

/** Interval at which slow tasks are looked for. */
constexpr auto kSearchInterval = Milliseconds(250);
/** A run is slow if it is expected to take so many times as long as its
 * queue's runs take, */
constexpr int kSlowFactor = 2;
/** and to end so much later than one that starts now. */
constexpr auto kMinGain = Milliseconds(500);
/** Part of the cell's CPU that duplicates may use. */
constexpr std::int64_t kMaxPercentOfCpu = 5;

struct SlowTask
{
  Task* mTask = nullptr;
  /** By how much a new run is expected to end sooner. */
  Milliseconds mGain{ 0 };
};

struct CpuBudget
{
  std::int64_t mUsedMillis = 0;
  std::int64_t mMaxMillis = 0;
};

auto BudgetOf(const CellState& aCell, MonotonicTime aNow) -> CpuBudget
{
  CpuBudget out;
  for (const auto& [id, it] : aCell.mWorkers) {
    if (IsUsable(aCell, *it, aNow)) {
      out.mMaxMillis += it->mRecord.mCapacity.mCpuMillis;
    }
    for (const auto& [name, run] : it->mRuns) {
      out.mUsedMillis += run.mIsDuplicate ? run.mNeed.mCpuMillis : 0;
    }
  }
  constexpr std::int64_t kAllPercent = 100;
  out.mMaxMillis = out.mMaxMillis * kMaxPercentOfCpu / kAllPercent;
  return out;
}

/** Whether a second run of a task breaks nothing, whatever becomes of both. */
auto MayDuplicate(const Task& aTask) -> bool
{
  const auto& job = *aTask.mJob;
  const auto& spec = SpecOf(aTask);
  const auto isSuitable = spec.mAllowsDuplicates && !spec.mIsLongRunning &&
                          !spec.mIsGang && !spec.mIsBestEffort &&
                          !job.mStored.mQueue.mAdvice;
  const auto isSettled = !IsFinal(job.mState) && !job.mIsMigrating &&
                         !IsHostedJob(job) && !IsSuspect(aTask) &&
                         !aTask.mMayBeRunning;
  // Both runs may fail.
  const auto attemptsLeft =
    job.mStored.mQueue.mMaxAttempts -
    static_cast<std::int64_t>(aTask.mFailedAttempts.size());
  return isSuitable && isSettled && aTask.mDuplicateAttempt == 0 &&
         attemptsLeft >= 2;
}

/** How much sooner than a run a new one is expected to end; nothing if the run
 * is within the spread of its queue. */
auto GainOver(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> std::optional<Milliseconds>
{
  const auto usual = ExpectedRunTime(aCell, *aRun.mTask);
  const auto end = ExpectedEnd(aCell, aRun, aNow);
  if (usual == Milliseconds(0) || !end ||
      *end <= aRun.mStartedAt + kSlowFactor * usual) {
    return std::nullopt;
  }
  const auto gain =
    std::chrono::duration_cast<Milliseconds>(*end - (aNow + usual));
  return gain >= kMinGain ? std::optional(gain) : std::nullopt;
}

/** The tasks whose runs are slow, those that gain most first. */
auto FindSlowTasks(const CellState& aCell, MonotonicTime aNow)
  -> std::vector<SlowTask>
{
  std::vector<SlowTask> out;
  for (const auto& [id, worker] : aCell.mWorkers) {
    for (const auto& [name, run] : worker->mRuns) {
      auto* task = run.mTask;
      const auto isCurrent = task && task->mPhase == TaskPhase::Placed &&
                             task->mAttempt == run.mAttempt &&
                             run.mPhase == RunPhase::Running;
      if (!isCurrent || !MayDuplicate(*task)) {
        continue;
      }
      if (const auto gain = GainOver(aCell, run, aNow)) {
        out.push_back({ task, *gain });
      }
    }
  }
  std::sort(out.begin(), out.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mGain > aRight.mGain;
  });
  return out;
}

auto IsRoomAwaited(const CellState& aCell,
                   const std::string& aService,
                   MonotonicTime aNow) -> bool
{
  return std::any_of(
    aCell.mReady.begin(), aCell.mReady.end(), [&](const Task* aTask) {
      return aTask->mJob->mStored.mQueue.mService == aService &&
             MayStart(*aTask, aNow);
    });
}

auto AddDuplicateEvent(CellState& aCell,
                       const Task& aTask,
                       const Worker& aWorker,
                       std::uint64_t aAttempt,
                       std::string_view aReason,
                       Milliseconds aGain = Milliseconds(0)) -> void
{
  AddEvent(aCell,
           { CellEventKind::TaskDuplicated,
             TaskName(aTask),
             aWorker.mRecord.mId,
             aAttempt,
             aReason,
             static_cast<double>(aGain.count()) });
}

auto PlaceDuplicate(CellState& aCell,
                    const SlowTask& aSlow,
                    Worker& aWorker,
                    MonotonicTime aNow) -> Order
{
  auto& task = *aSlow.mTask;
  const auto attempt = NextAttempt(aCell, task);
  task.mDuplicateAttempt = attempt;
  ++aCell.mStarts;
  ++aCell.mDuplicateStarts;
  NoteStart(aCell, aWorker, task, aNow);
  auto order = MakeStartOrder(task, aWorker, attempt);
  auto run = MakeRun(aCell, task, attempt, aNow);
  run.mIsDuplicate = true;
  InsertRun(aWorker, order.mTask, std::move(run));
  AddDuplicateEvent(aCell, task, aWorker, attempt, "started", aSlow.mGain);
  return order;
}

} // namespace

auto PlaceDuplicates(CellState& aCell,
                     MonotonicTime aNow,
                     std::vector<Order>& aOrders) -> void
{
  if (!aCell.mPolicy.mStartsDuplicates ||
      aCell.mWorkerListState == WorkerListState::Unconfirmed ||
      aNow - aCell.mSlowTasksSoughtAt < kSearchInterval) {
    return;
  }
  aCell.mSlowTasksSoughtAt = aNow;
  const auto slow = FindSlowTasks(aCell, aNow);
  if (slow.empty()) {
    return;
  }
  auto budget = BudgetOf(aCell, aNow);
  for (const auto& it : slow) {
    const auto& task = *it.mTask;
    const auto cpu = SpecOf(task).mNeed.mCpuMillis;
    if (budget.mUsedMillis + cpu > budget.mMaxMillis ||
        IsRoomAwaited(aCell, task.mJob->mStored.mQueue.mService, aNow)) {
      continue;
    }
    auto* worker = FindWorkerApartFrom(aCell, task, *task.mWorker, aNow);
    if (!worker || worker->mRuns.contains(TaskName(task))) {
      continue;
    }
    budget.mUsedMillis += cpu;
    aOrders.push_back(PlaceDuplicate(aCell, it, *worker, aNow));
  }
}

auto ReplaceRun(CellState& aCell, Task& aTask, MonotonicTime aNow) -> void
{
  if (aTask.mDuplicateAttempt != 0) {
    const auto name = TaskName(aTask);
    for (auto& [id, worker] : aCell.mWorkers) {
      const auto run = worker->mRuns.find(name);
      if (run == worker->mRuns.end() || run->second.mTask != &aTask ||
          run->second.mAttempt == aTask.mAttempt) {
        continue;
      }
      aTask.mWorker = worker.get();
      aTask.mAttempt = run->second.mAttempt;
      run->second.mIsDuplicate = false;
      AddDuplicateEvent(
        aCell, aTask, *worker, aTask.mAttempt, "original_ended");
      return;
    }
  }
  MakeReady(aCell, aTask, aNow);
}

auto NoteFirstDone(CellState& aCell,
                   const Task& aTask,
                   const Worker& aWorker,
                   std::uint64_t aAttempt) -> void
{
  if (aTask.mDuplicateAttempt == 0) {
    return;
  }
  const auto isDuplicate = aAttempt == aTask.mDuplicateAttempt;
  aCell.mDuplicatesFirst += isDuplicate ? 1 : 0;
  AddDuplicateEvent(aCell,
                    aTask,
                    aWorker,
                    aAttempt,
                    isDuplicate ? "duplicate_done" : "other_done");
}

auto StopBothRuns(CellState& aCell, const Task& aTask) -> void
{
  if (aTask.mDuplicateAttempt == 0) {
    return;
  }
  const auto name = TaskName(aTask);
  for (auto& [id, worker] : aCell.mWorkers) {
    const auto run = worker->mRuns.find(name);
    if (run != worker->mRuns.end() && run->second.mTask == &aTask) {
      run->second.mTask = nullptr;
      RequestStop(run->second);
    }
  }
}

} // namespace eelgrasspost::cell
