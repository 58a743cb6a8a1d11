#include <algorithm>
#include <limits>

#include "cellsteps.h"

namespace eelgrasspost::cell {

namespace {

/** Share of its reserved processor time that a serving task uses, as long as
 * nothing better is known. */
constexpr double kServingUse = 0.5;
/** Weight of a worker on which the task failed or stood still before. */
constexpr double kAvoidPenalty = 1e6;
/** Weight of running away from the task's data. */
constexpr double kRemotePenalty = 1e5;
/** Weight of filling tasks on a worker whose serving tasks are near their
 * targets. */
constexpr double kHarmPenalty = 1e5;

auto HasLabel(const Worker& aWorker, const std::string& aLabel) -> bool
{
  const auto& labels = aWorker.mRecord.mLabels;
  return aLabel.empty() ||
         std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

auto HasRoom(const Worker& aWorker, const StepSpec& aSpec) -> bool
{
  const auto& capacity = aWorker.mRecord.mCapacity;
  const auto& used = aWorker.mUsed;
  const auto cpu = aSpec.mIsFilling ? 0 : aSpec.mNeed.mCpuMillis;
  return used.mCpuMillis + cpu <= capacity.mCpuMillis &&
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

/** Lower is better. */
auto Cost(const Worker& aWorker, const Task& aTask, const StepSpec& aSpec)
  -> double
{
  const auto capacity =
    static_cast<double>(aWorker.mRecord.mCapacity.mCpuMillis);
  const auto used = static_cast<double>(aWorker.mUsed.mCpuMillis);
  const auto filling = static_cast<double>(aWorker.mFillingCpuMillis);
  auto out = 0.0;
  if (aSpec.mIsFilling) {
    out = used * kServingUse + filling - capacity;
    out += aWorker.mFillPace < 100 ? kHarmPenalty : 0;
  } else {
    out = used - capacity;
    out += aSpec.mTargetTailMs > 0 ? filling : 0;
  }
  if (aTask.mAvoid == aWorker.mRecord.mId) {
    out += kAvoidPenalty;
  }
  if (!aSpec.mDataRack.empty() && !HasLabel(aWorker, aSpec.mDataRack)) {
    out += kRemotePenalty;
  }
  return out;
}

auto FindWorker(CellState& aCell,
                const Task& aTask,
                const StepSpec& aSpec,
                MonotonicTime aNow) -> Worker*
{
  const auto& service = aTask.mJob->mStored.mQueue.mService;
  Worker* best = nullptr;
  auto bestCost = std::numeric_limits<double>::max();
  for (auto& [id, worker] : aCell.mWorkers) {
    if (worker->mRecord.mService != service || !HasRoom(*worker, aSpec) ||
        !HasLabel(*worker, aSpec.mRequiredLabel) ||
        !IsUsable(aCell, *worker, aNow)) {
      continue;
    }
    const auto isFull = aSpec.mMaxPerWorker > 0 &&
                        CountOfStep(*worker, aTask) >= aSpec.mMaxPerWorker;
    if (isFull) {
      continue;
    }
    const auto cost = Cost(*worker, aTask, aSpec);
    if (cost < bestCost) {
      bestCost = cost;
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
  InsertRun(aWorker, order.mTask, MakeRun(aTask, aAttempt, aNow));
  return order;
}

auto MayStart(const Task& aTask, MonotonicTime aNow) -> bool
{
  return aTask.mPhase == TaskPhase::Ready && !aTask.mMayRunUnseen &&
         aTask.mNotBefore <= aNow && !IsFinal(aTask.mJob->mState);
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
    auto* worker = FindWorker(aCell, it, spec, aNow);
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

/** Short work goes before lasting work of the same priority. */
auto IsBefore(const Task* aLeft, const Task* aRight) -> bool
{
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
  if (aLeft->mJob->mAddedAt != aRight->mJob->mAddedAt) {
    return aLeft->mJob->mAddedAt < aRight->mJob->mAddedAt;
  }
  return aLeft < aRight;
}

} // namespace

auto IsUsable(const CellState& aCell, const Worker& aWorker, MonotonicTime aNow)
  -> bool
{
  return aWorker.mIsKnown && aWorker.mIsListed &&
         aWorker.mRecord.mState == WorkerState::Ready &&
         aNow >= aWorker.mSuspectUntil && aNow >= aWorker.mProbationUntil &&
         aNow - aWorker.mLastContact < aCell.mPolicy.mSilenceLimit;
}

auto PlaceReady(CellState& aCell,
                MonotonicTime aNow,
                std::vector<Order>& aOrders) -> void
{
  if (aCell.mReady.empty()) {
    return;
  }
  auto& ready = aCell.mReady;
  std::sort(ready.begin(), ready.end(), IsBefore);
  for (auto* it : ready) {
    if (!MayStart(*it, aNow)) {
      continue;
    }
    const auto& spec = SpecOf(*it);
    if (spec.mIsGang) {
      PlaceGang(aCell, *it, aNow, aOrders);
      continue;
    }
    if (auto* worker = FindWorker(aCell, *it, spec, aNow)) {
      aOrders.push_back(Place(aCell, *it, *worker, NextAttempt(aCell), aNow));
    }
  }
  std::erase_if(
    ready, [](const Task* aTask) { return aTask->mPhase != TaskPhase::Ready; });
}

auto FreeRoom(const CellState& aCell, MonotonicTime aNow) -> Resources
{
  Resources out;
  for (const auto& [id, it] : aCell.mWorkers) {
    if (IsUsable(aCell, *it, aNow)) {
      out.mCpuMillis += it->mRecord.mCapacity.mCpuMillis - it->mUsed.mCpuMillis;
      out.mMemoryMb += it->mRecord.mCapacity.mMemoryMb - it->mUsed.mMemoryMb;
      out.mAccelerators +=
        it->mRecord.mCapacity.mAccelerators - it->mUsed.mAccelerators;
    }
  }
  for (const auto* it : aCell.mReady) {
    const auto& spec = SpecOf(*it);
    out.mCpuMillis -= spec.mIsFilling ? 0 : spec.mNeed.mCpuMillis;
    out.mMemoryMb -= spec.mNeed.mMemoryMb;
  }
  return out;
}

} // namespace eelgrasspost::cell
