#include "workerchoice.h"

#include <algorithm>
#include <limits>

#include "besteffort.h"
#include "eelgrasspost/cell/evacuation.h"
#include "eelgrasspost/cell/lookahead.h"
#include "queueorder.h"

namespace eelgrasspost::cell {

namespace {

/** Cost of the worker on which the task's last run failed or stalled. */
constexpr double kAvoidedWorkerPenalty = 1e6;
/** Cost of a worker outside the rack of the task's data. */
constexpr double kRemoteDataPenalty = 1e5;
/** Cost of a worker without serving tasks, which is left to best-effort ones.
 * Also the cost of a rise by 1 of the logarithm of the task's tail latency,
 * caused by the worker's best-effort tasks. */
constexpr double kNoServingPenalty = 1e4;
/** Cost of each other serving image on the worker. Serving tasks of one image
 * are packed together, as with fewer serving images on a worker more
 * best-effort images are harmless there. Higher than the cost of an empty
 * worker including all its CPU millis. */
constexpr double kOtherImagePenalty = 6e4;
/** Best-effort tasks wait when they would slow each other down by a larger
 * factor. */
constexpr double kMaxSlowdown = 1.4;
/** Cost of a rise by 1 of the logarithm of the serving tasks' tail latencies,
 * relative to a slowdown of 1. */
constexpr double kPressureWeight = 1.0;
/** A best-effort task waits when its allowed CPU share would be lower. */
constexpr double kMinStartCpuShare = 0.8;
/** Reduces the cost of a worker whose best-effort tasks are already throttled;
 * higher than the sum of all other costs of a best-effort task there. */
constexpr double kThrottledBonus = 100.0;
/** A task that raises the logarithm of a tail latency by no more than this may
 * run on a worker whose best-effort tasks are throttled. */
constexpr double kNegligibleLogRise = 0.15;

/** Cost of each run that would be lost if a suspect task crashed the worker,
 * and of the presence of serving tasks there. */
constexpr double kSuspectRunPenalty = 1e5;
constexpr double kSuspectServingPenalty = 1e7;

/** After this wait a task may run where interference is expected, to update
 * the estimate. */
constexpr auto kProbeAfter = Milliseconds(5000);

auto HasLabel(const Worker& aWorker, const std::string& aLabel) -> bool
{
  const auto& labels = aWorker.mRecord.mLabels;
  return aLabel.empty() ||
         std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

auto CountRunsOfStep(const Worker& aWorker, const Task& aTask) -> std::uint32_t
{
  std::uint32_t out = 0;
  for (const auto& [name, run] : aWorker.mRuns) {
    const auto* other = run.mTask;
    if (other && other->mJob == aTask.mJob && other->mStep == aTask.mStep &&
        other->mOccurrence == aTask.mOccurrence) {
      ++out;
    }
  }
  return out;
}

/** Whether a best-effort task would raise the tail latency that exceeds its
 * target. */
auto RaisesOverTargetTail(const CellState& aCell,
                          const Worker& aWorker,
                          const ImageUse& aAdded) -> bool
{
  const auto& pair =
    aCell.mInterference.mPairs[aAdded.mImage][aWorker.mOverTargetImage];
  return pair.mUpperBound * aAdded.mUse > kNegligibleLogRise;
}

/** Lower is better; no value when the best-effort task should wait. */
auto BestEffortCost(CellState& aCell,
                    const Worker& aWorker,
                    const StepSpec& aSpec,
                    InterferenceTolerance aTolerance) -> std::optional<double>
{
  const auto leftover = std::max(1.0, LeftoverCpu(aWorker));
  const auto wanted =
    static_cast<double>(aWorker.mBestEffortCpuMillis + aSpec.mNeed.mCpuMillis);
  const auto slowdown = wanted / leftover;
  const auto image = ImageIndex(aCell.mInterference, aSpec.mImage);
  const auto share = static_cast<double>(aSpec.mNeed.mCpuMillis) /
                     static_cast<double>(std::max<std::int64_t>(
                       1, aWorker.mRecord.mCapacity.mCpuMillis));
  auto pressure = 0.0;
  for (const auto& [serving, count] : aWorker.mServingImages) {
    pressure += aCell.mInterference.mPairs[image][serving].mUpperBound * share;
  }
  const auto cpuShare = AllowedCpuShare(aCell, aWorker, { image, share });
  const auto mayProbe = aTolerance == InterferenceTolerance::Probe &&
                        aWorker.mBestEffortCpuMillis == 0;
  const auto raisesOverTargetTail =
    aWorker.mServingCpuMillis > 0 && aWorker.mBestEffortCpuShare < 100 &&
    RaisesOverTargetTail(aCell, aWorker, { image, share });
  const auto isUnsuitable = slowdown > kMaxSlowdown ||
                            (cpuShare < kMinStartCpuShare && !mayProbe) ||
                            raisesOverTargetTail;
  if (isUnsuitable && aTolerance != InterferenceTolerance::Accept) {
    return std::nullopt;
  }
  constexpr double kSlowdownWeight = 0.1;
  constexpr double kCpuShareFloor = 0.05;
  // A task that has to run despite its interference goes to a worker whose
  // best-effort tasks are already throttled, and leaves the other workers to
  // harmless tasks.
  const auto throttledBonus = aTolerance == InterferenceTolerance::Accept &&
                                  aWorker.mBestEffortCpuShare < 100
                                ? kThrottledBonus
                                : 0.0;
  return std::max(1.0, slowdown) / std::max(kCpuShareFloor, cpuShare) +
         slowdown * kSlowdownWeight + pressure * kPressureWeight -
         throttledBonus;
}

/** Lower is better: best fit, the worker with the least CPU left over. */
auto ReservingCost(CellState& aCell,
                   const Worker& aWorker,
                   const StepSpec& aSpec) -> double
{
  auto out = static_cast<double>(aWorker.mRecord.mCapacity.mCpuMillis -
                                 aWorker.mUsed.mCpuMillis);
  out += aWorker.mServingCpuMillis == 0 ? kNoServingPenalty : 0;
  if (aSpec.mTargetTailMs == 0) {
    return out;
  }
  const auto image = ImageIndex(aCell.mInterference, aSpec.mImage);
  for (const auto& [other, count] : aWorker.mServingImages) {
    out += other != image ? kOtherImagePenalty : 0;
  }
  const auto pressure =
    PressureOn(aCell.mInterference, image, aWorker.mBestEffortUses);
  return out + pressure * kNoServingPenalty;
}

auto PlacementCost(CellState& aCell,
                   const Worker& aWorker,
                   const Task& aTask,
                   const StepSpec& aSpec,
                   InterferenceTolerance aTolerance) -> std::optional<double>
{
  auto out = aSpec.mIsBestEffort
               ? BestEffortCost(aCell, aWorker, aSpec, aTolerance)
               : ReservingCost(aCell, aWorker, aSpec);
  if (!out) {
    return out;
  }
  if (aTask.mAvoidedWorker == aWorker.mRecord.mId) {
    *out += kAvoidedWorkerPenalty;
  }
  if (!aSpec.mDataRack.empty() && !HasLabel(aWorker, aSpec.mDataRack)) {
    *out += kRemoteDataPenalty;
  }
  if (IsSuspect(aTask)) {
    *out += kSuspectRunPenalty * static_cast<double>(aWorker.mRuns.size());
    *out += aWorker.mServingCpuMillis > 0 ? kSuspectServingPenalty : 0;
  }
  return out;
}

} // namespace

auto ToleranceOf(const Task& aTask, MonotonicTime aNow) -> InterferenceTolerance
{
  return aNow - aTask.mReadyAt > kProbeAfter ? InterferenceTolerance::Probe
                                             : InterferenceTolerance::Avoid;
}

auto UsableCapacity(const CellState& aCell, const Worker& aWorker)
  -> const Resources&
{
  // A capacity that varies may have been reduced again.
  return aCell.mWorkerListState == WorkerListState::Current
           ? aWorker.mRecord.mCapacity
           : aWorker.mLowestCapacity;
}

auto RoomUseOf(const Task& aTask) -> RoomUse
{
  return IsRestart(aTask) ? RoomUse::Reserved : RoomUse::Unreserved;
}

auto HasRoom(const CellState& aCell,
             const Worker& aWorker,
             const StepSpec& aSpec,
             std::string_view aTask,
             RoomUse aUse,
             MonotonicTime aNow) -> bool
{
  if (aWorker.mRunsOfUnknownNeed > 0) {
    return false;
  }
  if (aUse == RoomUse::Displacing) {
    return Contains(RoomForRestart(aCell, aWorker, aTask, aNow), aSpec.mNeed);
  }
  const auto& capacity = UsableCapacity(aCell, aWorker);
  const auto& used = aWorker.mUsed;
  if (aSpec.mIsLongRunning && !aWorker.mReservations.empty() &&
      !Contains(CapacityFor(aCell, aWorker, aTask, aNow), aSpec.mNeed)) {
    return false;
  }
  const auto mayUseReserved =
    aUse == RoomUse::Reserved || HasReservation(aWorker, aTask, aNow);
  const auto reserved =
    mayUseReserved ? Resources{} : ReservedForOthers(aWorker, aTask, aNow);
  // Best-effort tasks reserve no CPU, and leave it when it is used.
  const auto cpu =
    aSpec.mIsBestEffort ? 0 : aSpec.mNeed.mCpuMillis + reserved.mCpuMillis;
  return used.mCpuMillis + cpu <= capacity.mCpuMillis &&
         used.mMemoryMb + aSpec.mNeed.mMemoryMb + reserved.mMemoryMb <=
           capacity.mMemoryMb &&
         used.mAccelerators + aSpec.mNeed.mAccelerators +
             reserved.mAccelerators <=
           capacity.mAccelerators;
}

namespace {

enum class WorkerSearch : std::uint8_t
{
  ForStart,
  ToIsolate,
};

/** Whether two workers are not likely to be slow for the same reason. */
auto AreApart(const Worker& aLeft, const Worker& aRight) -> bool
{
  const auto& labels = aLeft.mRecord.mLabels;
  return &aLeft != &aRight &&
         (labels.empty() || labels != aRight.mRecord.mLabels);
}

auto FindCheapest(CellState& aCell,
                  const Task& aTask,
                  const StepSpec& aSpec,
                  InterferenceTolerance aTolerance,
                  WorkerSearch aSearch,
                  RoomUse aUse,
                  MonotonicTime aNow,
                  const Worker* aApartFrom = nullptr) -> Worker*
{
  const auto& service = aTask.mJob->mStored.mQueue.mService;
  const auto name = aSpec.mIsLongRunning ? TaskName(aTask) : std::string();
  Worker* best = nullptr;
  auto bestCost = std::numeric_limits<double>::max();
  for (auto& [id, worker] : aCell.mWorkers) {
    if (!IsOfKind(*worker, service, aSpec.mRequiredLabel) ||
        !HasRoom(aCell, *worker, aSpec, name, aUse, aNow) ||
        !IsUsable(aCell, *worker, aNow)) {
      continue;
    }
    const auto mayUse =
      aSearch == WorkerSearch::ForStart
        ? MayJoinWorker(aCell, *worker, aTask, aNow)
        : aNow >= worker->mIsolatedUntil && !worker->mUnreachableSince;
    const auto isFull = aSpec.mMaxPerWorker > 0 &&
                        CountRunsOfStep(*worker, aTask) >= aSpec.mMaxPerWorker;
    const auto delaysOther = aSearch == WorkerSearch::ForStart &&
                             !MayBackfill(aCell, *worker, aTask, aNow);
    const auto isTooClose = aApartFrom && !AreApart(*worker, *aApartFrom);
    if (!mayUse || isFull || delaysOther || isTooClose) {
      continue;
    }
    const auto cost = PlacementCost(aCell, *worker, aTask, aSpec, aTolerance);
    if (cost && *cost < bestCost) {
      bestCost = *cost;
      best = worker.get();
    }
  }
  return best;
}

} // namespace

auto IsOfKind(const Worker& aWorker,
              const std::string& aService,
              const std::string& aRequiredLabel) -> bool
{
  return aWorker.mRecord.mService == aService &&
         HasLabel(aWorker, aRequiredLabel);
}

auto FindWorker(CellState& aCell,
                const Task& aTask,
                const StepSpec& aSpec,
                InterferenceTolerance aTolerance,
                MonotonicTime aNow) -> Worker*
{
  return FindCheapest(aCell,
                      aTask,
                      aSpec,
                      aTolerance,
                      WorkerSearch::ForStart,
                      RoomUseOf(aTask),
                      aNow);
}

auto FindWorkerApartFrom(CellState& aCell,
                         const Task& aTask,
                         const Worker& aOther,
                         MonotonicTime aNow) -> Worker*
{
  return FindCheapest(aCell,
                      aTask,
                      SpecOf(aTask),
                      InterferenceTolerance::Avoid,
                      WorkerSearch::ForStart,
                      RoomUse::Unreserved,
                      aNow,
                      &aOther);
}

auto FindWorkerToDisplace(CellState& aCell,
                          const Task& aTask,
                          const StepSpec& aSpec,
                          MonotonicTime aNow) -> Worker*
{
  return FindCheapest(aCell,
                      aTask,
                      aSpec,
                      ToleranceOf(aTask, aNow),
                      WorkerSearch::ForStart,
                      RoomUse::Displacing,
                      aNow);
}

auto FindWorkerToIsolate(CellState& aCell,
                         const Task& aTask,
                         const StepSpec& aSpec,
                         InterferenceTolerance aTolerance,
                         MonotonicTime aNow) -> Worker*
{
  return FindCheapest(aCell,
                      aTask,
                      aSpec,
                      aTolerance,
                      WorkerSearch::ToIsolate,
                      RoomUseOf(aTask),
                      aNow);
}

auto HasBetterWorker(CellState& aCell,
                     const Worker& aWorker,
                     const Run& aRun,
                     MonotonicTime aNow) -> bool
{
  const auto& task = *aRun.mTask;
  const auto* other =
    FindWorker(aCell, task, SpecOf(task), ToleranceOf(task, aNow), aNow);
  return other && other != &aWorker;
}

auto ExclusionOf(const CellState& aCell,
                 const Worker& aWorker,
                 MonotonicTime aNow) -> WorkerExclusion
{
  if (!aWorker.mIsKnown) {
    return WorkerExclusion::NotKnown;
  }
  if (!aWorker.mIsListed) {
    return WorkerExclusion::Unlisted;
  }
  if (aWorker.mIsTransferring) {
    return WorkerExclusion::Transferring;
  }
  if (IsEvacuated(aCell, aWorker)) {
    return WorkerExclusion::Evacuated;
  }
  if (aWorker.mMayHaveRestartedSince) {
    return WorkerExclusion::MayHaveRestarted;
  }
  if (aWorker.mRecord.mState != WorkerState::Ready) {
    return WorkerExclusion::Draining;
  }
  if (aNow < aWorker.mSuspectUntil) {
    return WorkerExclusion::StartFailed;
  }
  if (aNow < aWorker.mProbationUntil) {
    return WorkerExclusion::Probation;
  }
  if (aNow - aWorker.mLastContact >= aCell.mPolicy.mSilenceLimit) {
    return WorkerExclusion::Silent;
  }
  return aWorker.mRunsOfUnknownNeed > 0 ? WorkerExclusion::RunOfUnknownNeed
                                        : WorkerExclusion::None;
}

auto IsUsable(const CellState& aCell, const Worker& aWorker, MonotonicTime aNow)
  -> bool
{
  const auto exclusion = ExclusionOf(aCell, aWorker, aNow);
  return exclusion == WorkerExclusion::None ||
         exclusion == WorkerExclusion::RunOfUnknownNeed;
}

} // namespace eelgrasspost::cell
