#pragma once

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** What a move of a run to another worker costs and saves. */
struct MoveBalance
{
  /** Work that is discarded, the restore, and the time until the next start. */
  Milliseconds mDiscarded{ 0 };
  /** Difference between the remaining times here, at the share that the run
   * has, and on a worker where it is not throttled. */
  Milliseconds mSaved{ 0 };
};

auto BalanceMove(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> MoveBalance;

/** Whether a throttled run should be stopped to continue on another worker.
 * Always true where the policy does not weigh moves. */
auto IsMoveWorthIt(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> bool;

/** Pauses best-effort runs beside serving ones near their target on workers
 * that have not reported for too long: their tails may be over the target. */
auto PauseUnreported(CellState& aCell, MonotonicTime aNow) -> void;

} // namespace eelgrasspost::cell
