#include <algorithm>
#include <limits>

#include "eelgrasspost/cell/evacuation.h"
#include "eelgrasspost/cell/room.h"
#include "workerchoice.h"

namespace eelgrasspost::cell {

namespace {

/** The number of tasks that fit into the given resources. */
auto CountFitting(const Resources& aFree, const StepSpec& aStep) -> std::int64_t
{
  auto out = aStep.mMaxPerWorker > 0
               ? static_cast<std::int64_t>(aStep.mMaxPerWorker)
               : std::numeric_limits<std::int64_t>::max();
  const auto limit = [&](std::int64_t aHas, std::int64_t aNeeds) {
    if (aNeeds > 0) {
      out = std::min(out, std::max<std::int64_t>(0, aHas) / aNeeds);
    }
  };
  // Best-effort tasks reserve no CPU.
  limit(aFree.mCpuMillis, aStep.mIsBestEffort ? 0 : aStep.mNeed.mCpuMillis);
  limit(aFree.mMemoryMb, aStep.mNeed.mMemoryMb);
  limit(aFree.mAccelerators, aStep.mNeed.mAccelerators);
  return std::min(out, static_cast<std::int64_t>(aStep.mCount));
}

} // namespace

auto CountStartableNow(const CellState& aCell,
                       const std::string& aService,
                       const StepSpec& aStep,
                       MonotonicTime aNow) -> std::int64_t
{
  std::int64_t out = 0;
  for (const auto& [id, it] : aCell.mWorkers) {
    if (!IsUsable(aCell, *it, aNow) || it->mRunsOfUnknownNeed > 0 ||
        !IsOfKind(*it, aService, aStep.mRequiredLabel)) {
      continue;
    }
    const auto& capacity = UsableCapacity(aCell, *it);
    const auto reserved = ReservedForOthers(*it, {}, aNow);
    const auto& used = it->mUsed;
    out += CountFitting(
      { capacity.mCpuMillis - used.mCpuMillis - reserved.mCpuMillis,
        capacity.mMemoryMb - used.mMemoryMb - reserved.mMemoryMb,
        capacity.mAccelerators - used.mAccelerators - reserved.mAccelerators },
      aStep);
  }
  return out;
}

auto RestrictsWorkers(const StepSpec& aStep) -> bool
{
  return !aStep.mRequiredLabel.empty() || aStep.mMaxPerWorker > 0 ||
         aStep.mIsGang || aStep.mNeed.mAccelerators > 0;
}

auto MayServe(const CellState& aCell, const Worker& aWorker) -> bool
{
  return aWorker.mIsListed && !aWorker.mIsReplaced &&
         !aWorker.mIsTransferring && !IsEvacuated(aCell, aWorker) &&
         aWorker.mRecord.mState == WorkerState::Ready;
}

auto CanRunStep(const CellState& aCell,
                const std::string& aService,
                const StepSpec& aStep) -> bool
{
  const std::int64_t needed = aStep.mIsGang ? aStep.mCount : 1;
  std::int64_t places = 0;
  for (const auto& [id, it] : aCell.mWorkers) {
    if (MayServe(aCell, *it) && IsOfKind(*it, aService, aStep.mRequiredLabel)) {
      places += CountFitting(it->mRecord.mCapacity, aStep);
    }
    if (places >= needed) {
      return true;
    }
  }
  return false;
}

auto CanRunJob(const CellState& aCell, const StoredJob& aJob) -> bool
{
  const auto& steps = aJob.mSpec.mSteps;
  return std::all_of(steps.begin(), steps.end(), [&](const StepSpec& aStep) {
    return CanRunStep(aCell, aJob.mQueue.mService, aStep);
  });
}

auto CanRunSteps(const CellState& aCell,
                 const StoredJob& aJob,
                 const std::vector<WaitingStep>& aSteps) -> bool
{
  return std::all_of(
    aSteps.begin(), aSteps.end(), [&](const WaitingStep& aWaiting) {
      return CanRunStep(
        aCell, aJob.mQueue.mService, aJob.mSpec.mSteps.at(aWaiting.mStep));
    });
}

auto HasRoomForSteps(const CellState& aCell,
                     const StoredJob& aJob,
                     const std::vector<WaitingStep>& aSteps,
                     MonotonicTime aNow) -> bool
{
  return std::all_of(
    aSteps.begin(), aSteps.end(), [&](const WaitingStep& aWaiting) {
      const auto& step = aJob.mSpec.mSteps.at(aWaiting.mStep);
      const std::int64_t needed = RestrictsWorkers(step) ? aWaiting.mTasks : 1;
      return step.mIsBestEffort ||
             CountStartableNow(aCell, aJob.mQueue.mService, step, aNow) >=
               needed;
    });
}

} // namespace eelgrasspost::cell
