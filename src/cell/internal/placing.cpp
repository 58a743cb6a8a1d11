#include <algorithm>

#include "besteffort.h"
#include "eelgrasspost/cell/lookahead.h"
#include "queueorder.h"
#include "workerchoice.h"

namespace eelgrasspost::cell {

auto NextAttempt(CellState& aCell, const Task& aTask) -> std::uint64_t
{
  auto out = aCell.mAttemptBase + aCell.mNextAttempt++;
  // Another cell may have used the numbers of this one for the same task.
  out = std::max({ out, aTask.mAttempt + 1, aTask.mDuplicateAttempt + 1 });
  for (const auto it : aTask.mFailedAttempts) {
    out = std::max(out, it + 1);
  }
  return out;
}

auto MakeStartOrder(const Task& aTask,
                    const Worker& aWorker,
                    std::uint64_t aAttempt) -> Order
{
  Order out;
  out.mKind = OrderKind::Start;
  out.mWorker = aWorker.mRecord.mId;
  out.mTask = TaskName(aTask);
  out.mAttempt = aAttempt;
  out.mPayload = aTask.mJob->mStored.mSpec.mPayload;
  out.mCheckpoint = aTask.mCheckpoint;
  return out;
}

namespace {

auto PlaceTask(CellState& aCell,
               Task& aTask,
               Worker& aWorker,
               std::uint64_t aAttempt,
               MonotonicTime aNow) -> Order
{
  aTask.mPhase = TaskPhase::Placed;
  aTask.mWorker = &aWorker;
  aTask.mAttempt = aAttempt;
  aTask.mMayHaveRun = true;
  auto& job = *aTask.mJob;
  ++aCell.mStarts;
  NoteStart(aCell, aWorker, aTask, aNow);
  auto order = MakeStartOrder(aTask, aWorker, aAttempt);
  if (SpecOf(aTask).mIsLongRunning) {
    RemoveReservation(aCell, order.mTask);
  }
  auto& run =
    InsertRun(aWorker, order.mTask, MakeRun(aCell, aTask, aAttempt, aNow));
  if (run.mIsBestEffort) {
    SetEstimatedCpuShares(aCell, aWorker);
    run.mWantedCpuShare = EstimatedCpuShare(aWorker, run.mImageIndex);
  }
  const auto waited =
    std::chrono::duration_cast<Milliseconds>(aNow - aTask.mReadyAt);
  AddEvent(aCell,
           { CellEventKind::TaskPlaced,
             order.mTask,
             order.mWorker,
             aAttempt,
             job.mStored.mQueue.mName,
             static_cast<double>(waited.count()),
             SinceContact(aTask.mLastContact, aNow) });
  if (aTask.mHasGathered) {
    ++aCell.mGatheredStarts;
    AddEvent(aCell,
             { CellEventKind::GatheredTaskStarted,
               order.mTask,
               order.mWorker,
               aAttempt,
               job.mStored.mQueue.mName,
               static_cast<double>(waited.count()) });
    aTask.mHasGathered = false;
  }
  aTask.mLastContact.reset();
  return order;
}

/** Time between two tries to place a gang, for each member: a try looks at all
 * workers for each. */
constexpr auto kGangRetryPerMember = std::chrono::microseconds(50);

/** Room that was taken on a worker, and what the worker's state was before. */
struct TakenRoom
{
  Worker* mWorker = nullptr;
  MonotonicTime mLastStartAt{};
  MonotonicTime mIsolatedUntil{};
};

/** Takes room for all members of a gang, or for none. */
auto TakeRoomForGang(CellState& aCell,
                     std::vector<Task>& aTasks,
                     MonotonicTime aNow) -> std::vector<TakenRoom>
{
  std::vector<TakenRoom> out;
  for (auto& it : aTasks) {
    auto* worker =
      FindWorker(aCell, it, SpecOf(it), ToleranceOf(it, aNow), aNow);
    if (!worker) {
      break;
    }
    out.push_back({ worker, worker->mLastStartAt, worker->mIsolatedUntil });
    InsertRun(*worker, TaskName(it), MakeRun(aCell, it, 0, aNow));
    NoteStart(aCell, *worker, it, aNow);
  }
  if (out.size() == aTasks.size()) {
    return out;
  }
  while (!out.empty()) {
    const auto& last = out.back();
    last.mWorker->mLastStartAt = last.mLastStartAt;
    last.mWorker->mIsolatedUntil = last.mIsolatedUntil;
    EraseRun(*last.mWorker, TaskName(aTasks[out.size() - 1]));
    out.pop_back();
  }
  return out;
}

/** Places all members of a gang, or none. */
auto PlaceGang(CellState& aCell,
               Task& aTask,
               MonotonicTime aNow,
               std::vector<Order>& aOrders) -> void
{
  auto& step =
    aTask.mJob->mOccurrences.at(aTask.mOccurrence)->mSteps[aTask.mStep];
  if (aNow < step.mNextTryAt) {
    return;
  }
  // The other members, which follow in this round, are not tried again.
  step.mNextTryAt =
    aNow + kGangRetryPerMember * static_cast<std::int64_t>(step.mTasks.size());
  const auto& spec = SpecOf(aTask);
  const auto mayFit =
    spec.mIsLongRunning ||
    CountStartableNow(aCell, aTask.mJob->mStored.mQueue.mService, spec, aNow) >=
      static_cast<std::int64_t>(step.mTasks.size());
  const auto areReady =
    mayFit &&
    std::all_of(
      step.mTasks.begin(), step.mTasks.end(), [&](const Task& aMember) {
        return MayStart(aMember, aNow) && !HasUntrackedRun(aCell, aMember);
      });
  if (!areReady) {
    return;
  }
  std::uint64_t attempt = 0;
  for (auto& it : step.mTasks) {
    it.mCheckpoint = step.mTasks.front().mCheckpoint;
    attempt = std::max(attempt, NextAttempt(aCell, it));
  }
  const auto taken = TakeRoomForGang(aCell, step.mTasks, aNow);
  for (std::size_t i = 0; i < taken.size(); ++i) {
    aOrders.push_back(
      PlaceTask(aCell, step.mTasks[i], *taken[i].mWorker, attempt, aNow));
  }
}

/** Interval at which waiting tasks are tried again when no task became ready.
 */
constexpr auto kPlacingInterval = Milliseconds(15);
/** Age at which a job's rank is computed again; ranks change slowly. */
constexpr auto kMaxRankAge = Milliseconds(250);

/** A task for which no worker was found in this round. */
struct UnplacedTask
{
  const Task* mTask = nullptr;
  const StepSpec* mSpec = nullptr;
  InterferenceTolerance mTolerance = InterferenceTolerance::Avoid;
  /** Expected, if it may have found no worker only since it would delay a
   * gathering; zero otherwise. */
  Milliseconds mRunTime{ 0 };
};

/** Whether a task needs at least as much as one that could not be placed, so
 * that the search for a worker can be skipped. */
auto NeedsAtLeastUnplaced(const CellState& aCell,
                          const std::vector<UnplacedTask>& aUnplaced,
                          const Task& aTask,
                          const StepSpec& aSpec,
                          InterferenceTolerance aTolerance) -> bool
{
  return std::any_of(
    aUnplaced.begin(), aUnplaced.end(), [&](const UnplacedTask& aOther) {
      const auto& spec = *aOther.mSpec;
      const auto isUnconstrained = spec.mMaxPerWorker == 0 &&
                                   spec.mRequiredLabel.empty() &&
                                   spec.mIsBestEffort == aSpec.mIsBestEffort &&
                                   spec.mIsLongRunning == aSpec.mIsLongRunning;
      const auto isSameStep = &spec == &aSpec;
      const auto isSimilar =
        isUnconstrained &&
        aOther.mTask->mJob->mStored.mQueue.mService ==
          aTask.mJob->mStored.mQueue.mService &&
        (!spec.mIsBestEffort || spec.mImage == aSpec.mImage) &&
        aSpec.mNeed.mCpuMillis >= spec.mNeed.mCpuMillis &&
        aSpec.mNeed.mMemoryMb >= spec.mNeed.mMemoryMb &&
        aSpec.mNeed.mAccelerators >= spec.mNeed.mAccelerators;
      const auto endsSooner = aOther.mRunTime > Milliseconds(0) &&
                              ExpectedRunTime(aCell, aTask) < aOther.mRunTime;
      return (isSameStep || isSimilar) && aOther.mTolerance >= aTolerance &&
             !endsSooner;
    });
}

/** Maximum number of reservations for tasks that have not run yet; more would
 * block short tasks. Restarts are not limited. */
constexpr std::size_t kMaxReservations = 2;

/** Maximum number of tasks for which room is gathered in a round; more would
 * leave too much room idle. */
constexpr std::size_t kMaxGatherings = 3;

/** The worker on which capacity is reserved for a long-running task, if the
 * task fits there now. */
auto FindWorkerWithReservedRoom(CellState& aCell,
                                const Task& aTask,
                                MonotonicTime aNow) -> Worker*
{
  const auto& spec = SpecOf(aTask);
  if (!spec.mIsLongRunning) {
    return nullptr;
  }
  const auto need = NeedOf(aTask);
  auto* worker = FindReservedWorker(aCell, need.mTask, aNow);
  const auto isStartable =
    worker && IsUsable(aCell, *worker, aNow) && Suits(*worker, need) &&
    HasRoom(aCell, *worker, spec, need.mTask, RoomUse::Reserved, aNow) &&
    MayJoinWorker(aCell, *worker, aTask, aNow);
  return isStartable ? worker : nullptr;
}

/** Starts a suspect task apart from others. Where no worker is free of recent
 * starts, one is isolated until the task can be started there. aRank: number of
 * suspects up to this one in the round; as many workers may be isolated. */
auto PlaceSuspect(CellState& aCell,
                  Task& aTask,
                  InterferenceTolerance aTolerance,
                  std::size_t aRank,
                  MonotonicTime aNow) -> std::optional<Order>
{
  const auto& spec = SpecOf(aTask);
  if (auto* worker = FindWorker(aCell, aTask, spec, aTolerance, aNow)) {
    return PlaceTask(aCell, aTask, *worker, NextAttempt(aCell, aTask), aNow);
  }
  const auto isolated = static_cast<std::size_t>(std::count_if(
    aCell.mWorkers.begin(), aCell.mWorkers.end(), [&](const auto& aItem) {
      return aNow < aItem.second->mIsolatedUntil;
    }));
  if (isolated < aRank) {
    if (auto* worker =
          FindWorkerToIsolate(aCell, aTask, spec, aTolerance, aNow)) {
      worker->mIsolatedUntil = aNow + 2 * aCell.mPolicy.mCrashWindow;
    }
  }
  return std::nullopt;
}

} // namespace

auto PlaceReady(CellState& aCell,
                MonotonicTime aNow,
                std::vector<Order>& aOrders) -> void
{
  if (aCell.mWorkerListState == WorkerListState::Unconfirmed ||
      aCell.mReady.empty() ||
      (!aCell.mHasNewReady && aNow - aCell.mPlacedAt < kPlacingInterval)) {
    return;
  }
  aCell.mHasNewReady = false;
  aCell.mPlacedAt = aNow;
  std::vector<UnplacedTask> unplaced;
  auto& ready = aCell.mReady;
  for (const auto* it : ready) {
    if (aNow - it->mJob->mRankedAt > kMaxRankAge) {
      it->mJob->mRank = RankJob(*it->mJob, aNow);
      it->mJob->mRankedAt = aNow;
    }
  }
  std::sort(ready.begin(), ready.end(), ComesBefore);
  RemoveExpiredReservations(aCell, aNow);
  ClearGatherings(aCell);
  std::size_t gatherings = 0;
  std::size_t reservations = 0;
  // The step that no worker can hold; its other tasks follow it in the order.
  const StepSpec* unreservable = nullptr;
  std::size_t suspects = 0;
  const auto isLightlyLoaded = IsLightlyLoaded(aCell, aNow);
  for (auto* it : ready) {
    if (!MayStart(*it, aNow) || IsPlacementDelayed(aCell, *it, aNow)) {
      continue;
    }
    const auto& spec = SpecOf(*it);
    if (spec.mIsGang) {
      PlaceGang(aCell, *it, aNow, aOrders);
      continue;
    }
    auto tolerance = ToleranceOf(*it, aNow);
    if (MustAcceptInterference(*it, isLightlyLoaded, aNow)) {
      tolerance = InterferenceTolerance::Accept;
    }
    if (IsSuspect(*it)) {
      if (auto order = PlaceSuspect(aCell, *it, tolerance, ++suspects, aNow)) {
        aOrders.push_back(*std::move(order));
      }
      continue;
    }
    const auto isSearchFutile =
      NeedsAtLeastUnplaced(aCell, unplaced, *it, spec, tolerance);
    auto* worker = isSearchFutile
                     ? FindWorkerWithReservedRoom(aCell, *it, aNow)
                     : FindWorker(aCell, *it, spec, tolerance, aNow);
    if (!worker && !isSearchFutile && IsRestart(*it)) {
      worker = FindWorkerToDisplace(aCell, *it, spec, aNow);
    }
    if (worker && HasUntrackedRun(aCell, *it)) {
      continue;
    }
    if (worker) {
      if (IsRestart(*it)) {
        DisplaceReservations(aCell, *worker, NeedOf(*it), aNow);
      }
      aOrders.push_back(
        PlaceTask(aCell, *it, *worker, NextAttempt(aCell, *it), aNow));
      continue;
    }
    NoteHeldBack(aCell, *it);
    if (!isSearchFutile) {
      const auto runTime =
        gatherings > 0 ? ExpectedRunTime(aCell, *it) : Milliseconds(0);
      unplaced.push_back({ it, &spec, tolerance, runTime });
    }
    if (!isSearchFutile && gatherings < kMaxGatherings &&
        MayGather(aCell, *it) && Gather(aCell, *it, aNow)) {
      it->mHasGathered = true;
      ++gatherings;
    }
    const auto mayReserve = spec.mIsLongRunning &&
                            (&spec != unreservable ||
                             FindReservedWorker(aCell, TaskName(*it), aNow)) &&
                            (IsRestart(*it) || reservations < kMaxReservations);
    if (mayReserve && ReserveForTask(aCell, *it, aNow)) {
      ++reservations;
    } else if (mayReserve) {
      unreservable = &spec;
    }
  }
  std::erase_if(
    ready, [](const Task* aTask) { return aTask->mPhase != TaskPhase::Ready; });
}

} // namespace eelgrasspost::cell
