#include <algorithm>
#include <limits>

#include "cellsteps.h"
#include "filling.h"

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
/** A task that waited so long may run where it is believed to do harm. */
constexpr auto kTryAfter = Milliseconds(5000);
/** Rise of the logarithm of a tail that is not worth keeping a task away from
 * a worker whose filling tasks are slowed. */
constexpr double kSlightRise = 0.15;

/** How much harm a filling task may be expected to do. */
enum class Insistence : std::uint8_t
{
  Careful,
  /** It may correct a belief, on an otherwise quiet worker. */
  MayTry,
  /** It runs where it does the least harm. */
  Must,
};

auto InsistenceOf(const Task& aTask, MonotonicTime aNow) -> Insistence
{
  return aNow - aTask.mReadyAt > kTryAfter ? Insistence::MayTry
                                           : Insistence::Careful;
}

auto HasLabel(const Worker& aWorker, const std::string& aLabel) -> bool
{
  const auto& labels = aWorker.mRecord.mLabels;
  return aLabel.empty() ||
         std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

auto HasRoom(const Worker& aWorker, const StepSpec& aSpec, MonotonicTime aNow)
  -> bool
{
  const auto& capacity = aWorker.mRecord.mCapacity;
  const auto& used = aWorker.mUsed;
  const auto cpu = aSpec.mIsFilling ? 0 : aSpec.mNeed.mCpuMillis;
  const auto isKept =
    !aSpec.mIsFilling && !aSpec.mIsLongRunning && aNow < aWorker.mKeptUntil;
  const auto kept = isKept ? aWorker.mKeptCpuMillis : 0;
  return used.mCpuMillis + cpu + kept <= capacity.mCpuMillis &&
         used.mMemoryMb + aSpec.mNeed.mMemoryMb <= capacity.mMemoryMb &&
         used.mAccelerators + aSpec.mNeed.mAccelerators <=
           capacity.mAccelerators;
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
    aCell.mInterference.mPairs[aMore.mImage][aWorker.mPressedImage];
  return pair.mCautious * aMore.mUse > kSlightRise;
}

/** Lower is better; nothing when a filling task should rather wait. */
auto FillingCost(CellState& aCell,
                 const Worker& aWorker,
                 const StepSpec& aSpec,
                 Insistence aInsistence) -> std::optional<double>
{
  const auto left = std::max(1.0, LeftoverCpu(aWorker));
  const auto wanted =
    static_cast<double>(aWorker.mFillingCpuMillis + aSpec.mNeed.mCpuMillis);
  const auto slowdown = wanted / left;
  const auto image = ImageIndex(aCell.mInterference, aSpec.mImage);
  const auto share = static_cast<double>(aSpec.mNeed.mCpuMillis) /
                     static_cast<double>(std::max<std::int64_t>(
                       1, aWorker.mRecord.mCapacity.mCpuMillis));
  auto pressure = 0.0;
  for (const auto& [serving, count] : aWorker.mServingImages) {
    pressure += aCell.mInterference.mPairs[image][serving].mCautious * share;
  }
  const auto pace = AllowedPace(aCell, aWorker, { image, share });
  const auto mayTry =
    aInsistence == Insistence::MayTry && aWorker.mFillingCpuMillis == 0;
  const auto isPressed = aWorker.mServingCpuMillis > 0 &&
                         aWorker.mFillPace < 100 &&
                         WouldPress(aCell, aWorker, { image, share });
  const auto isUnfit = slowdown > kMostSlowdown ||
                       (pace < kLeastPace && !mayTry) || isPressed;
  if (isUnfit && aInsistence != Insistence::Must) {
    return std::nullopt;
  }
  constexpr double kSpread = 0.1;
  constexpr double kPaceFloor = 0.05;
  // What has to run although it does harm goes where filling tasks are slowed
  // already, and leaves the other workers to harmless ones.
  const auto slowed =
    aInsistence == Insistence::Must && aWorker.mFillPace < 100 ? kSlowedBonus
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
    PressureOn(aCell.mInterference, image, aWorker.mFillingUses);
  return out + pressure * kFreshWorkerPenalty;
}

auto Cost(CellState& aCell,
          const Worker& aWorker,
          const Task& aTask,
          const StepSpec& aSpec,
          Insistence aInsistence) -> std::optional<double>
{
  auto out = aSpec.mIsFilling ? FillingCost(aCell, aWorker, aSpec, aInsistence)
                              : ReservingCost(aCell, aWorker, aSpec);
  if (!out) {
    return out;
  }
  if (aTask.mAvoid == aWorker.mRecord.mId) {
    *out += kAvoidPenalty;
  }
  if (!aSpec.mDataRack.empty() && !HasLabel(aWorker, aSpec.mDataRack)) {
    *out += kRemotePenalty;
  }
  return out;
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

auto Place(CellState& aCell,
           Task& aTask,
           Worker& aWorker,
           std::uint64_t aAttempt,
           MonotonicTime aNow) -> Order
{
  aTask.mPhase = TaskPhase::Placed;
  aTask.mWorker = &aWorker;
  aTask.mAttempt = aAttempt;
  auto& job = *aTask.mJob;
  job.mHasStarted = true;
  if (job.mState == JobState::Queued) {
    job.mState = JobState::Running;
  }
  ++aCell.mStarts;
  Order order;
  order.mKind = OrderKind::Start;
  order.mWorker = aWorker.mRecord.mId;
  order.mTask = TaskName(aTask);
  order.mAttempt = aAttempt;
  order.mPayload = job.mStored.mSpec.mPayload;
  order.mCheckpoint = aTask.mCheckpoint;
  auto& run =
    InsertRun(aWorker, order.mTask, MakeRun(aCell, aTask, aAttempt, aNow));
  if (run.mIsFilling) {
    PaceByBelief(aCell, aWorker);
    run.mWantedPace = BelievedPace(aWorker, run.mImageIndex);
  }
  const auto waited =
    std::chrono::duration_cast<Milliseconds>(aNow - aTask.mReadyAt);
  AddNote(aCell,
          { NoteKind::TaskPlaced,
            order.mTask,
            order.mWorker,
            aAttempt,
            job.mStored.mQueue.mName,
            static_cast<double>(waited.count()) });
  return order;
}

auto NextAttempt(CellState& aCell) -> std::uint64_t
{
  return aCell.mAttemptBase + aCell.mNextAttempt++;
}

/** Starts all members of a gang, or none. */
auto PlaceGang(CellState& aCell,
               Task& aTask,
               MonotonicTime aNow,
               std::vector<Order>& aOrders) -> void
{
  auto& tasks =
    aTask.mJob->mOccurrences.at(aTask.mOccurrence)->mSteps[aTask.mStep].mTasks;
  const auto areReady =
    std::all_of(tasks.begin(), tasks.end(), [&](const Task& aMember) {
      return MayStart(aMember, aNow);
    });
  if (!areReady) {
    return;
  }
  const auto& spec = SpecOf(aTask);
  const auto attempt = NextAttempt(aCell);
  std::vector<Order> orders;
  for (auto& it : tasks) {
    it.mCheckpoint = tasks.front().mCheckpoint;
    auto* worker =
      FindWorker(aCell, it, spec, InsistenceOf(it, aNow), aNow);
    if (!worker) {
      break;
    }
    orders.push_back(Place(aCell, it, *worker, attempt, aNow));
  }
  if (orders.size() == tasks.size()) {
    std::move(orders.begin(), orders.end(), std::back_inserter(aOrders));
    return;
  }
  for (const auto& it : orders) {
    auto& worker = *aCell.mWorkers.at(it.mWorker);
    auto* task = worker.mRuns.at(it.mTask).mTask;
    EraseRun(worker, it.mTask);
    task->mPhase = TaskPhase::Ready;
    task->mWorker = nullptr;
    --aCell.mStarts;
  }
}

/** A lasting task that ran before, here or under another holder: its users
 * miss it. */
auto IsRestart(const Task& aTask) -> bool
{
  return SpecOf(aTask).mIsLongRunning && aTask.mJob->mHasStarted;
}

/** Restarts of lasting tasks go first; else short work goes before lasting
 * work of the same priority. */
auto IsBefore(const Task* aLeft, const Task* aRight) -> bool
{
  if (IsRestart(*aLeft) != IsRestart(*aRight)) {
    return IsRestart(*aLeft);
  }
  const auto& left = aLeft->mJob->mStored.mQueue;
  const auto& right = aRight->mJob->mStored.mQueue;
  if (left.mPriority != right.mPriority) {
    return left.mPriority < right.mPriority;
  }
  const auto leftLasts = SpecOf(*aLeft).mIsLongRunning;
  const auto rightLasts = SpecOf(*aRight).mIsLongRunning;
  if (leftLasts != rightLasts) {
    return rightLasts;
  }
  if (SpecOf(*aLeft).mIsFilling && SpecOf(*aRight).mIsFilling &&
      aLeft->mJob->mRank != aRight->mJob->mRank) {
    return aLeft->mJob->mRank < aRight->mJob->mRank;
  }
  if (leftLasts) {
    // The largest first: less room is lost. New tasks of one image together.
    const auto isRestart = IsRestart(*aLeft);
    const auto key = [&](const StepSpec& aSpec) {
      return std::pair(isRestart ? std::string_view() : aSpec.mImage,
                       -aSpec.mNeed.mCpuMillis);
    };
    const auto leftKey = key(SpecOf(*aLeft));
    const auto rightKey = key(SpecOf(*aRight));
    if (leftKey != rightKey) {
      return leftKey < rightKey;
    }
  }
  if (aLeft->mJob->mAddedAt != aRight->mJob->mAddedAt) {
    return aLeft->mJob->mAddedAt < aRight->mJob->mAddedAt;
  }
  return aLeft < aRight;
}

} // namespace

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
  return aWorker.mIsKnown && aWorker.mIsListed && !aWorker.mIsLent &&
         aWorker.mRecord.mState == WorkerState::Ready &&
         aNow >= aWorker.mSuspectUntil && aNow >= aWorker.mProbationUntil &&
         aNow - aWorker.mLastContact < aCell.mPolicy.mSilenceLimit;
}

