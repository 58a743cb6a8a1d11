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

/** Which free resources a task may use. */
enum class RoomUse : std::uint8_t
{
  /** Those that are not reserved for others. */
  Unreserved,
  /** Also reserved ones, as long as all reservations of the worker still fit
   * beside its long-running runs: the task's and the others' need not wait for
   * each other. */
  Reserved,
  /** Also those of reservations that may be displaced. */
  Displacing,
};

/** Restarts of long-running tasks may use reserved resources. */
auto RoomUseOf(const Task& aTask) -> RoomUse;

/** Whether a worker has the free resources for a task. A task may always use
 * those that are reserved for it. aTask: name of a long-running task; empty for
 * other tasks. */
auto HasRoom(const CellState& aCell,
             const Worker& aWorker,
             const StepSpec& aSpec,
             std::string_view aTask,
             RoomUse aUse,
             MonotonicTime aNow) -> bool;

/** The capacity by which tasks are placed on a worker. */
auto UsableCapacity(const CellState& aCell, const Worker& aWorker)
  -> const Resources&;

auto Contains(const Resources& aCapacity, const Resources& aNeed) -> bool;

/** Whether a worker belongs to a service and has a label, if one is required.
 */
auto IsOfKind(const Worker& aWorker,
              const std::string& aService,
              const std::string& aRequiredLabel) -> bool;

/** Whether a worker is of the kind that a long-running task needs, and may run
 * one more task of its step. */
auto Suits(const Worker& aWorker, const LongRunningNeed& aNeed) -> bool;

/** Resources of a worker that are reserved for other long-running tasks. */
auto ReservedForOthers(const Worker& aWorker,
                       std::string_view aTask,
                       MonotonicTime aNow) -> Resources;
/** What a worker has for one more long-running task once its short tasks have
 * ended. */
auto CapacityFor(const CellState& aCell,
                 const Worker& aWorker,
                 std::string_view aTask,
                 MonotonicTime aNow) -> Resources;

/** Whether capacity of a worker is reserved for a task. */
auto HasReservation(const Worker& aWorker,
                    std::string_view aTask,
                    MonotonicTime aNow) -> bool;

auto RemoveReservation(CellState& aCell, const std::string& aTask) -> void;

/** What a worker has now for a long-running task that has lost its run. A
 * reservation that has not become complete for some time gives way to it: the
 * resources that are free would otherwise stand idle. */
auto RoomForRestart(const CellState& aCell,
                    const Worker& aWorker,
                    std::string_view aTask,
                    MonotonicTime aNow) -> Resources;
/** Removes reservations for which a worker has no capacity beside a task that
 * is placed there; see RoomForRestart. */
auto DisplaceReservations(CellState& aCell,
                          Worker& aWorker,
                          const LongRunningNeed& aNeed,
                          MonotonicTime aNow) -> void;

/** Reserves capacity for a long-running task of the cell, or extends its
 * reservation; null when no worker can hold it. */
auto ReserveForTask(CellState& aCell, const Task& aTask, MonotonicTime aNow)
  -> Worker*;

/** CPU millis that a worker has for a long-running task once its short tasks
 * have ended. */
auto LargestReservableCpu(const CellState& aCell,
                          const Worker& aWorker,
                          MonotonicTime aNow) -> std::int64_t;

/** The worker with the lowest cost for a task; null when it should wait. */
auto FindWorker(CellState& aCell,
                const Task& aTask,
                const StepSpec& aSpec,
                InterferenceTolerance aTolerance,
                MonotonicTime aNow) -> Worker*;

/** The same for a second run beside the one on the given worker: another worker
 * whose labels, which name its kind and its rack, are not all the same. */
auto FindWorkerApartFrom(CellState& aCell,
                         const Task& aTask,
                         const Worker& aOther,
                         MonotonicTime aNow) -> Worker*;

/** The worker with the lowest cost on which a long-running task that has lost
 * its run can start if reservations give way to it; null when there is none. */
auto FindWorkerToDisplace(CellState& aCell,
                          const Task& aTask,
                          const StepSpec& aSpec,
                          MonotonicTime aNow) -> Worker*;

/** The worker with the lowest cost for a suspect task, whatever was started
 * there recently; null when none has room. */
auto FindWorkerToIsolate(CellState& aCell,
                         const Task& aTask,
                         const StepSpec& aSpec,
                         InterferenceTolerance aTolerance,
                         MonotonicTime aNow) -> Worker*;

} // namespace eelgrasspost::cell
