#include "runmoves.h"

#include <algorithm>

#include "besteffort.h"
#include "eelgrasspost/cell/lookahead.h"

namespace eelgrasspost::cell {

namespace {

/** A move has to save this many times what it discards, as both are estimates
 * and a run that starts anew may be throttled again. */
constexpr double kMinGain = 2.0;
/** A throttled run counts as if it had this share at least: it may speed up
 * again. */
constexpr double kMinShare = 0.1;
constexpr double kPercent = 100.0;
/** From a stop until the task runs on another worker, if there is room. */
constexpr auto kRestartTime = Milliseconds(400);
/** A tail above this share of its target may pass it before the next report. */
constexpr double kNearTarget = 0.8;

auto FromMs(double aMs) -> Milliseconds
{
  return Milliseconds(static_cast<std::int64_t>(aMs));
}

auto HasTailNearTarget(const Worker& aWorker) -> bool
{
  return std::any_of(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [](const auto& aItem) {
      const auto& run = aItem.second;
      return run.mTargetTailMs > 0 &&
             run.mLoad > kNearTarget * static_cast<double>(run.mTargetTailMs);
    });
}

} // namespace

auto BalanceMove(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> MoveBalance
{
  const auto total = static_cast<double>(
    std::max<std::int64_t>(1, ExpectedRunTime(aCell, *aRun.mTask).count()));
  const auto done = total * std::clamp(aRun.mPercent / kPercent, 0.0, 1.0);
  const auto share =
    std::max(kMinShare, static_cast<double>(aRun.mWantedCpuShare) / kPercent);
  const auto elapsed =
    std::chrono::duration<double, std::milli>(aNow - aRun.mStartedAt).count();
  const auto remaining = total - done;
  const auto interval =
    static_cast<double>(aCell.mPolicy.mCheckpointInterval.count());
  // Work since the last checkpoint, which comes after each interval of work.
  const auto unsaved =
    aRun.mCheckpoints ? std::min({ done, interval, elapsed }) : done;
  MoveBalance out;
  out.mDiscarded = FromMs(unsaved) + kRestartTime;
  out.mDiscarded +=
    aRun.mCheckpoints ? aCell.mPolicy.mRestoreTime : Milliseconds(0);
  out.mSaved = FromMs(remaining / share - remaining);
  return out;
}

auto IsMoveWorthIt(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> bool
{
  if (aCell.mPolicy.mCheckpointInterval == Milliseconds(0) || !aRun.mTask) {
    return true;
  }
  const auto balance = BalanceMove(aCell, aRun, aNow);
  return static_cast<double>(balance.mSaved.count()) >
         kMinGain * static_cast<double>(balance.mDiscarded.count());
}

auto PauseUnreported(CellState& aCell, MonotonicTime aNow) -> void
{
  const auto limit = aCell.mPolicy.mMaxUnreported;
  if (limit == Milliseconds(0)) {
    return;
  }
  for (auto& [id, worker] : aCell.mWorkers) {
    if (worker->mBestEffortCpuMillis == 0 || worker->mServingCpuMillis == 0 ||
        aNow - worker->mReportedAt < limit || !HasTailNearTarget(*worker)) {
      continue;
    }
    for (auto& [name, run] : worker->mRuns) {
      const auto mayPause = run.mIsBestEffort &&
                            run.mPhase == RunPhase::Running &&
                            run.mWantedCpuShare > 0;
      if (mayPause) {
        run.mWantedCpuShare = 0;
        ++aCell.mUnreportedPauses;
      }
    }
  }
}

} // namespace eelgrasspost::cell
