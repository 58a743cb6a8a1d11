#include "workerchoice.h"

#include <algorithm>
#include <limits>

#include "besteffort.h"

namespace eelgrasspost::cell {

namespace {

/** Weight of a worker on which the task failed or stood still before. */
constexpr double kAvoidPenalty = 1e6;
/** Weight of running away from the task's data. */
constexpr double kRemotePenalty = 1e5;
/** A worker without serving tasks is kept for filling ones. */
constexpr double kFreshWorkerPenalty = 1e4;
/** Serving tasks of one image go together: fewer images on a worker leave
 * more filling images that do no harm there. More than an empty worker costs
 * with all its processor millis. */
constexpr double kOtherImagePenalty = 6e4;
/** Filling tasks wait rather than slow each other down beyond this. */
constexpr double kMostSlowdown = 1.7;
/** Weight of the rise of serving tasks' tails against a slowdown by one. */
constexpr double kPressureWeight = 1.0;
/** Share of its speed at which a filling task is started rather than waits. */
constexpr double kLeastPace = 0.8;
/** Weight of a worker on which filling tasks are slowed already, above all
 * that tails and slowdowns add up to. */
constexpr double kSlowedBonus = 100.0;
/** Rise of the logarithm of a tail that is not worth keeping a task away from
 * a worker whose filling tasks are slowed. */
constexpr double kSlightRise = 0.15;

/** A task that waited so long may run where it is believed to do harm. */
constexpr auto kTryAfter = Milliseconds(5000);

auto HasLabel(const Worker& aWorker, const std::string& aLabel) -> bool
{
  const auto& labels = aWorker.mRecord.mLabels;
  return aLabel.empty() ||
         std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

auto CountOfStep(const Worker& aWorker, const Task& aTask) -> std::uint32_t
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

/** Whether a filling task adds to the tail that is over its target now. */
auto WouldPress(const CellState& aCell,
                const Worker& aWorker,
                const ImageUse& aMore) -> bool
{
  const auto& pair =
    aCell.mInterference.mPairs[aMore.mImage][aWorker.mOverTargetImage];
  return pair.mUpperBound * aMore.mUse > kSlightRise;
}

/** Lower is better; nothing when a filling task should rather wait. */
auto FillingCost(CellState& aCell,
                 const Worker& aWorker,
                 const StepSpec& aSpec,
                 Insistence aInsistence) -> std::optional<double>
{
  const auto left = std::max(1.0, LeftoverCpu(aWorker));
  const auto wanted =
    static_cast<double>(aWorker.mBestEffortCpuMillis + aSpec.mNeed.mCpuMillis);
  const auto slowdown = wanted / left;
  const auto image = ImageIndex(aCell.mInterference, aSpec.mImage);
  const auto share = static_cast<double>(aSpec.mNeed.mCpuMillis) /
                     static_cast<double>(std::max<std::int64_t>(
                       1, aWorker.mRecord.mCapacity.mCpuMillis));
  auto pressure = 0.0;
  for (const auto& [serving, count] : aWorker.mServingImages) {
    pressure += aCell.mInterference.mPairs[image][serving].mUpperBound * share;
  }
  const auto pace = AllowedPace(aCell, aWorker, { image, share });
  const auto mayTry =
    aInsistence == Insistence::MayTry && aWorker.mBestEffortCpuMillis == 0;
  const auto isPressed = aWorker.mServingCpuMillis > 0 &&
                         aWorker.mBestEffortCpuShare < 100 &&
                         WouldPress(aCell, aWorker, { image, share });
  const auto isUnfit =
    slowdown > kMostSlowdown || (pace < kLeastPace && !mayTry) || isPressed;
  if (isUnfit && aInsistence != Insistence::Must) {
    return std::nullopt;
  }
  constexpr double kSpread = 0.1;
  constexpr double kPaceFloor = 0.05;
  // What has to run although it does harm goes where filling tasks are slowed
  // already, and leaves the other workers to harmless ones.
  const auto slowed =
    aInsistence == Insistence::Must && aWorker.mBestEffortCpuShare < 100
      ? kSlowedBonus
      : 0.0;
  return std::max(1.0, slowdown) / std::max(kPaceFloor, pace) +
         slowdown * kSpread + pressure * kPressureWeight - slowed;
}

/** Lower is better: the worker with the least room that is left over. */
auto ReservingCost(CellState& aCell,
                   const Worker& aWorker,
                   const StepSpec& aSpec) -> double
{
  auto out = static_cast<double>(aWorker.mRecord.mCapacity.mCpuMillis -
                                 aWorker.mUsed.mCpuMillis);
  out += aWorker.mServingCpuMillis == 0 ? kFreshWorkerPenalty : 0;
  if (aSpec.mTargetTailMs == 0) {
    return out;
  }
  const auto image = ImageIndex(aCell.mInterference, aSpec.mImage);
  for (const auto& [other, count] : aWorker.mServingImages) {
    out += other != image ? kOtherImagePenalty : 0;
  }
  const auto pressure =
    PressureOn(aCell.mInterference, image, aWorker.mBestEffortUses);
  return out + pressure * kFreshWorkerPenalty;
}

auto Cost(CellState& aCell,
          const Worker& aWorker,
          const Task& aTask,
          const StepSpec& aSpec,
          Insistence aInsistence) -> std::optional<double>
{
  auto out = aSpec.mIsBestEffort
               ? FillingCost(aCell, aWorker, aSpec, aInsistence)
               : ReservingCost(aCell, aWorker, aSpec);
  if (!out) {
    return out;
  }
  if (aTask.mAvoidedWorker == aWorker.mRecord.mId) {
    *out += kAvoidPenalty;
  }
  if (!aSpec.mDataRack.empty() && !HasLabel(aWorker, aSpec.mDataRack)) {
    *out += kRemotePenalty;
  }
  return out;
}

} // namespace

auto InsistenceOf(const Task& aTask, MonotonicTime aNow) -> Insistence
{
  return aNow - aTask.mReadyAt > kTryAfter ? Insistence::MayTry
                                           : Insistence::Careful;
}

auto HasRoom(const Worker& aWorker, const StepSpec& aSpec, MonotonicTime aNow)
  -> bool
{
  const auto& capacity = aWorker.mRecord.mCapacity;
  const auto& used = aWorker.mUsed;
  const auto cpu = aSpec.mIsBestEffort ? 0 : aSpec.mNeed.mCpuMillis;
  const auto isKept = !aSpec.mIsBestEffort && !aSpec.mIsLongRunning &&
                      aNow < aWorker.mReservedUntil;
  const auto kept = isKept ? aWorker.mReservedCpuMillis : 0;
  return used.mCpuMillis + cpu + kept <= capacity.mCpuMillis &&
         used.mMemoryMb + aSpec.mNeed.mMemoryMb <= capacity.mMemoryMb &&
         used.mAccelerators + aSpec.mNeed.mAccelerators <=
           capacity.mAccelerators;
}

auto FindWorker(CellState& aCell,
                const Task& aTask,
                const StepSpec& aSpec,
                Insistence aInsistence,
                MonotonicTime aNow) -> Worker*
{
  const auto& service = aTask.mJob->mStored.mQueue.mService;
  Worker* best = nullptr;
  auto bestCost = std::numeric_limits<double>::max();
  for (auto& [id, worker] : aCell.mWorkers) {
    if (worker->mRecord.mService != service || !HasRoom(*worker, aSpec, aNow) ||
        !HasLabel(*worker, aSpec.mRequiredLabel) ||
        !IsUsable(aCell, *worker, aNow)) {
      continue;
    }
    const auto isFull = aSpec.mMaxPerWorker > 0 &&
                        CountOfStep(*worker, aTask) >= aSpec.mMaxPerWorker;
    if (isFull) {
      continue;
    }
    const auto cost = Cost(aCell, *worker, aTask, aSpec, aInsistence);
    if (cost && *cost < bestCost) {
      bestCost = *cost;
      best = worker.get();
    }
  }
  return best;
}

auto HasBetterPlace(CellState& aCell,
                    const Worker& aWorker,
                    const Run& aRun,
                    MonotonicTime aNow) -> bool
{
  const auto& task = *aRun.mTask;
  const auto* other =
    FindWorker(aCell, task, SpecOf(task), InsistenceOf(task, aNow), aNow);
  return other && other != &aWorker;
}

auto IsUsable(const CellState& aCell, const Worker& aWorker, MonotonicTime aNow)
  -> bool
{
  return aWorker.mIsKnown && aWorker.mIsListed && !aWorker.mIsTransferring &&
         aWorker.mRecord.mState == WorkerState::Ready &&
         aNow >= aWorker.mSuspectUntil && aNow >= aWorker.mProbationUntil &&
         aNow - aWorker.mLastContact < aCell.mPolicy.mSilenceLimit;
}

} // namespace eelgrasspost::cell
