#include <algorithm>

#include "cellinternal.h"
#include "workerchoice.h"

namespace eelgrasspost::cell {

namespace {

auto ReasonToWait(const CellState& aCell, const Task& aTask, MonotonicTime aNow)
  -> WaitReason
{
  if (aTask.mMayBeRunning) {
    return WaitReason::MayBeRunning;
  }
  if (aTask.mJob->mIsMigrating) {
    return WaitReason::JobMigrates;
  }
  if (aTask.mIsReturning) {
    return WaitReason::Returns;
  }
  if (aTask.mJob->mHasUnstoredCrashes && IsSuspect(aTask)) {
    return WaitReason::CrashesUnstored;
  }
  if (aTask.mNotBefore > aNow) {
    return WaitReason::StartRefused;
  }
  if (HasUntrackedRun(aCell, aTask)) {
    return WaitReason::EarlierRunStops;
  }
  const auto hasRoom = std::any_of(
    aCell.mWorkers.begin(), aCell.mWorkers.end(), [&](const auto& aItem) {
      const auto& worker = *aItem.second;
      return IsUsable(aCell, worker, aNow) &&
             worker.mRecord.mService == aTask.mJob->mStored.mQueue.mService &&
             HasRoom(aCell, worker, SpecOf(aTask), TaskName(aTask), aNow);
    });
  return hasRoom ? WaitReason::NoSuitableWorker : WaitReason::NoRoom;
}

} // namespace

auto FindWaiting(const CellState& aCell, MonotonicTime aNow, Milliseconds aWait)
  -> std::vector<WaitingTask>
{
  std::vector<WaitingTask> out;
  for (const auto* it : aCell.mReady) {
    if (!SpecOf(*it).mIsLongRunning || IsFinal(it->mJob->mState) ||
        IsPlacementDelayed(aCell, *it, aNow) || aNow - it->mReadyAt <= aWait) {
      continue;
    }
    out.push_back(
      { it,
        ReasonToWait(aCell, *it, aNow),
        std::chrono::duration_cast<Milliseconds>(aNow - it->mReadyAt) });
  }
  return out;
}

} // namespace eelgrasspost::cell
