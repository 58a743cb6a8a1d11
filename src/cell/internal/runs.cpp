#include <algorithm>

#include "cellinternal.h"

namespace eelgrasspost::cell {

auto SinceContact(const std::optional<MonotonicTime>& aLastContact,
                  MonotonicTime aNow) -> std::optional<Milliseconds>
{
  return aLastContact ? std::optional(std::chrono::duration_cast<Milliseconds>(
                          aNow - *aLastContact))
                      : std::nullopt;
}

auto RequestStop(Run& aRun) -> void
{
  if (aRun.mPhase != RunPhase::Stopping) {
    aRun.mPhase = RunPhase::Stopping;
    aRun.mStopAnswered = false;
    aRun.mStopInFlight = false;
    aRun.mStopSentAt = {};
  }
}

namespace {

/** The capacity of which the uses of best-effort images are shares. */
auto CpuCapacity(const Resources& aCapacity) -> double
{
  return static_cast<double>(std::max<std::int64_t>(1, aCapacity.mCpuMillis));
}

auto AddBestEffortUse(Worker& aWorker, std::size_t aImage, double aUse) -> void
{
  auto& uses = aWorker.mBestEffortUses;
  const auto it =
    std::find_if(uses.begin(), uses.end(), [&](const ImageUse& aItem) {
      return aItem.mImage == aImage;
    });
  if (it == uses.end()) {
    uses.push_back({ aImage, aUse });
    return;
  }
  it->mUse += aUse;
  // Rounding errors may leave a small remainder after the last run is
  // subtracted.
  constexpr double kNegligibleUse = 1e-6;
  if (it->mUse < kNegligibleUse) {
    uses.erase(it);
  }
}

auto UpdateServingCount(Worker& aWorker, std::size_t aImage, bool aIsAdded)
  -> void
{
  auto& images = aWorker.mServingImages;
  const auto it =
    std::find_if(images.begin(), images.end(), [&](const auto& aItem) {
      return aItem.first == aImage;
    });
  if (it == images.end()) {
    images.emplace_back(aImage, 1);
    return;
  }
  it->second = aIsAdded ? it->second + 1 : it->second - 1;
  if (it->second == 0) {
    images.erase(it);
  }
}

/** Adds a run to the totals of its worker, or subtracts it. */
auto UpdateWorkerTotals(Worker& aWorker, const Run& aRun, bool aIsAdded) -> void
{
  const std::int64_t sign = aIsAdded ? 1 : -1;
  const auto cpu = sign * aRun.mNeed.mCpuMillis;
  if (!aRun.mIsNeedKnown) {
    auto& n = aWorker.mRunsOfUnknownNeed;
    n = aIsAdded ? n + 1 : n - 1;
  }
  aWorker.mUsed.mMemoryMb += sign * aRun.mNeed.mMemoryMb;
  aWorker.mUsed.mAccelerators += sign * aRun.mNeed.mAccelerators;
  if (aRun.mIsBestEffort) {
    aWorker.mBestEffortCpuMillis += cpu;
    AddBestEffortUse(aWorker,
                     aRun.mImageIndex,
                     static_cast<double>(cpu) /
                       CpuCapacity(aWorker.mRecord.mCapacity));
  } else {
    aWorker.mUsed.mCpuMillis += cpu;
  }
  if (aRun.mTargetTailMs > 0) {
    aWorker.mServingCpuMillis += cpu;
    UpdateServingCount(aWorker, aRun.mImageIndex, aIsAdded);
  }
}

} // namespace

auto EraseRun(Worker& aWorker, const std::string& aName) -> void
{
  const auto it = aWorker.mRuns.find(aName);
  if (it != aWorker.mRuns.end()) {
    UpdateWorkerTotals(aWorker, it->second, false);
    aWorker.mRuns.erase(it);
  }
}

auto InsertRun(Worker& aWorker, const std::string& aName, Run aRun) -> Run&
{
  EraseRun(aWorker, aName);
  UpdateWorkerTotals(aWorker, aRun, true);
  return aWorker.mRuns.emplace(aName, std::move(aRun)).first->second;
}

auto RescaleBestEffortUses(Worker& aWorker, const Resources& aPrevious) -> void
{
  const auto factor =
    CpuCapacity(aPrevious) / CpuCapacity(aWorker.mRecord.mCapacity);
  for (auto& it : aWorker.mBestEffortUses) {
    it.mUse *= factor;
  }
}

auto MakeRun(CellState& aCell,
             Task& aTask,
             std::uint64_t aAttempt,
             MonotonicTime aNow) -> Run
{
  const auto& spec = SpecOf(aTask);
  Run out;
  out.mTask = &aTask;
  out.mAttempt = aAttempt;
  out.mNeed = spec.mNeed;
  out.mIsBestEffort = spec.mIsBestEffort;
  out.mIsLongRunning = spec.mIsLongRunning;
  out.mCheckpoints = spec.mCheckpoints;
  out.mTargetTailMs = spec.mTargetTailMs;
  out.mImageIndex = ImageIndex(aCell.mInterference, spec.mImage);
  out.mStartedAt = aNow;
  out.mPercentMovedAt = aNow;
  return out;
}

auto HasUntrackedRun(const CellState& aCell, const Task& aTask) -> bool
{
  const auto name = TaskName(aTask);
  return std::any_of(
    aCell.mWorkers.begin(), aCell.mWorkers.end(), [&](const auto& aItem) {
      return aItem.second->mRuns.contains(name);
    });
}

auto ExpireWorkers(CellState& aCell, MonotonicTime aNow) -> void
{
  std::vector<std::string> expired;
  for (auto& [id, it] : aCell.mWorkers) {
    const auto isPending =
      !it->mRuns.empty() || aCell.mUnreconciledWorkers.contains(id);
    const auto isIdle =
      it->mIsKnown && !isPending && it->mSeenEnds <= it->mStoredEnds;
    if (isIdle && !it->mIsListed && aNow >= it->mLateStartsUntil) {
      // Neither it nor an incarnation that has seen no token can begin a run.
      expired.push_back(id);
      continue;
    }
    if (aNow < it->mLeasesExpiredAt) {
      continue;
    }
    if (isPending) {
      DropWorkerRuns(aCell, *it, RunsLostReason::LeaseExpired, aNow);
      it->mIsKnown = false;
    }
    if (!it->mIsListed) {
      expired.push_back(id);
    }
  }
  for (const auto& it : expired) {
    aCell.mWorkers.erase(it);
  }
}

} // namespace eelgrasspost::cell
