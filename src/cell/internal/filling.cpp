#include <algorithm>

#include "cellsteps.h"

namespace eelgrasspost::cell {

namespace {

/** Tail latency, as a share of its target, above which filling tasks are
 * slowed, and below which they are sped up again. */
constexpr double kSlowAbove = 0.9;
constexpr double kFreeBelow = 0.6;
/** Factor and step of a change of the processor share, in percent. */
constexpr double kSlowFactor = 0.4;
constexpr int kFreeStep = 25;
/** Shares below this are rounded to a standstill. */
constexpr int kLowestPace = 10;
/** Reports lag by half a second: one change is seen before the next. */
constexpr auto kChangePause = Milliseconds(600);
/** Filling tasks that stood still for so long move to another worker. */
constexpr auto kMoveAfter = Milliseconds(2500);

/** Highest tail latency on a worker, as a share of its target. */
auto WorstTail(const Worker& aWorker) -> double
{
  auto out = 0.0;
  for (const auto& [name, run] : aWorker.mRuns) {
    if (run.mTargetTailMs > 0 && run.mPhase == RunPhase::Running) {
      out = std::max(out, run.mLoad / static_cast<double>(run.mTargetTailMs));
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

} // namespace

auto BalanceFilling(CellState& /*aCell*/, Worker& aWorker, MonotonicTime aNow)
  -> void
{
  if (aWorker.mFillingCpuMillis == 0) {
    aWorker.mFillPace = 100;
    return;
  }
  const auto tail = WorstTail(aWorker);
  if (aNow - aWorker.mFillPaceChangedAt >= kChangePause) {
    const auto pace = NextPace(aWorker.mFillPace, tail);
    if (pace != aWorker.mFillPace) {
      aWorker.mFillPace = pace;
      aWorker.mFillPaceChangedAt = aNow;
    }
  }
  const auto isStanding =
    aWorker.mFillPace == 0 && aNow - aWorker.mFillPaceChangedAt > kMoveAfter;
  for (auto& [name, run] : aWorker.mRuns) {
    if (!run.mIsFilling || run.mPhase != RunPhase::Running) {
      continue;
    }
    run.mWantedPace = aWorker.mFillPace;
    if (isStanding && run.mTask) {
      run.mTask->mAvoid = aWorker.mRecord.mId;
      AskStop(run);
    }
  }
}

} // namespace eelgrasspost::cell
