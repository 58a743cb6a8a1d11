#pragma once

#include "cellinternal.h"

namespace eelgrasspost::cell {

/** Whether a long-running task was started before, by this holder or, as far as
 * is known, by a previous one: if all workers with a job's runs are lost,
 * nothing tells that it has run. Its users have no service until it runs again.
 */
auto IsRestart(const Task& aTask) -> bool;

/** Order in which waiting tasks are placed: restarts of long-running tasks
 * first; then by priority, short tasks before long-running ones. */
auto ComesBefore(const Task* aLeft, const Task* aRight) -> bool;

/** Whether most CPU of a cell is free, or no new jobs arrive. */
auto IsLightlyLoaded(const CellState& aCell, MonotonicTime aNow) -> bool;

/** Whether a best-effort task has waited so long that it runs even if it
 * interferes with serving tasks on every worker. */
auto MustAcceptInterference(const Task& aTask,
                            bool aIsLightlyLoaded,
                            MonotonicTime aNow) -> bool;

} // namespace eelgrasspost::cell
