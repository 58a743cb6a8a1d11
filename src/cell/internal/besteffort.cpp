#include "besteffort.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "cellinternal.h"
#include "eelgrasspost/base/text.h"
#include "runmoves.h"

namespace eelgrasspost::cell {

namespace {

/** Share of its reserved CPU that a serving task is expected to use. */
constexpr double kServingUseShare = 0.5;
/** Tail latency, as a share of its target, above which best-effort tasks are
 * throttled at once, and below which their CPU share rises again. A tail
 * between the target and kThrottleAbove is often over it for one report only;
 * CellPolicy::mMaxOverTarget limits how long it may stay there. */
constexpr double kThrottleAbove = 1.1;
constexpr double kUnthrottleBelow = 0.9;
/** Bounds of the factor by which the CPU share falls, and percentage points by
 * which it rises. */
constexpr double kMinThrottleFactor = 0.2;
constexpr double kMaxThrottleFactor = 0.5;
constexpr int kUnthrottleStepPercent = 40;
/** Lower shares are rounded down to 0. */
constexpr int kMinCpuSharePercent = 10;
/** Reports lag by half a second; the effect of a change must be visible before
 * the next change. */
constexpr auto kCpuShareChangeInterval = Milliseconds(600);
/** On a worker that has been throttled for kMoveAfter, tasks with a lower CPU
 * share move to another worker. A move discards the work since the last
 * checkpoint, and most throttling ends sooner. */
constexpr int kMoveBelowPercent = 40;
constexpr auto kMoveAfter = Milliseconds(2000);
/** Maximum expected tail with best-effort tasks, as a share of its target. */
constexpr double kMaxTail = 0.85;
/** An image that raises the logarithm of a tail by no more than this is not
 * throttled for it. */
constexpr double kMinThrottledLogRise = 0.2;
/** Lower shares are rounded down to 0. Changes smaller than kMinCpuShareChange
 * are not worth an order to the worker. */
constexpr double kMinCpuShare = 0.15;
constexpr double kMinCpuShareChange = 0.2;
/** A best-effort image is throttled when it causes this share of the rise of
 * the logarithm of a tail, or a rise of this size. When all images together
 * cause less, each of them is throttled. */
constexpr double kMinPressureShare = 0.3;

auto CapacityOf(const Worker& aWorker) -> double
{
  return static_cast<double>(
    std::max<std::int64_t>(1, aWorker.mRecord.mCapacity.mCpuMillis));
}

auto AddUse(std::vector<ImageUse>& aUses, std::size_t aImage, double aUse)
  -> void
{
  const auto it =
    std::find_if(aUses.begin(), aUses.end(), [&](const ImageUse& aItem) {
      return aItem.mImage == aImage;
    });
  if (it == aUses.end()) {
    aUses.push_back({ aImage, aUse });
  } else {
    it->mUse += aUse;
  }
}

auto IsServing(const Run& aRun) -> bool
{
  return aRun.mTargetTailMs > 0 && aRun.mPhase == RunPhase::Running &&
         aRun.mPercent >= 100;
}

auto TailOf(const Run& aRun) -> double
{
  return aRun.mLoad / static_cast<double>(aRun.mTargetTailMs);
}

/** The serving run with the highest tail, as a share of its target. */
auto WorstServing(const Worker& aWorker) -> const Run*
{
  const Run* out = nullptr;
  for (const auto& [name, run] : aWorker.mRuns) {
    if (IsServing(run) && (!out || TailOf(run) > TailOf(*out))) {
      out = &run;
    }
  }
  return out;
}

/** Updates since when a serving tail of the worker has been over its target
 * without a pause, and returns whether that is longer than the policy allows.
 */
auto IsOverTargetTooLong(const CellState& aCell,
                         Worker& aWorker,
                         double aTail,
                         MonotonicTime aNow) -> bool
{
  if (aTail <= 1.0) {
    aWorker.mOverTargetSince.reset();
    return false;
  }
  const auto since = aWorker.mOverTargetSince.value_or(aNow);
  aWorker.mOverTargetSince = since;
  return aNow - since >= aCell.mPolicy.mMaxOverTarget;
}

auto NextCpuShare(int aCpuShare, double aTail) -> int
{
  if (aTail > kThrottleAbove) {
    const auto factor =
      std::clamp(1.0 / aTail, kMinThrottleFactor, kMaxThrottleFactor);
    const auto slower = static_cast<int>(aCpuShare * factor);
    return slower < kMinCpuSharePercent ? 0 : slower;
  }
  if (aTail < kUnthrottleBelow) {
    return std::min(100, aCpuShare + kUnthrottleStepPercent);
  }
  return aCpuShare;
}

/** Whether a best-effort image is among the causes of a serving image's tail.
 */
auto ContributesToTail(const CellState& aCell,
                       std::size_t aServing,
                       std::size_t aBestEffort,
                       const std::vector<ImageUse>& aUses) -> bool
{
  const auto& table = aCell.mInterference;
  const auto all = PressureOn(table, aServing, aUses);
  auto own = 0.0;
  for (const auto& it : aUses) {
    if (it.mImage == aBestEffort) {
      own = table.mPairs[it.mImage][aServing].mUpperBound * it.mUse;
    }
  }
  return all < kMinPressureShare || own > kMinPressureShare ||
         own > kMinPressureShare * all;
}

} // namespace

auto LeftoverCpu(const Worker& aWorker) -> double
{
  const auto serving = static_cast<double>(aWorker.mServingCpuMillis);
  const auto reserved = static_cast<double>(aWorker.mUsed.mCpuMillis);
  return CapacityOf(aWorker) - (reserved - serving) -
         serving * kServingUseShare;
}

namespace {

/** Rise of the logarithm of a serving image's tail that best-effort tasks may
 * cause on a worker. */
auto LogTailHeadroom(const CellState& aCell,
                     const Worker& aWorker,
                     std::size_t aImage) -> double
{
  return std::log(kMaxTail / aCell.mInterference.mBaselineTails[aImage]) -
         aWorker.mTailOffset.mLogOffset;
}

/** Lowers the CPU shares of the images that raise the tail of a serving image
 * until it is expected to keep its target. */
auto LowerCpuSharesFor(const CellState& aCell,
                       const Worker& aWorker,
                       std::size_t aServing,
                       std::vector<ImageUse>& aUses) -> void
{
  const auto& pairs = aCell.mInterference.mPairs;
  auto throttleable = 0.0;
  auto others = 0.0;
  const auto rise = [&](const ImageUse& aUse) {
    return pairs[aUse.mImage][aServing].mPressure * aUse.mUse;
  };
  for (const auto& it : aUses) {
    (rise(it) > kMinThrottledLogRise ? throttleable : others) += rise(it);
  }
  const auto headroom = LogTailHeadroom(aCell, aWorker, aServing);
  if (throttleable + others <= headroom || throttleable <= 0) {
    return;
  }
  const auto cpuShare =
    std::clamp((headroom - others) / throttleable, 0.0, 1.0);
  for (auto& it : aUses) {
    if (rise(it) > kMinThrottledLogRise) {
      it.mCpuShare = std::min(it.mCpuShare, cpuShare);
    }
  }
}

} // namespace

auto AllowedCpuShare(const CellState& aCell,
                     const Worker& aWorker,
                     const ImageUse& aAdded) -> double
{
  const auto& table = aCell.mInterference;
  auto out = 1.0;
  for (const auto& [image, count] : aWorker.mServingImages) {
    const auto own =
      table.mPairs[aAdded.mImage][image].mUpperBound * aAdded.mUse;
    const auto headroom = LogTailHeadroom(aCell, aWorker, image) -
                          PressureOn(table, image, aWorker.mBestEffortUses);
    if (own > headroom) {
      out = std::min(out, std::max(0.0, headroom) / own);
    }
  }
  return out;
}

auto SetEstimatedCpuShares(const CellState& aCell, Worker& aWorker) -> void
{
  auto uses = aWorker.mBestEffortUses;
  for (auto& it : uses) {
    it.mCpuShare = 1.0;
  }
  for (const auto& [image, count] : aWorker.mServingImages) {
    LowerCpuSharesFor(aCell, aWorker, image, uses);
  }
  for (std::size_t i = 0; i < uses.size(); ++i) {
    auto& cpuShare = aWorker.mBestEffortUses[i].mCpuShare;
    const auto wanted =
      uses[i].mCpuShare < kMinCpuShare ? 0.0 : uses[i].mCpuShare;
    const auto isSignificant =
      std::abs(wanted - cpuShare) >= kMinCpuShareChange ||
      (wanted == 1.0) != (cpuShare == 1.0);
    cpuShare = isSignificant ? wanted : cpuShare;
  }
}

auto EstimatedCpuShare(const Worker& aWorker, std::size_t aImage) -> int
{
  const auto& uses = aWorker.mBestEffortUses;
  const auto it =
    std::find_if(uses.begin(), uses.end(), [&](const ImageUse& aItem) {
      return aItem.mImage == aImage;
    });
  constexpr double kPercent = 100;
  return it == uses.end() ? 100 : static_cast<int>(it->mCpuShare * kPercent);
}

auto LearnFromReport(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
  -> void
{
  const auto since =
    std::chrono::duration<double>(aNow - aWorker.mTailOffsetAt);
  aWorker.mTailOffsetAt = aNow;
  Decay(aWorker.mTailOffset, since.count());
  if (aWorker.mServingCpuMillis == 0) {
    return;
  }
  std::vector<ImageUse> uses;
  for (const auto& [name, run] : aWorker.mRuns) {
    if (run.mIsBestEffort && run.mLoad > 0) {
      AddUse(uses, run.mImageIndex, run.mLoad / CapacityOf(aWorker));
    }
  }
  // Runs of one image on one worker have the same tail, so they count once.
  std::map<std::size_t, double> tails;
  for (const auto& [name, run] : aWorker.mRuns) {
    if (IsServing(run)) {
      auto& tail = tails[run.mImageIndex];
      tail = std::max(tail, TailOf(run));
    }
  }
  for (const auto& [image, tail] : tails) {
    LearnTail(aCell.mInterference, aWorker.mTailOffset, image, tail, uses);
  }
}

auto AdjustCpuShares(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
  -> void
{
  const auto* worst = WorstServing(aWorker);
  if (aWorker.mBestEffortCpuMillis == 0 || !worst) {
    aWorker.mBestEffortCpuShare = 100;
    aWorker.mThrottledSince = aNow;
  }
  if (aWorker.mBestEffortCpuMillis == 0) {
    aWorker.mOverTargetSince.reset();
    return;
  }
  const auto tail = worst ? TailOf(*worst) : 0.0;
  const auto mustPause = IsOverTargetTooLong(aCell, aWorker, tail, aNow);
  if (mustPause ||
      aNow - aWorker.mBestEffortCpuShareChangedAt >= kCpuShareChangeInterval) {
    const auto cpuShare =
      mustPause ? 0 : NextCpuShare(aWorker.mBestEffortCpuShare, tail);
    if (cpuShare != aWorker.mBestEffortCpuShare) {
      aWorker.mBestEffortCpuShare = cpuShare;
      aWorker.mBestEffortCpuShareChangedAt = aNow;
      AddEvent(aCell,
               { CellEventKind::CpuShareChanged,
                 base::Cat(cpuShare, "%"),
                 aWorker.mRecord.mId,
                 0,
                 "share_of_target",
                 tail });
    }
    if (worst && (mustPause || tail > kThrottleAbove)) {
      aWorker.mOverTargetImage = worst->mImageIndex;
    }
  }
  const auto isUnthrottled =
    std::all_of(aWorker.mBestEffortUses.begin(),
                aWorker.mBestEffortUses.end(),
                [](const ImageUse& aUse) { return aUse.mCpuShare >= 1.0; });
  if (aWorker.mBestEffortCpuShare == 100 && isUnthrottled) {
    aWorker.mThrottledSince = aNow;
  }
  SetEstimatedCpuShares(aCell, aWorker);
  const auto isThrottledLong = aNow - aWorker.mThrottledSince > kMoveAfter;
  const auto& uses = aWorker.mBestEffortUses;
  for (auto& [name, run] : aWorker.mRuns) {
    if (!run.mIsBestEffort || run.mPhase != RunPhase::Running || !run.mTask) {
      continue;
    }
    // The estimates may blame the wrong image, so a tail that stays over its
    // target pauses all of them.
    const auto isThrottled =
      mustPause || (aWorker.mBestEffortCpuShare < 100 &&
                    ContributesToTail(
                      aCell, aWorker.mOverTargetImage, run.mImageIndex, uses));
    const auto estimated = EstimatedCpuShare(aWorker, run.mImageIndex);
    run.mWantedCpuShare = isThrottled
                            ? std::min(estimated, aWorker.mBestEffortCpuShare)
                            : estimated;
    const auto isAlmostStopped = run.mWantedCpuShare < kMoveBelowPercent;
    if (isAlmostStopped && isThrottledLong && IsMoveWorthIt(aCell, run, aNow) &&
        HasBetterWorker(aCell, aWorker, run, aNow)) {
      run.mTask->mAvoidedWorker = aWorker.mRecord.mId;
      AddEvent(aCell,
               { CellEventKind::RunStopped,
                 name,
                 aWorker.mRecord.mId,
                 run.mAttempt,
                 "serving_tasks_need_the_worker",
                 tail });
      RequestStop(run);
    }
  }
}

} // namespace eelgrasspost::cell
