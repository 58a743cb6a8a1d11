#pragma once

#include "cellinternal.h"

namespace eelgrasspost::cell {

/** The order in which waiting tasks get room: restarts of lasting tasks first;
 * else short work before lasting work of the same priority. */
auto IsBefore(const Task* aLeft, const Task* aRight) -> bool;

/** Whether a cell has little to do, or gets no new jobs. */
auto IsQuiet(const CellState& aCell, MonotonicTime aNow) -> bool;

/** Whether a filling task has to run although it does harm wherever it goes. */
auto MustRun(const Task& aTask, bool aIsQuiet, MonotonicTime aNow) -> bool;

} // namespace eelgrasspost::cell
