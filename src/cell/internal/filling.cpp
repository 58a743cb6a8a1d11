#include <algorithm>

#include "cellsteps.h"
#include "eelgrasspost/base/text.h"
#include "interference.h"

namespace eelgrasspost::cell {

namespace {

/** Tail latency, as a share of its target, above which filling tasks are
 * slowed, and below which they are sped up again. */
constexpr double kSlowAbove = 0.95;
constexpr double kFreeBelow = 0.65;
/** Factor and step of a change of the processor share, in percent. */
constexpr double kSlowFactor = 0.35;
constexpr int kFreeStep = 35;
/** Shares below this are rounded to a standstill. */
constexpr int kLowestPace = 10;
/** Reports lag by half a second: one change is seen before the next. */
constexpr auto kChangePause = Milliseconds(600);
/** Heavy tasks that were slowed for so long move to another worker. */
constexpr auto kMoveAfter = Milliseconds(1300);

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

/** Light tasks are slowed only when slowing the heavy ones did not help. */
auto PaceOf(const CellState& aCell, const Run& aRun, int aWorkerPace) -> int
{
  const auto isHeavy = PressureOfImage(aCell, aRun.mImage) > kHeavyPressure;
  constexpr int kStandstill = 0;
  constexpr int kLightPace = 40;
  if (isHeavy || aWorkerPace >= 100) {
    return aWorkerPace;
  }
  return aWorkerPace == kStandstill ? kLightPace : 100;
}

} // namespace

auto BalanceFilling(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
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
      AddNote(aCell,
              { NoteKind::PaceChanged,
                base::Cat(pace, "%"),
                aWorker.mRecord.mId,
                0,
                "share_of_target",
                tail });
    }
  }
  if (aWorker.mFillPace == 100) {
    aWorker.mSlowedSince = aNow;
  }
  const auto isSlowedLong = aNow - aWorker.mSlowedSince > kMoveAfter;
  for (auto& [name, run] : aWorker.mRuns) {
    if (!run.mIsFilling || run.mPhase != RunPhase::Running || !run.mTask) {
      continue;
    }
    run.mWantedPace = PaceOf(aCell, run, aWorker.mFillPace);
    const auto isBetterMoved =
      isSlowedLong && run.mWantedPace < 100 && run.mTask &&
      HasBetterPlace(aCell, aWorker, run, aNow);
    if (isBetterMoved) {
      run.mTask->mAvoid = aWorker.mRecord.mId;
      AddNote(aCell,
              { NoteKind::RunStopped,
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
