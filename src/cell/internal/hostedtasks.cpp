#include <algorithm>

#include "workerchoice.h"

namespace eelgrasspost::cell {

auto IsHostedTask(const Job& aJob, const Task& aTask) -> bool
{
  const auto& tasks = aJob.mStored.mHostedTasks;
  const auto position =
    TaskPosition{ aTask.mOccurrence, aTask.mStep, aTask.mIndex };
  return std::find(tasks.begin(), tasks.end(), position) != tasks.end();
}

auto MoveTaskToHost(CellState& aCell, Task& aTask, const std::string& aHost)
  -> void
{
  std::erase(aCell.mReady, &aTask);
  RemoveReservation(aCell, TaskName(aTask));
  aTask.mPhase = TaskPhase::Remote;
  aTask.mHostCell = aHost;
  MarkDirty(aCell, aTask);
}

auto TakeTaskBack(CellState& aCell,
                  Task& aTask,
                  MonotonicTime aNow,
                  Milliseconds aWaited) -> void
{
  aTask.mHostCell.clear();
  aTask.mMayHaveRun = true;
  MakeReady(aCell, aTask, aNow);
  aTask.mReadyAt = aNow - aWaited;
}

auto RemoteTasksByHost(const Job& aJob)
  -> std::map<std::string, std::vector<TaskPosition>>
{
  std::map<std::string, std::vector<TaskPosition>> out;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (const auto& step : occurrence->mSteps) {
      for (const auto& it : step.mTasks) {
        if (!it.mHostCell.empty()) {
          out[it.mHostCell].push_back({ it.mOccurrence, it.mStep, it.mIndex });
        }
      }
    }
  }
  return out;
}

namespace {

/** Stops the run of a task that the cell no longer runs. */
auto StopUnownedRun(Task& aTask) -> void
{
  const auto run = aTask.mWorker->mRuns.find(TaskName(aTask));
  if (run != aTask.mWorker->mRuns.end()) {
    run->second.mTask = nullptr;
    RequestStop(run->second);
  }
  aTask.mPhase = TaskPhase::Remote;
  aTask.mWorker = nullptr;
}

} // namespace

auto SetHostedTasks(CellState& aCell,
                    Job& aJob,
                    std::vector<TaskPosition> aTasks,
                    bool aMayBeRunning,
                    MonotonicTime aNow) -> void
{
  aJob.mStored.mHostedTasks = std::move(aTasks);
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (auto& step : occurrence->mSteps) {
      for (auto& it : step.mTasks) {
        const auto isHosted = IsHostedTask(aJob, it);
        if (it.mPhase == TaskPhase::Remote && isHosted) {
          it.mMayBeRunning =
            aMayBeRunning && !aCell.mUnreconciledWorkers.empty();
          it.mMayHaveRun = true;
          MakeReady(aCell, it, aNow);
        } else if (it.mPhase == TaskPhase::Ready && !isHosted) {
          std::erase(aCell.mReady, &it);
          RemoveReservation(aCell, TaskName(it));
          it.mPhase = TaskPhase::Remote;
          it.mIsReturning = false;
        } else if (it.mPhase == TaskPhase::Placed && !isHosted) {
          StopUnownedRun(it);
        }
      }
    }
  }
}

} // namespace eelgrasspost::cell