namespace {

/** Room is looked for again after this time, if no task became ready. */
constexpr auto kPlacingPause = Milliseconds(15);
/** The order of waiting jobs changes slowly. */
constexpr auto kRankAge = Milliseconds(250);

/** A task for which there was no room in this round. */
struct Misfit
{
  const Task* mTask = nullptr;
  const StepSpec* mSpec = nullptr;
  Insistence mInsistence = Insistence::Careful;
};

/** Whether a task needs no less than one that found no room. */
auto IsMisfit(const std::vector<Misfit>& aMisfits,
              const Task& aTask,
              const StepSpec& aSpec,
              Insistence aInsistence) -> bool
{
  return std::any_of(
    aMisfits.begin(), aMisfits.end(), [&](const Misfit& aMisfit) {
      const auto& spec = *aMisfit.mSpec;
      const auto isPlain = spec.mMaxPerWorker == 0 &&
                           spec.mRequiredLabel.empty() &&
                           spec.mIsFilling == aSpec.mIsFilling &&
                           spec.mIsLongRunning == aSpec.mIsLongRunning;
      const auto isSameStep = &spec == &aSpec;
      const auto isLike = isPlain &&
                          aMisfit.mTask->mJob->mStored.mQueue.mService ==
                            aTask.mJob->mStored.mQueue.mService &&
                          (!spec.mIsFilling || spec.mImage == aSpec.mImage) &&
                          aSpec.mNeed.mCpuMillis >= spec.mNeed.mCpuMillis &&
                          aSpec.mNeed.mMemoryMb >= spec.mNeed.mMemoryMb &&
                          aSpec.mNeed.mAccelerators >= spec.mNeed.mAccelerators;
      return (isSameStep || isLike) && aMisfit.mInsistence >= aInsistence;
    });
}

/** A job without any run is not kept waiting for a harmless place beyond the
 * first, and beyond the second in a quiet cell. Forced runs cost the jobs of a
 * busy cell more than they earn: 0.25 instead of 0.42 in a score. */
constexpr auto kMostWait = Milliseconds(25000);
constexpr auto kMostIdleWait = Milliseconds(1500);
/** Share of the processors, reserved or wanted by filling tasks, below which
 * the cell counts as quiet; and the time without a new job after which it does
 * whatever runs. Jobs have to be at work within 14 s of the end of traffic. */
constexpr double kQuietShare = 0.6;
constexpr auto kQuietTime = Milliseconds(3000);

auto IsQuiet(const CellState& aCell, MonotonicTime aNow) -> bool
{
  if (aNow - aCell.mLastNewJobAt > kQuietTime) {
    return true;
  }
  auto taken = 0.0;
  auto capacity = 0.0;
  for (const auto& [id, it] : aCell.mWorkers) {
    if (IsUsable(aCell, *it, aNow)) {
      taken +=
        static_cast<double>(it->mUsed.mCpuMillis + it->mFillingCpuMillis);
      capacity += static_cast<double>(it->mRecord.mCapacity.mCpuMillis);
    }
  }
  return taken < kQuietShare * capacity;
}

auto MustRun(const Task& aTask, bool aIsQuiet, MonotonicTime aNow) -> bool
{
  const auto limit = aIsQuiet ? kMostIdleWait : kMostWait;
  return aNow - aTask.mReadyAt > limit && SpecOf(aTask).mIsFilling &&
         !HasRun(*aTask.mJob);
}

/** How long room is kept; longer than most short tasks run. */
constexpr auto kKeepTime = Milliseconds(1500);

/** Keeps room on the worker that soonest has enough of it, so that a lasting
 * task is not starved by a stream of short ones. */
auto KeepRoom(CellState& aCell, const Task& aTask, MonotonicTime aNow) -> void
{
  const auto& spec = SpecOf(aTask);
  Worker* best = nullptr;
  std::int64_t bestFree = 0;
  for (auto& [id, worker] : aCell.mWorkers) {
    if (!IsUsable(aCell, *worker, aNow) || aNow < worker->mKeptUntil ||
        worker->mRecord.mService != aTask.mJob->mStored.mQueue.mService) {
      continue;
    }
    const auto& capacity = worker->mRecord.mCapacity;
    std::int64_t lasting = 0;
    for (const auto& [name, run] : worker->mRuns) {
      lasting += run.mIsLongRunning ? run.mNeed.mCpuMillis : 0;
    }
    const auto free = capacity.mCpuMillis - worker->mUsed.mCpuMillis;
    const auto canFit = capacity.mCpuMillis - lasting >= spec.mNeed.mCpuMillis;
    if (canFit && (!best || free > bestFree)) {
      best = worker.get();
      bestFree = free;
    }
  }
  if (best) {
    best->mKeptCpuMillis = spec.mNeed.mCpuMillis;
    best->mKeptUntil = aNow + kKeepTime;
  }
}

} // namespace

