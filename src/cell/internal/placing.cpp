#include <algorithm>

#include "besteffort.h"
#include "queueorder.h"
#include "workerchoice.h"

namespace eelgrasspost::cell {

namespace {

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
  if (run.mIsBestEffort) {
    PaceByBelief(aCell, aWorker);
    run.mWantedCpuShare = BelievedPace(aWorker, run.mImageIndex);
  }
  const auto waited =
    std::chrono::duration_cast<Milliseconds>(aNow - aTask.mReadyAt);
  AddEvent(aCell,
           { CellEventKind::TaskPlaced,
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
    auto* worker = FindWorker(aCell, it, spec, InsistenceOf(it, aNow), aNow);
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
                           spec.mIsBestEffort == aSpec.mIsBestEffort &&
                           spec.mIsLongRunning == aSpec.mIsLongRunning;
      const auto isSameStep = &spec == &aSpec;
      const auto isLike =
        isPlain &&
        aMisfit.mTask->mJob->mStored.mQueue.mService ==
          aTask.mJob->mStored.mQueue.mService &&
        (!spec.mIsBestEffort || spec.mImage == aSpec.mImage) &&
        aSpec.mNeed.mCpuMillis >= spec.mNeed.mCpuMillis &&
        aSpec.mNeed.mMemoryMb >= spec.mNeed.mMemoryMb &&
        aSpec.mNeed.mAccelerators >= spec.mNeed.mAccelerators;
      return (isSameStep || isLike) && aMisfit.mInsistence >= aInsistence;
    });
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
    if (!IsUsable(aCell, *worker, aNow) || aNow < worker->mReservedUntil ||
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
    best->mReservedCpuMillis = spec.mNeed.mCpuMillis;
    best->mReservedUntil = aNow + kKeepTime;
  }
}

} // namespace

auto ReserveCapacity(CellState& aCell,
                     const std::string& aService,
                     const Resources& aNeed,
                     MonotonicTime aNow) -> bool
{
  StepSpec spec;
  spec.mNeed = aNeed;
  spec.mIsLongRunning = true;
  for (auto& [id, worker] : aCell.mWorkers) {
    if (worker->mRecord.mService == aService &&
        aNow >= worker->mReservedUntil && HasRoom(*worker, spec, aNow) &&
        IsUsable(aCell, *worker, aNow)) {
      worker->mReservedCpuMillis = aNeed.mCpuMillis;
      worker->mReservedUntil = aNow + kKeepTime;
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
      return aNow < aItem.second->mReservedUntil;
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
