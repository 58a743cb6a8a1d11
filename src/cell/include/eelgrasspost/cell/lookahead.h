#pragma once

#include <map>
#include <optional>
#include <string>

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** Records how long a run of a queue's task took, against its estimate. */
auto LearnRunTime(CellState& aCell,
                  const Task& aTask,
                  const Run& aRun,
                  MonotonicTime aNow) -> void;

/** Duration of a task by its estimate and by what was seen of its queue. */
auto ExpectedRunTime(const CellState& aCell, const Task& aTask) -> Milliseconds;

/** When a run is expected to end; nothing for one that does not end by itself
 * or of which too little is known. */
auto ExpectedEnd(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> std::optional<MonotonicTime>;

/** Whether room is gathered for a task that finds none: one that ends by itself
 * and needs a large part of a worker. */
auto MayGather(const CellState& aCell, const Task& aTask) -> bool;

/** Chooses the worker on which the room for a task is complete soonest, judged
 * by the expected ends of what runs there, and keeps it for the task until
 * then. Null if no worker has it while the job is of use. */
auto Gather(CellState& aCell, const Task& aTask, MonotonicTime aNow) -> Worker*;

/** Whether the start of a task leaves the room that a worker gathers for
 * another one complete in time: it ends before, or needs nothing of it. */
auto MayBackfill(const CellState& aCell,
                 const Worker& aWorker,
                 const Task& aTask,
                 MonotonicTime aNow) -> bool;

/** Forgets all gatherings; each round of placement plans anew. */
auto ClearGatherings(CellState& aCell) -> void;

} // namespace eelgrasspost::cell
