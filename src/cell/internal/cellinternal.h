#pragma once

#include "eelgrasspost/cell/room.h"

namespace eelgrasspost::cell {

/** Whether a task is one of those that a hosted job runs here. */
auto IsHostedTask(const Job& aJob, const Task& aTask) -> bool;
/** Whether a new long-running task is in its placement delay. */
auto IsPlacementDelayed(const CellState& aCell,
                        const Task& aTask,
                        MonotonicTime aNow) -> bool;
/** Whether a worker or another cell has, or may have, a run of a job. */
auto HasRun(const Job& aJob) -> bool;

auto MakeOccurrence(Job& aJob, std::uint32_t aNumber)
  -> std::unique_ptr<Occurrence>;
/** Null if it has not been opened. */
auto FindOccurrence(Job& aJob, std::uint32_t aNumber) -> Occurrence*;
/** 1 for a job that is not scheduled. */
auto OccurrenceCount(const JobSpec& aSpec) -> std::uint32_t;
/** Applies the stored progress to a job that is being added. */
auto ApplyProgress(Job& aJob, const JobProgress& aProgress) -> void;
/** Whether something is stored of a task that is not done. */
auto HasProgress(const Task& aTask) -> bool;
auto ProgressOf(const Task& aTask) -> TaskProgress;

/** Records that a worker has executed a start of one of a job's tasks. */
auto NoteStarted(Job& aJob) -> void;
/** Records that one may have been executed; the job stays pending. */
auto NoteMayHaveStarted(Job& aJob) -> void;

/** Queues a task for placement. */
auto MakeReady(CellState& aCell, Task& aTask, MonotonicTime aNow) -> void;

/** Records the work of a task that is done. */
auto NoteDone(CellState& aCell, const StepSpec& aStep) -> void;

/** Marks a task as done and opens the steps that depended on it. */
auto MarkTaskDone(CellState& aCell, Task& aTask, MonotonicTime aNow) -> void;

/** The time since the last contact, for events. */
auto SinceContact(const std::optional<MonotonicTime>& aLastContact,
                  MonotonicTime aNow) -> std::optional<Milliseconds>;

/** Marks a run to be stopped; CollectOrders sends the order. */
auto RequestStop(Run& aRun) -> void;

/** Removes a run and frees its resources. */
auto EraseRun(Worker& aWorker, const std::string& aName) -> void;

/** Adds a run to a worker and takes its resources. */
auto InsertRun(Worker& aWorker, const std::string& aName, Run aRun) -> Run&;

/** Converts the uses of the best-effort images to shares of the worker's
 * capacity, which was aPrevious so far. */
auto RescaleBestEffortUses(Worker& aWorker, const Resources& aPrevious) -> void;

auto MakeRun(CellState& aCell,
             Task& aTask,
             std::uint64_t aAttempt,
             MonotonicTime aNow) -> Run;

/** Whether a worker has a run of a task that has no run of its own, which is
 * one that a previous holder started and that is being stopped. */
auto HasUntrackedRun(const CellState& aCell, const Task& aTask) -> bool;

/** The next attempt number of the holder. */
auto NextAttempt(CellState& aCell, const Task& aTask) -> std::uint64_t;
auto MakeStartOrder(const Task& aTask,
                    const Worker& aWorker,
                    std::uint64_t aAttempt) -> Order;

/** Places ready tasks on workers; appends the start orders. */
auto PlaceReady(CellState& aCell,
                MonotonicTime aNow,
                std::vector<Order>& aOrders) -> void;

/** Applies an end that a worker lists for the first time. */
auto ApplyEnd(CellState& aCell,
              Worker& aWorker,
              const EndRow& aEnd,
              MonotonicTime aNow) -> void;
/** Requests that the other members of a gang are stopped after one has ended.
 */
auto StopGang(Task& aTask) -> void;

/** Adjusts the CPU shares of a worker's best-effort runs to the tails of its
 * serving runs, and stops runs that can move to another worker. */
auto AdjustCpuShares(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
  -> void;

/** Whether another worker would now be chosen for a best-effort run. */
auto HasBetterWorker(CellState& aCell,
                     const Worker& aWorker,
                     const Run& aRun,
                     MonotonicTime aNow) -> bool;

/** Whether a task may be started once there is room. */
auto MayStart(const Task& aTask, MonotonicTime aNow) -> bool;

/** Whether a worker has crashed shortly after it was told to start a task. Such
 * a task is started apart from others, so that a further crash is due to it. */
auto IsSuspect(const Task& aTask) -> bool;
/** Counts the crash of a worker for the tasks that it may be due to. */
auto CountCrashes(CellState& aCell,
                  Worker& aWorker,
                  const std::unordered_map<std::string, Run>& aRuns,
                  MonotonicTime aNow) -> void;
/** Resets the count of a task whose worker still lists the run after the crash
 * window. */
auto ClearSuspect(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> void;
/** Whether a task may be started on a worker in view of the tasks that may
 * crash it. */
auto MayJoinWorker(const CellState& aCell,
                   const Worker& aWorker,
                   const Task& aTask,
                   MonotonicTime aNow) -> bool;
/** Records the start of a task on a worker. */
auto NoteStart(const CellState& aCell,
               Worker& aWorker,
               const Task& aTask,
               MonotonicTime aNow) -> void;

/** Whether not every worker of the service may run the tasks of a step, or not
 * any number of them, so that a cell's free CPU tells little about it. */
auto RestrictsWorkers(const StepSpec& aStep) -> bool;
/** The most tasks of a step for which there is unreserved room now. */
auto CountStartableNow(const CellState& aCell,
                       const std::string& aService,
                       const StepSpec& aStep,
                       MonotonicTime aNow) -> std::int64_t;
/** Whether a worker of the cell may get runs once it is free and replies. */
auto MayServe(const CellState& aCell, const Worker& aWorker) -> bool;
/** Counts a task that found no worker, if an evacuation is in force. */
auto NoteHeldBack(CellState& aCell, Task& aTask) -> void;
auto ExclusionOf(const CellState& aCell,
                 const Worker& aWorker,
                 MonotonicTime aNow) -> WorkerExclusion;
/** Whether a worker may be given new work that fits beside its runs. */
auto IsUsable(const CellState& aCell, const Worker& aWorker, MonotonicTime aNow)
  -> bool;

} // namespace eelgrasspost::cell
