#pragma once

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** Whether a task is one of those that a guest job runs here. */
auto IsHostedTask(const Job& aJob, const Task& aTask) -> bool;
/** Whether a task waits for other lasting tasks that may come with it. */
auto IsGathering(const CellState& aCell, const Task& aTask, MonotonicTime aNow)
  -> bool;
/** Whether a worker has, or may have, a run of a job. */
auto HasRun(const Job& aJob) -> bool;
/** The step that a task belongs to. */
auto SpecOf(const Task& aTask) -> const StepSpec&;

/** Notes that a job's progress has to be stored. */
auto MarkDirty(CellState& aCell, Job& aJob) -> void;

/** Puts a task into the queue of those that wait for room. */
auto MakeReady(CellState& aCell, Task& aTask, MonotonicTime aNow) -> void;

/** Counts a task as done; opens what waited for it. */
auto CountDone(CellState& aCell, Task& aTask, MonotonicTime aNow) -> void;

/** Asks for a run to be stopped. */
auto AskStop(Run& aRun) -> void;

/** Removes a run and frees its room. */
auto EraseRun(Worker& aWorker, const std::string& aName) -> void;

/** Puts a run on a worker and takes its room. */
auto InsertRun(Worker& aWorker, const std::string& aName, Run aRun) -> Run&;

/** A run that was made from a task's step. */
auto MakeRun(CellState& aCell,
             Task& aTask,
             std::uint64_t aAttempt,
             MonotonicTime aNow) -> Run;

/** Places tasks on workers with room; the starts are appended. */
auto PlaceReady(CellState& aCell,
                MonotonicTime aNow,
                std::vector<Order>& aOrders) -> void;

/** Adjusts the processor shares of filling tasks beside serving ones. */
auto BalanceFilling(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
  -> void;

/** Whether a filling run could go on at full speed on another worker. */
auto HasBetterPlace(CellState& aCell,
                    const Worker& aWorker,
                    const Run& aRun,
                    MonotonicTime aNow) -> bool;

/** Whether a task may be started once there is room. */
auto MayStart(const Task& aTask, MonotonicTime aNow) -> bool;

/** Whether a worker may be given new work. */
auto IsUsable(const CellState& aCell, const Worker& aWorker, MonotonicTime aNow)
  -> bool;

} // namespace eelgrasspost::cell
