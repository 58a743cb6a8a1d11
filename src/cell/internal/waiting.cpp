#include <algorithm>
#include <utility>

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
             HasRoom(aCell,
                     worker,
                     SpecOf(aTask),
                     TaskName(aTask),
                     RoomUseOf(aTask),
                     aNow);
    });
  return hasRoom ? WaitReason::NoSuitableWorker : WaitReason::NoRoom;
}

auto AddReservation(const CellState& aCell,
                    WaitingTask& aWaiting,
                    MonotonicTime aNow) -> void
{
  const auto name = TaskName(*aWaiting.mTask);
  for (const auto& [id, worker] : aCell.mWorkers) {
    const auto it = worker->mReservations.find(name);
    if (it == worker->mReservations.end() || aNow >= it->second.mUntil) {
      continue;
    }
    aWaiting.mReservedOn = worker.get();
    aWaiting.mReservedFor =
      std::chrono::duration_cast<Milliseconds>(aNow - it->second.mSince);
    aWaiting.mReservedForOthersCpuMillis =
      ReservedForOthers(*worker, name, aNow).mCpuMillis;
    if (aWaiting.mReason == WaitReason::NoRoom) {
      aWaiting.mReason = WaitReason::RoomReserved;
    }
  }
}

} // namespace

auto FindFreeCapacity(const CellState& aCell, MonotonicTime aNow)
  -> std::vector<FreeCapacity>
{
  std::vector<FreeCapacity> out;
  for (const auto& [id, worker] : aCell.mWorkers) {
    const auto& capacity = worker->mRecord.mCapacity;
    const auto& used = worker->mUsed;
    FreeCapacity it;
    it.mWorker = worker.get();
    it.mFree = { capacity.mCpuMillis - used.mCpuMillis,
                 capacity.mMemoryMb - used.mMemoryMb,
                 capacity.mAccelerators - used.mAccelerators };
    if (it.mFree.mCpuMillis <= 0) {
      continue;
    }
    it.mReserved = ReservedForOthers(*worker, {}, aNow);
    it.mExclusion = ExclusionOf(aCell, *worker, aNow);
    for (const auto& [task, reservation] : worker->mReservations) {
      const auto time =
        std::chrono::duration_cast<Milliseconds>(aNow - reservation.mSince);
      if (aNow < reservation.mUntil &&
          (it.mReservedFor.empty() || time > it.mReservedTime)) {
        it.mReservedFor = task;
        it.mReservedTime = time;
        it.mMissingCpuMillis = std::max<std::int64_t>(
          0, reservation.mNeed.mCpuMillis - it.mFree.mCpuMillis);
      }
    }
    out.push_back(std::move(it));
  }
  const auto key = [](const FreeCapacity& aItem) {
    return std::pair(aItem.mExclusion != WorkerExclusion::None,
                     -aItem.mFree.mCpuMillis);
  };
  std::sort(out.begin(), out.end(), [&](const auto& aLeft, const auto& aRight) {
    return key(aLeft) < key(aRight);
  });
  return out;
}

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
    AddReservation(aCell, out.back(), aNow);
  }
  return out;
}

} // namespace eelgrasspost::cell
