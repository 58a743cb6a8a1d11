#pragma once

#include <array>
#include <optional>

#include "eelgrasspost/batch/batchtypes.h"

namespace eelgrasspost::batch {

/** Events that change the state of a task; docs/jobs.md explains each. */
enum class TaskEvent : std::uint8_t
{
  Started,
  Succeeded,
  Failed,
  Interrupted,
  Parked,
  Released,
  Cancelled,
};

inline constexpr auto kTaskEventNames = std::array{
  base::EnumName<TaskEvent>{ TaskEvent::Started, "started" },
  base::EnumName<TaskEvent>{ TaskEvent::Succeeded, "succeeded" },
  base::EnumName<TaskEvent>{ TaskEvent::Failed, "failed" },
  base::EnumName<TaskEvent>{ TaskEvent::Interrupted, "interrupted" },
  base::EnumName<TaskEvent>{ TaskEvent::Parked, "parked" },
  base::EnumName<TaskEvent>{ TaskEvent::Released, "released" },
  base::EnumName<TaskEvent>{ TaskEvent::Cancelled, "cancelled" },
};

/** The state after an event; nullopt if the event is invalid in this state. */
auto NextTaskState(TaskState aState, TaskEvent aEvent)
  -> std::optional<TaskState>;

/** Outcome of the newest attempt of a running task. */
enum class AttemptOutcome : std::uint8_t
{
  /** It is running, or it cannot be ruled out that it is. */
  Undecided,
  Succeeded,
  Failed,
  /** It stopped and can be resumed from its checkpoint. */
  Interrupted,
  /** It is not running, and the worker rejects a delayed start command. */
  NeverRan,
};

inline constexpr auto kAttemptOutcomeNames = std::array{
  base::EnumName<AttemptOutcome>{ AttemptOutcome::Undecided, "undecided" },
  base::EnumName<AttemptOutcome>{ AttemptOutcome::Succeeded, "succeeded" },
  base::EnumName<AttemptOutcome>{ AttemptOutcome::Failed, "failed" },
  base::EnumName<AttemptOutcome>{ AttemptOutcome::Interrupted, "interrupted" },
  base::EnumName<AttemptOutcome>{ AttemptOutcome::NeverRan, "never_ran" },
};

/** Determines the outcome of the newest attempt of a running task from a report
 * of its worker. aAttemptReport is the attempt's record in the report, or
 * null. */
auto ClassifyAttempt(const TaskRecord& aTask,
                     const platform::WorkerReport& aReport,
                     const platform::AttemptReport* aAttemptReport)
  -> AttemptOutcome;

/** Number of different workers on which a task must fail to be parked. */
inline constexpr std::size_t kFailedWorkersToPark = 3;
/** Total number of failures that park a task when it failed on fewer
 * workers. */
inline constexpr std::size_t kTotalFailuresToPark = 6;

/** Applies the outcome of an attempt; returns false if the task is unchanged.
 * aAttemptReport is the attempt's record in the report, or null. */
auto ApplyOutcome(TaskRecord& aTask,
                  AttemptOutcome aOutcome,
                  const platform::AttemptReport* aAttemptReport) -> bool;

/** Applies the start of the next attempt; returns false if the task is not
 * pending. */
auto ApplyStart(TaskRecord& aTask,
                const std::string& aWorker,
                const platform::FencingToken& aToken,
                const std::string& aIncarnation) -> bool;

/** Parks a pending or running task; the reason tells what to do about it. */
auto ApplyPark(TaskRecord& aTask, std::string aReason) -> bool;

/** Applies a cancellation; returns false if the task has ended. */
auto ApplyCancel(TaskRecord& aTask) -> bool;

auto HasEnded(TaskState aState) -> bool;
/** Whether every task of a block has ended. */
auto HasEnded(const TaskBlock& aBlock) -> bool;

/** Derives the state of a job from all of its blocks. */
auto JobStateOf(const JobRecord& aJob, const std::vector<TaskBlock>& aBlocks)
  -> JobState;

} // namespace eelgrasspost::batch
