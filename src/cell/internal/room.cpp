#include <algorithm>
#include <limits>

#include "besteffort.h"
#include "cellinternal.h"
#include "workerchoice.h"

namespace eelgrasspost::cell {

auto MayStart(const Task& aTask, MonotonicTime aNow) -> bool
{
  return aTask.mPhase == TaskPhase::Ready && !aTask.mMayBeRunning &&
         aTask.mNotBefore <= aNow && !IsFinal(aTask.mJob->mState) &&
         !aTask.mJob->mIsMigrating && !aTask.mIsReturning &&
         !(aTask.mJob->mHasUnstoredCrashes && IsSuspect(aTask));
}

auto IsPlacementDelayed(const CellState& aCell,
                        const Task& aTask,
                        MonotonicTime aNow) -> bool
{
  const auto& job = *aTask.mJob;
  return SpecOf(aTask).mIsLongRunning && !job.mHasStarted &&
         aNow - job.mAddedAt < aCell.mPolicy.mPlacementDelay;
}

auto FindStarved(const CellState& aCell, MonotonicTime aNow, Milliseconds aWait)
  -> std::vector<const Task*>
{
  std::vector<const Task*> out;
  for (const auto* it : aCell.mReady) {
    if (SpecOf(*it).mIsLongRunning && MayStart(*it, aNow) &&
        !IsPlacementDelayed(aCell, *it, aNow) && aNow - it->mReadyAt > aWait &&
        !HasUntrackedRun(aCell, *it)) {
      out.push_back(it);
    }
  }
  return out;
}

namespace {

/** Unreserved resources; none of a kind of which a worker's runs have reserved
 * more than its capacity, which may have been higher when they started. */
auto FreeOf(const Worker& aWorker) -> Resources
{
  if (aWorker.mRunsOfUnknownNeed > 0) {
    return {};
  }
  const auto& capacity = aWorker.mRecord.mCapacity;
  const auto& used = aWorker.mUsed;
  const auto left = [](std::int64_t aCapacity, std::int64_t aUsed) {
    return std::max<std::int64_t>(0, aCapacity - aUsed);
  };
  return { left(capacity.mCpuMillis, used.mCpuMillis),
           left(capacity.mMemoryMb, used.mMemoryMb),
           left(capacity.mAccelerators, used.mAccelerators) };
}

auto HasLongRunning(const Worker& aWorker) -> bool
{
  return std::any_of(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const auto& aItem) {
      return aItem.second.mIsLongRunning;
    });
}

} // namespace

auto FindTransferable(CellState& aCell,
                      const std::string& aService,
                      const Resources& aNeed,
                      MonotonicTime aNow) -> Worker*
{
  Worker* best = nullptr;
  for (auto& [id, worker] : aCell.mWorkers) {
    const auto& capacity = worker->mRecord.mCapacity;
    const auto isTransferable =
      IsUsable(aCell, *worker, aNow) && worker->mRecord.mService == aService &&
      !HasLongRunning(*worker) && worker->mReservations.empty() &&
      worker->mForeignEnds.empty() && capacity.mCpuMillis >= aNeed.mCpuMillis &&
      capacity.mMemoryMb >= aNeed.mMemoryMb &&
      capacity.mAccelerators >= aNeed.mAccelerators;
    const auto busy = [](const Worker& aWorker) {
      return std::pair(aWorker.mUsed.mCpuMillis, aWorker.mBestEffortCpuMillis);
    };
    if (isTransferable && (!best || busy(*worker) < busy(*best))) {
      best = worker.get();
    }
  }
  return best;
}

auto PrepareTransfer(Worker& aWorker) -> void
{
  aWorker.mIsTransferring = true;
  for (auto& [name, run] : aWorker.mRuns) {
    // Short runs end soon by themselves; best-effort ones resume from their
    // checkpoint on another worker.
    if (run.mIsBestEffort) {
      RequestStop(run);
    }
  }
}

auto ClassifyWorkerList(const WorkerListAge& aAge,
                        Milliseconds aMaxAge,
                        Milliseconds aMaxFailureAge) -> WorkerListState
{
  if (aAge.mSinceConfirmed <= aMaxAge) {
    return WorkerListState::Current;
  }
  // A process that was suspended has no recent failure either.
  return aAge.mSinceFailedCall <= aMaxFailureAge ? WorkerListState::Outdated
                                                 : WorkerListState::Unconfirmed;
}

auto CountStartable(const TaskCounts& aCounts, std::int64_t aCpuMillis)
  -> std::uint16_t
{
  const auto size =
    std::lower_bound(kTaskSizes.begin(), kTaskSizes.end(), aCpuMillis);
  return size == kTaskSizes.end()
           ? 0
           : aCounts.at(static_cast<std::size_t>(size - kTaskSizes.begin()));
}

auto RoomOf(const CellState& aCell, MonotonicTime aNow) -> CellRoom
{
  CellRoom out;
  auto& free = out.mFree;
  for (const auto& [id, it] : aCell.mWorkers) {
    if (!IsUsable(aCell, *it, aNow)) {
      continue;
    }
    const auto ofWorker = FreeOf(*it);
    free.mCpuMillis += ofWorker.mCpuMillis;
    free.mMemoryMb += ofWorker.mMemoryMb;
    free.mAccelerators += ofWorker.mAccelerators;
    const auto startable =
      ofWorker.mCpuMillis - ReservedForOthers(*it, {}, aNow).mCpuMillis;
    out.mLargestCpuMillis = std::max(out.mLargestCpuMillis, startable);
    for (std::size_t i = 0; i < kTaskSizes.size(); ++i) {
      constexpr std::int64_t kMaxCount =
        std::numeric_limits<TaskCounts::value_type>::max();
      auto& count = out.mStartable.at(i);
      count = static_cast<TaskCounts::value_type>(std::min(
        kMaxCount,
        count + std::max<std::int64_t>(0, startable) / kTaskSizes.at(i)));
    }
    out.mLargestForRestartCpuMillis =
      std::max(out.mLargestForRestartCpuMillis,
               RoomForRestart(aCell, *it, {}, aNow).mCpuMillis);
    out.mLargestReservableCpuMillis = std::max(
      out.mLargestReservableCpuMillis, LargestReservableCpu(aCell, *it, aNow));
    out.mCapacityCpuMillis += it->mRecord.mCapacity.mCpuMillis;
    out.mBestEffortCpuMillis += it->mBestEffortCpuMillis;
    out.mLeftoverCpuMillis +=
      static_cast<std::int64_t>(std::max(0.0, LeftoverCpu(*it)));
  }
  for (const auto* it : aCell.mReady) {
    if (it->mJob->mIsMigrating) {
      continue;
    }
    const auto& spec = SpecOf(*it);
    (spec.mIsBestEffort ? out.mBestEffortCpuMillis : free.mCpuMillis) +=
      spec.mIsBestEffort ? spec.mNeed.mCpuMillis : -spec.mNeed.mCpuMillis;
    free.mMemoryMb -= spec.mNeed.mMemoryMb;
    out.mWaitingCpuMillis += spec.mNeed.mCpuMillis;
  }
  return out;
}

} // namespace eelgrasspost::cell
