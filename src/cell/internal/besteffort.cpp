#include "besteffort.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "cellinternal.h"
#include "eelgrasspost/base/text.h"

namespace eelgrasspost::cell {

namespace {

/** Share of its reserved processor time that a serving task uses. */
constexpr double kServingUse = 0.5;
/** Tail latency, as a share of its target, above which filling tasks are
 * slowed, and below which they are sped up again. */
constexpr double kSlowAbove = 0.95;
constexpr double kFreeBelow = 0.7;
/** Factor and step of a change of the processor share, in percent. */
constexpr double kSlowFactor = 0.2;
constexpr int kFreeStep = 40;
/** Shares below this are rounded to a standstill. */
constexpr int kLowestPace = 10;
/** Reports lag by half a second: one change is seen before the next. */
constexpr auto kChangePause = Milliseconds(600);
/** Tasks that were slowed below this, in percent, for so long move to another
 * worker. */
constexpr int kMovePace = 40;
constexpr auto kMoveAfter = Milliseconds(400);
/** Expected tail, as a share of its target, that filling tasks may cause. */
constexpr double kMostTail = 0.85;
/** A rise of the logarithm of a tail for which an image is not slowed. */
constexpr double kBlamedRise = 0.1;
/** Shares of the speed below this are rounded to a standstill; smaller changes
 * than the step are not worth an order. */
constexpr double kLeastPace = 0.15;
constexpr double kPaceStep = 0.2;
/** A filling image is slowed when it causes this share of the rise, or a rise
 * of this size. */
constexpr double kBlameShare = 0.3;

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

auto NextPace(int aPace, double aTail) -> int
{
  if (aTail > kSlowAbove) {
    const auto slower = static_cast<int>(aPace * kSlowFactor);
    return slower < kLowestPace ? 0 : slower;
  }
  if (aTail < kFreeBelow) {
    return std::min(100, aPace + kFreeStep);
  }
  return aPace;
}

/** Whether a filling image is to blame for the tail of a serving image. */
auto IsBlamed(const CellState& aCell,
              std::size_t aServing,
              std::size_t aFilling,
              const std::vector<ImageUse>& aUses) -> bool
{
  const auto& table = aCell.mInterference;
  const auto all = PressureOn(table, aServing, aUses);
  auto own = 0.0;
  for (const auto& it : aUses) {
    if (it.mImage == aFilling) {
      own = table.mPairs[it.mImage][aServing].mUpperBound * it.mUse;
    }
  }
  return all < kBlameShare || own > kBlameShare || own > kBlameShare * all;
}

} // namespace

auto LeftoverCpu(const Worker& aWorker) -> double
{
  const auto serving = static_cast<double>(aWorker.mServingCpuMillis);
  const auto reserved = static_cast<double>(aWorker.mUsed.mCpuMillis);
  return CapacityOf(aWorker) - (reserved - serving) - serving * kServingUse;
}

namespace {

/** Rise of the logarithm of a serving image's tail that filling tasks may
 * cause on a worker. */
auto RiseLeft(const CellState& aCell, const Worker& aWorker, std::size_t aImage)
  -> double
{
  return std::log(kMostTail / aCell.mInterference.mBaselineTails[aImage]) -
         aWorker.mTailOffset.mLogOffset;
}

/** Lowers the paces of the images to blame until a serving image is expected
 * to keep its target. */
auto PaceForServing(const CellState& aCell,
                    const Worker& aWorker,
                    std::size_t aServing,
                    std::vector<ImageUse>& aUses) -> void
{
  const auto& pairs = aCell.mInterference.mPairs;
  auto blamed = 0.0;
  auto others = 0.0;
  const auto rise = [&](const ImageUse& aUse) {
    return pairs[aUse.mImage][aServing].mPressure * aUse.mUse;
  };
  for (const auto& it : aUses) {
    (rise(it) > kBlamedRise ? blamed : others) += rise(it);
  }
  const auto left = RiseLeft(aCell, aWorker, aServing);
  if (blamed + others <= left || blamed <= 0) {
    return;
  }
  const auto pace = std::clamp((left - others) / blamed, 0.0, 1.0);
  for (auto& it : aUses) {
    if (rise(it) > kBlamedRise) {
      it.mCpuShare = std::min(it.mCpuShare, pace);
    }
  }
}

} // namespace

auto AllowedPace(const CellState& aCell,
                 const Worker& aWorker,
                 const ImageUse& aMore) -> double
{
  const auto& table = aCell.mInterference;
  auto out = 1.0;
  for (const auto& [image, count] : aWorker.mServingImages) {
    const auto own = table.mPairs[aMore.mImage][image].mUpperBound * aMore.mUse;
    const auto left = RiseLeft(aCell, aWorker, image) -
                      PressureOn(table, image, aWorker.mBestEffortUses);
    if (own > left) {
      out = std::min(out, std::max(0.0, left) / own);
    }
  }
  return out;
}

auto PaceByBelief(const CellState& aCell, Worker& aWorker) -> void
{
  auto uses = aWorker.mBestEffortUses;
  for (auto& it : uses) {
    it.mCpuShare = 1.0;
  }
  for (const auto& [image, count] : aWorker.mServingImages) {
    PaceForServing(aCell, aWorker, image, uses);
  }
  for (std::size_t i = 0; i < uses.size(); ++i) {
    auto& pace = aWorker.mBestEffortUses[i].mCpuShare;
    const auto wanted =
      uses[i].mCpuShare < kLeastPace ? 0.0 : uses[i].mCpuShare;
    const auto isWorthIt =
      std::abs(wanted - pace) >= kPaceStep || (wanted == 1.0) != (pace == 1.0);
    pace = isWorthIt ? wanted : pace;
  }
}

auto BelievedPace(const Worker& aWorker, std::size_t aImage) -> int
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
  // Runs of one image on one worker have the same tail: they count once.
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

auto BalanceFilling(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
  -> void
{
  const auto* worst = WorstServing(aWorker);
  if (aWorker.mBestEffortCpuMillis == 0 || !worst) {
    aWorker.mBestEffortCpuShare = 100;
    aWorker.mThrottledSince = aNow;
  }
  if (aWorker.mBestEffortCpuMillis == 0) {
    return;
  }
  const auto tail = worst ? TailOf(*worst) : 0.0;
  if (aNow - aWorker.mBestEffortCpuShareChangedAt >= kChangePause) {
    const auto pace = NextPace(aWorker.mBestEffortCpuShare, tail);
    if (pace != aWorker.mBestEffortCpuShare) {
      aWorker.mBestEffortCpuShare = pace;
      aWorker.mBestEffortCpuShareChangedAt = aNow;
      AddEvent(aCell,
               { CellEventKind::CpuShareChanged,
                 base::Cat(pace, "%"),
                 aWorker.mRecord.mId,
                 0,
                 "share_of_target",
                 tail });
    }
    if (worst && tail > kSlowAbove) {
      aWorker.mOverTargetImage = worst->mImageIndex;
    }
  }
  const auto isFree =
    std::all_of(aWorker.mBestEffortUses.begin(),
                aWorker.mBestEffortUses.end(),
                [](const ImageUse& aUse) { return aUse.mCpuShare >= 1.0; });
  if (aWorker.mBestEffortCpuShare == 100 && isFree) {
    aWorker.mThrottledSince = aNow;
  }
  PaceByBelief(aCell, aWorker);
  const auto isSlowedLong = aNow - aWorker.mThrottledSince > kMoveAfter;
  const auto& uses = aWorker.mBestEffortUses;
  for (auto& [name, run] : aWorker.mRuns) {
    if (!run.mIsBestEffort || run.mPhase != RunPhase::Running || !run.mTask) {
      continue;
    }
    const auto isSlowed =
      aWorker.mBestEffortCpuShare < 100 &&
      IsBlamed(aCell, aWorker.mOverTargetImage, run.mImageIndex, uses);
    const auto believed = BelievedPace(aWorker, run.mImageIndex);
    run.mWantedCpuShare =
      isSlowed ? std::min(believed, aWorker.mBestEffortCpuShare) : believed;
    const auto isAlmostStopped = run.mWantedCpuShare < kMovePace;
    if (isAlmostStopped && isSlowedLong &&
        HasBetterPlace(aCell, aWorker, run, aNow)) {
      run.mTask->mAvoidedWorker = aWorker.mRecord.mId;
      AddEvent(aCell,
               { CellEventKind::RunStopped,
                 name,
                 aWorker.mRecord.mId,
                 run.mAttempt,
                 "serving_tasks_need_the_worker",
                 tail });
      AskStop(run);
    }
  }
}

} // namespace eelgrasspost::cell
