#include "eelgrasspost/cell/load.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "besteffort.h"
#include "cellinternal.h"
#include "joblength.h"

namespace eelgrasspost::cell {

namespace {

using admission::RoomKind;

constexpr double kMillisPerCore = 1000;

auto KindOf(const StepSpec& aStep) -> RoomKind
{
  return aStep.mIsBestEffort ? RoomKind::Leftover : RoomKind::Reserved;
}

/** CPU milliseconds of one task, by its estimate. */
auto CpuMsOf(const StepSpec& aStep) -> double
{
  return static_cast<double>(aStep.mNeed.mCpuMillis) / kMillisPerCore *
         static_cast<double>(aStep.mEstimatedMs);
}

auto CpuMsOf(const JobSpec& aJob) -> double
{
  auto out = 0.0;
  for (const auto& it : aJob.mSteps) {
    out += static_cast<double>(it.mCount) * CpuMsOf(it);
  }
  return out;
}

/** Whether a task waits for room that any worker may have. */
auto WaitsForRoom(const Task& aTask) -> bool
{
  return aTask.mPhase == TaskPhase::Ready && !aTask.mMayBeRunning &&
         !RestrictsWorkers(SpecOf(aTask));
}

/** Whether a worker can be used, or may be as soon as more is known of it. */
auto MayBeUsable(const CellState& aCell,
                 const Worker& aWorker,
                 MonotonicTime aNow) -> bool
{
  return MayServe(aCell, aWorker) &&
         (!aWorker.mIsKnown ||
          aNow - aWorker.mLastContact < aCell.mPolicy.mSilenceLimit);
}

auto HasOneService(const CellState& aCell) -> bool
{
  const auto& workers = aCell.mWorkers;
  return std::all_of(workers.begin(), workers.end(), [&](const auto& aItem) {
    return aItem.second->mRecord.mService ==
           workers.begin()->second->mRecord.mService;
  });
}

using BacklogKey = std::tuple<RoomKind, std::int64_t, std::uint32_t>;

auto AddBacklog(const Job& aJob,
                bool aIsLate,
                std::map<BacklogKey, admission::Backlog>& aBacklogs) -> void
{
  const auto& spec = aJob.mStored.mSpec;
  const auto priority = aJob.mStored.mQueue.mPriority;
  const auto sizeClass = admission::SizeClassOf(CpuMsOf(spec));
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t i = 0; i < spec.mSteps.size(); ++i) {
      const auto& step = spec.mSteps[i];
      const auto kind = KindOf(step);
      auto& backlog = aBacklogs[{ kind, priority, sizeClass }];
      backlog.mKind = kind;
      backlog.mPriority = priority;
      backlog.mSizeClass = sizeClass;
      for (const auto& it : occurrence->mSteps[i].mTasks) {
        if (WaitsForRoom(it)) {
          (aIsLate ? backlog.mLateCpuMs : backlog.mWaitingCpuMs) +=
            CpuMsOf(step);
        }
      }
    }
  }
}

/** Whether tasks of a kind wait for room. */
auto IsSaturated(const CellState& aCell, RoomKind aKind, MonotonicTime aNow)
  -> bool
{
  constexpr auto kWaitForRoom = Milliseconds(200);
  return std::any_of(
    aCell.mReady.begin(), aCell.mReady.end(), [&](const Task* aTask) {
      const auto& step = SpecOf(*aTask);
      return !step.mIsLongRunning && KindOf(step) == aKind &&
             WaitsForRoom(*aTask) && aNow - aTask->mReadyAt > kWaitForRoom;
    });
}

/** Mean estimated run time of the short tasks of a kind that run, by the CPU
 * that they use. */
auto MeanRunTime(const CellState& aCell, RoomKind aKind) -> Milliseconds
{
  auto cpuMs = 0.0;
  auto cores = 0.0;
  for (const auto& [id, worker] : aCell.mWorkers) {
    for (const auto& [name, run] : worker->mRuns) {
      if (!run.mTask || run.mIsLongRunning ||
          KindOf(SpecOf(*run.mTask)) != aKind) {
        continue;
      }
      const auto& step = SpecOf(*run.mTask);
      cpuMs += CpuMsOf(step);
      cores += static_cast<double>(step.mNeed.mCpuMillis) / kMillisPerCore;
    }
  }
  return Milliseconds(
    static_cast<std::int64_t>(cores > 0 ? cpuMs / cores : 0.0));
}

