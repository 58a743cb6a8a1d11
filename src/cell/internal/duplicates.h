#pragma once

#include "cellinternal.h"

namespace eelgrasspost::cell {

/** Starts second runs of slow tasks whose step allows them, in room that no
 * waiting task needs; appends the start orders. */
auto PlaceDuplicates(CellState& aCell,
                     MonotonicTime aNow,
                     std::vector<Order>& aOrders) -> void;

/** Makes a task ready whose current run has ended without completing it. If it
 * has a duplicate, that becomes its current run instead. */
auto ReplaceRun(CellState& aCell, Task& aTask, MonotonicTime aNow) -> void;

/** Records which of two runs of a task was done first. */
auto NoteFirstDone(CellState& aCell,
                   const Task& aTask,
                   const Worker& aWorker,
                   std::uint64_t aAttempt) -> void;

/** Stops what runs of a task that is done and had a duplicate. */
auto StopBothRuns(CellState& aCell, const Task& aTask) -> void;

} // namespace eelgrasspost::cell
