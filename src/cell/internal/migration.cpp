#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include "cellinternal.h"
#include "eelgrasspost/cell/room.h"

namespace eelgrasspost::cell {

namespace {

auto AddWaitingTask(MigratableJob& aJob, const Task& aTask) -> void
{
  auto& steps = aJob.mWaitingSteps;
  const auto it =
    std::find_if(steps.begin(), steps.end(), [&](const WaitingStep& aStep) {
      return aStep.mStep == aTask.mStep;
    });
  if (it == steps.end()) {
    steps.push_back({ aTask.mStep, 1 });
  } else {
    ++it->mTasks;
  }
}

/** Ids of the jobs of which workers have runs that are not the current ones of
 * their tasks. Their ends come to this cell. */
auto JobsWithUntrackedRuns(const CellState& aCell) -> std::set<std::string_view>
{
  std::set<std::string_view> out;
  for (const auto& [id, worker] : aCell.mWorkers) {
    for (const auto& [name, run] : worker->mRuns) {
      if (!run.mTask) {
        out.insert(std::string_view(name).substr(0, name.find('.')));
      }
    }
  }
  return out;
}

} // namespace

auto FindMigratable(const CellState& aCell,
                    MonotonicTime aNow,
                    Milliseconds aWait) -> std::vector<MigratableJob>
{
  std::map<const Job*, MigratableJob> found;
  std::map<const Job*, MonotonicTime> since;
  for (const auto* it : aCell.mReady) {
    const auto* job = it->mJob;
    if (job->mIsMigrating || job->mIsDirty || IsFinal(job->mState) ||
        IsHostedJob(*job)) {
      continue;
    }
    auto& migratable = found[job];
    migratable.mId = job->mStored.mSpec.mId;
    AddWaitingTask(migratable, *it);
    const auto& spec = SpecOf(*it);
    if (spec.mIsBestEffort) {
      migratable.mBestEffortCpuMillis += spec.mNeed.mCpuMillis;
    } else {
      migratable.mReservingCpuMillis += spec.mNeed.mCpuMillis;
      migratable.mLargestTaskCpuMillis =
        std::max(migratable.mLargestTaskCpuMillis, spec.mNeed.mCpuMillis);
      ++migratable.mReservingTasks;
    }
    auto [slot, isNew] = since.emplace(job, it->mReadyAt);
    slot->second = std::min(slot->second, it->mReadyAt);
  }
  const auto untracked = JobsWithUntrackedRuns(aCell);
  std::vector<std::pair<MonotonicTime, MigratableJob>> order;
  for (auto& [job, it] : found) {
    if (aNow - since.at(job) > aWait && !HasRun(*job) &&
        !untracked.contains(it.mId)) {
      it.mWaited =
        std::chrono::duration_cast<Milliseconds>(aNow - since.at(job));
      it.mCanRunHere = CanRunSteps(aCell, job->mStored, it.mWaitingSteps);
      it.mLateness = RankJob(*job, aNow).mLateness;
      order.emplace_back(since.at(job), it);
    }
  }
  std::sort(
    order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::vector<MigratableJob> out;
  out.reserve(order.size());
  for (auto& [at, it] : order) {
    out.push_back(std::move(it));
  }
  return out;
}

auto FindDelayedJobs(const CellState& aCell, MonotonicTime aNow)
  -> std::vector<MigratableJob>
{
  std::map<const Job*, MigratableJob> found;
  for (const auto* it : aCell.mReady) {
    const auto* job = it->mJob;
    if (job->mIsMigrating || job->mIsDirty || IsFinal(job->mState) ||
        it->mMayBeRunning || !IsPlacementDelayed(aCell, *it, aNow)) {
      continue;
    }
    auto& migratable = found[job];
    migratable.mId = job->mStored.mSpec.mId;
    AddWaitingTask(migratable, *it);
    migratable.mReservingCpuMillis += SpecOf(*it).mNeed.mCpuMillis;
  }
  std::vector<MigratableJob> out;
  out.reserve(found.size());
  for (auto& [job, it] : found) {
    it.mCanRunHere = CanRunSteps(aCell, job->mStored, it.mWaitingSteps);
    out.push_back(std::move(it));
  }
  return out;
}

} // namespace eelgrasspost::cell