auto UpdateRate(const CellState& aCell,
                RoomKind aKind,
                admission::RateMeter& aMeter,
                MonotonicTime aNow) -> void
{
  admission::UpdateRate(
    aMeter, IsSaturated(aCell, aKind, aNow), MeanRunTime(aCell, aKind), aNow);
}

} // namespace

auto DemandOf(const JobSpec& aJob, const Queue& aQueue) -> admission::JobDemand
{
  const auto milliseconds = [](double aMs) {
    return Milliseconds(static_cast<std::int64_t>(aMs));
  };
  const auto objective = ObjectiveMs(aJob, aQueue);
  admission::JobDemand out;
  out.mKind =
    aJob.mSteps.empty() ? RoomKind::Reserved : KindOf(aJob.mSteps.front());
  out.mPriority = aQueue.mPriority;
  out.mCpuMs = CpuMsOf(aJob);
  out.mChain = milliseconds(CriticalPathMs(aJob));
  out.mObjective = milliseconds(objective);
  out.mLatestUse = milliseconds(kWorthlessFactor * objective);
  return out;
}

auto IsSubjectToAdmission(const JobSpec& aJob) -> bool
{
  return aJob.mRepeatCount == 0 &&
         std::none_of(
           aJob.mSteps.begin(), aJob.mSteps.end(), [](const StepSpec& aStep) {
             return aStep.mIsLongRunning || aStep.mIsGang;
           });
}

auto MeasureLoad(const CellState& aCell, MonotonicTime aNow)
  -> admission::CellLoad
{
  admission::CellLoad out;
  if (!HasOneService(aCell)) {
    return out;
  }
  for (const auto& [id, it] : aCell.mWorkers) {
    if (!MayBeUsable(aCell, *it, aNow)) {
      continue;
    }
    auto lasting = std::int64_t{ 0 };
    for (const auto& [name, run] : it->mRuns) {
      lasting += run.mIsLongRunning ? run.mNeed.mCpuMillis : 0;
    }
    const auto reservable =
      std::max<std::int64_t>(0, it->mRecord.mCapacity.mCpuMillis - lasting);
    out.mReserved.mCores += static_cast<double>(reservable) / kMillisPerCore;
    out.mLeftover.mCores += std::max(0.0, LeftoverCpu(*it)) / kMillisPerCore;
  }
  out.mReserved.mSaturatedRate = aCell.mReservedRate.mRate;
  out.mLeftover.mSaturatedRate = aCell.mLeftoverRate.mRate;
  std::map<BacklogKey, admission::Backlog> backlogs;
  for (const auto& [id, it] : aCell.mJobs) {
    if (IsFinal(it->mState) || it->mIsMigrating ||
        !IsSubjectToAdmission(it->mStored.mSpec)) {
      continue;
    }
    const auto lateness = RankJob(*it, aNow).mLateness;
    if (lateness != Lateness::Worthless) {
      AddBacklog(*it, lateness == Lateness::Late, backlogs);
    }
  }
  for (const auto& [key, it] : backlogs) {
    if (it.mWaitingCpuMs + it.mLateCpuMs > 0) {
      out.mBacklogs.push_back(it);
    }
  }
  return out;
}

auto UpdateRates(CellState& aCell, MonotonicTime aNow) -> void
{
  UpdateRate(aCell, RoomKind::Reserved, aCell.mReservedRate, aNow);
  UpdateRate(aCell, RoomKind::Leftover, aCell.mLeftoverRate, aNow);
}

auto NoteDone(CellState& aCell, const StepSpec& aStep) -> void
{
  if (!aStep.mIsLongRunning) {
    admission::AddDone(KindOf(aStep) == RoomKind::Reserved
                         ? aCell.mReservedRate
                         : aCell.mLeftoverRate,
                       CpuMsOf(aStep));
  }
}

} // namespace eelgrasspost::cell
