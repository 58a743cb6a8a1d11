#include "eelgrasspost/cell/lookahead.h"

#include <algorithm>
#include <vector>

#include "cellinternal.h"
#include "joblength.h"
#include "workerchoice.h"

namespace eelgrasspost::cell {

namespace {

/** Part of a worker's CPU from which on a task counts as large. A smaller one
 * finds room at the end of almost any other task. */
constexpr double kLargeShare = 0.15;
/** Weight of a run in the ratio of actual to estimated run times of its queue,
 * and the range of the ratio. */
constexpr double kRatioWeight = 0.05;
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10.0;
/** Progress from which on it tells the end better than the estimate. */
constexpr double kMinPercent = 10.0;
constexpr double kAllPercent = 100.0;
/** Tolerance for a task that ends a little later than expected. */
constexpr auto kBackfillTolerance = Milliseconds(50);

auto ToMs(MonotonicTime::duration aTime) -> double
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

auto FromMs(double aMs) -> Milliseconds
{
  return Milliseconds(static_cast<std::int64_t>(aMs));
}

auto RatioOf(const CellState& aCell, const std::string& aQueue) -> double
{
  const auto it = aCell.mRunTimeRatios.find(aQueue);
  return it == aCell.mRunTimeRatios.end() ? 1.0 : it->second;
}

auto Add(Resources& aSum, const Resources& aValue) -> void
{
  aSum.mCpuMillis += aValue.mCpuMillis;
  aSum.mMemoryMb += aValue.mMemoryMb;
  aSum.mAccelerators += aValue.mAccelerators;
}

/** What a run leaves to others when it ends. */
auto ReleasedBy(const Run& aRun) -> Resources
{
  auto out = aRun.mNeed;
  out.mCpuMillis = aRun.mIsBestEffort ? 0 : out.mCpuMillis;
  return out;
}

auto FreeOn(const CellState& aCell, const Worker& aWorker, MonotonicTime aNow)
  -> Resources
{
  const auto& capacity = UsableCapacity(aCell, aWorker);
  const auto reserved = ReservedForOthers(aWorker, {}, aNow);
  return { capacity.mCpuMillis - aWorker.mUsed.mCpuMillis - reserved.mCpuMillis,
           capacity.mMemoryMb - aWorker.mUsed.mMemoryMb - reserved.mMemoryMb,
           capacity.mAccelerators - aWorker.mUsed.mAccelerators -
             reserved.mAccelerators };
}

/** Free resources of a worker at a time, if nothing else starts there. */
auto FreeAt(const CellState& aCell,
            const Worker& aWorker,
            MonotonicTime aAt,
            MonotonicTime aNow) -> Resources
{
  auto out = FreeOn(aCell, aWorker, aNow);
  for (const auto& [name, run] : aWorker.mRuns) {
    const auto end = ExpectedEnd(aCell, run, aNow);
    if (end && *end <= aAt) {
      Add(out, ReleasedBy(run));
    }
  }
  return out;
}

/** When a worker that lacks the resources has them, if nothing else starts
 * there. */
auto CompleteAt(const CellState& aCell,
                const Worker& aWorker,
                const Resources& aNeed,
                MonotonicTime aNow) -> std::optional<MonotonicTime>
{
  auto free = FreeOn(aCell, aWorker, aNow);
  if (Contains(free, aNeed)) {
    // A task that finds none here is held back by something else.
    return std::nullopt;
  }
  std::vector<std::pair<MonotonicTime, const Run*>> ends;
  for (const auto& [name, run] : aWorker.mRuns) {
    if (const auto end = ExpectedEnd(aCell, run, aNow)) {
      ends.emplace_back(*end, &run);
    }
  }
  std::sort(ends.begin(), ends.end());
  for (const auto& [end, run] : ends) {
    Add(free, ReleasedBy(*run));
    if (Contains(free, aNeed)) {
      return end;
    }
  }
  return std::nullopt;
}

/** When the result of a job stops to be of use. */
auto UsefulUntil(const Job& aJob) -> MonotonicTime
{
  return aJob.mAddedAt +
         FromMs(kWorthlessFactor *
                ObjectiveMs(aJob.mStored.mSpec, aJob.mStored.mQueue));
}

} // namespace

auto LearnRunTime(CellState& aCell,
                  const Task& aTask,
                  const Run& aRun,
                  MonotonicTime aNow) -> void
{
  const auto estimate = static_cast<double>(SpecOf(aTask).mEstimatedMs);
  // A run that a previous holder has started began at an unknown time; one that
  // was slowed down says nothing about the estimate.
  const auto isMeasured = estimate > 0 && !aRun.mIsBestEffort &&
                          !aRun.mIsLongRunning &&
                          aRun.mStartedAt != MonotonicTime{};
  if (!isMeasured) {
    return;
  }
  const auto seen =
    std::clamp(ToMs(aNow - aRun.mStartedAt) / estimate, kMinRatio, kMaxRatio);
  auto& ratio =
    aCell.mRunTimeRatios.emplace(aTask.mJob->mStored.mQueue.mName, 1.0)
      .first->second;
  ratio += kRatioWeight * (seen - ratio);
}

auto ExpectedRunTime(const CellState& aCell, const Task& aTask) -> Milliseconds
{
  return FromMs(static_cast<double>(SpecOf(aTask).mEstimatedMs) *
                RatioOf(aCell, aTask.mJob->mStored.mQueue.mName));
}

auto ExpectedEnd(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> std::optional<MonotonicTime>
{
  if (aRun.mPhase == RunPhase::Stopping) {
    return aNow;
  }
  if (aRun.mIsLongRunning || !aRun.mTask || aRun.mCpuShare == 0 ||
      aRun.mStartedAt == MonotonicTime{}) {
    return std::nullopt;
  }
  const auto elapsed = ToMs(aNow - aRun.mStartedAt);
  if (aRun.mPercent >= kMinPercent) {
    const auto reportedAfter = ToMs(aRun.mPercentMovedAt - aRun.mStartedAt);
    const auto total = reportedAfter * kAllPercent / aRun.mPercent;
    return aRun.mStartedAt + FromMs(std::max(total, elapsed));
  }
  const auto estimate = ToMs(ExpectedRunTime(aCell, *aRun.mTask));
  // One that has exceeded its estimate is expected to last as long again as it
  // has exceeded it.
  const auto total = elapsed < estimate ? estimate : 2 * elapsed - estimate;
  return aRun.mStartedAt + FromMs(total);
}

auto MayGather(const CellState& aCell, const Task& aTask) -> bool
{
  const auto& spec = SpecOf(aTask);
  if (!aCell.mPolicy.mLooksAhead || spec.mIsLongRunning || spec.mIsGang ||
      spec.mIsBestEffort) {
    return false;
  }
  return std::any_of(
    aCell.mWorkers.begin(), aCell.mWorkers.end(), [&](const auto& aItem) {
      const auto& capacity = aItem.second->mRecord.mCapacity;
      return Contains(capacity, spec.mNeed) &&
             static_cast<double>(spec.mNeed.mCpuMillis) >=
               kLargeShare * static_cast<double>(capacity.mCpuMillis);
    });
}

auto Gather(CellState& aCell, const Task& aTask, MonotonicTime aNow) -> Worker*
{
  const auto& spec = SpecOf(aTask);
  const auto& service = aTask.mJob->mStored.mQueue.mService;
  const auto latest = UsefulUntil(*aTask.mJob) - ExpectedRunTime(aCell, aTask);
  Worker* best = nullptr;
  auto bestAt = MonotonicTime::max();
  for (auto& [id, it] : aCell.mWorkers) {
    if (it->mGathering || it->mRunsOfUnknownNeed > 0 ||
        !IsUsable(aCell, *it, aNow) ||
        !IsOfKind(*it, service, spec.mRequiredLabel) ||
        !MayJoinWorker(aCell, *it, aTask, aNow)) {
      continue;
    }
    const auto at = CompleteAt(aCell, *it, spec.mNeed, aNow);
    if (at && *at < bestAt && *at <= latest) {
      best = it.get();
      bestAt = *at;
    }
  }
  if (best) {
    best->mGathering = Gathering{ TaskName(aTask), spec.mNeed, bestAt };
  }
  return best;
}

auto MayBackfill(const CellState& aCell,
                 const Worker& aWorker,
                 const Task& aTask,
                 MonotonicTime aNow) -> bool
{
  const auto& gathering = aWorker.mGathering;
  const auto& spec = SpecOf(aTask);
  if (!gathering || spec.mIsLongRunning) {
    return true;
  }
  const auto end = aNow + ExpectedRunTime(aCell, aTask);
  if (!spec.mIsBestEffort &&
      end <= gathering->mCompleteAt + kBackfillTolerance) {
    return true;
  }
  auto need = gathering->mNeed;
  auto own = spec.mNeed;
  own.mCpuMillis = spec.mIsBestEffort ? 0 : own.mCpuMillis;
  Add(need, own);
  return Contains(FreeAt(aCell, aWorker, gathering->mCompleteAt, aNow), need);
}

auto ClearGatherings(CellState& aCell) -> void
{
  for (auto& [id, it] : aCell.mWorkers) {
    it->mGathering.reset();
  }
}

} // namespace eelgrasspost::cell