auto KeepRoomFor(CellState& aCell,
                 const std::string& aService,
                 const Resources& aNeed,
                 MonotonicTime aNow) -> bool
{
  StepSpec spec;
  spec.mNeed = aNeed;
  spec.mIsLongRunning = true;
  for (auto& [id, worker] : aCell.mWorkers) {
    if (worker->mRecord.mService == aService && aNow >= worker->mKeptUntil &&
        HasRoom(*worker, spec, aNow) && IsUsable(aCell, *worker, aNow)) {
      worker->mKeptCpuMillis = aNeed.mCpuMillis;
      worker->mKeptUntil = aNow + kKeepTime;
      return true;
    }
  }
  return false;
}

namespace {

/** Workers with kept room at one time; more would block short work. */
constexpr std::size_t kMostKept = 2;

auto CountKept(const CellState& aCell, MonotonicTime aNow) -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aCell.mWorkers.begin(), aCell.mWorkers.end(), [&](const auto& aItem) {
      return aNow < aItem.second->mKeptUntil;
    }));
}

} // namespace

auto PlaceReady(CellState& aCell,
                MonotonicTime aNow,
                std::vector<Order>& aOrders) -> void
{
  if (aCell.mReady.empty() ||
      (!aCell.mHasNewReady && aNow - aCell.mPlacedAt < kPlacingPause)) {
    return;
  }
  aCell.mHasNewReady = false;
  aCell.mPlacedAt = aNow;
  std::vector<Misfit> misfits;
  auto& ready = aCell.mReady;
  for (const auto* it : ready) {
    if (aNow - it->mJob->mRankedAt > kRankAge) {
      it->mJob->mRank = RankJob(*it->mJob, aNow);
      it->mJob->mRankedAt = aNow;
    }
  }
  std::sort(ready.begin(), ready.end(), IsBefore);
  auto kept = CountKept(aCell, aNow);
  const auto isQuiet = IsQuiet(aCell, aNow);
  for (auto* it : ready) {
    if (!MayStart(*it, aNow) || IsGathering(aCell, *it, aNow)) {
      continue;
    }
    const auto& spec = SpecOf(*it);
    if (spec.mIsGang) {
      PlaceGang(aCell, *it, aNow, aOrders);
      continue;
    }
    auto insistence = InsistenceOf(*it, aNow);
    if (MustRun(*it, isQuiet, aNow)) {
      insistence = Insistence::Must;
    }
    if (IsMisfit(misfits, *it, spec, insistence)) {
      continue;
    }
    if (auto* worker = FindWorker(aCell, *it, spec, insistence, aNow)) {
      aOrders.push_back(Place(aCell, *it, *worker, NextAttempt(aCell), aNow));
    } else if (spec.mIsLongRunning && kept < kMostKept) {
      KeepRoom(aCell, *it, aNow);
      ++kept;
      misfits.push_back({ it, &spec, insistence });
    } else {
      misfits.push_back({ it, &spec, insistence });
    }
  }
  std::erase_if(
    ready, [](const Task* aTask) { return aTask->mPhase != TaskPhase::Ready; });
}

} // namespace eelgrasspost::cell
