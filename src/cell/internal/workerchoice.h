#pragma once

#include "cellinternal.h"

namespace eelgrasspost::cell {

/** How much expected interference the placement of a best-effort task accepts.
 */
enum class InterferenceTolerance : std::uint8_t
{
  Avoid,
  /** May run on a worker without other best-effort tasks, to update the
   * estimate. */
  Probe,
  /** Runs on the worker with the lowest cost. */
  Accept,
};

auto ToleranceOf(const Task& aTask, MonotonicTime aNow)
  -> InterferenceTolerance;

/** Whether a worker has the free resources for a task, apart from those that
 * are reserved for others. */
auto HasRoom(const CellState& aCell,
             const Worker& aWorker,
             const StepSpec& aSpec,
             MonotonicTime aNow) -> bool;

/** The worker with the lowest cost for a task; null when it should wait. */
auto FindWorker(CellState& aCell,
                const Task& aTask,
                const StepSpec& aSpec,
                InterferenceTolerance aTolerance,
                MonotonicTime aNow) -> Worker*;

/** The worker with the lowest cost for a suspect task, whatever was started
 * there recently; null when none has room. */
auto FindWorkerToIsolate(CellState& aCell,
                         const Task& aTask,
                         const StepSpec& aSpec,
                         InterferenceTolerance aTolerance,
                         MonotonicTime aNow) -> Worker*;

} // namespace eelgrasspost::cell
