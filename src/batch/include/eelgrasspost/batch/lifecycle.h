#pragma once

#include <array>
#include <optional>

#include "eelgrasspost/batch/batchtypes.h"

namespace eelgrasspost::batch {

/** What can happen to a task; docs/jobs.md says what each means. */
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

/** The state after an event; nothing when the event is refused there. */
auto NextTaskState(TaskState aState, TaskEvent aEvent)
  -> std::optional<TaskState>;

/** What is known of the newest attempt of a running task. */
enum class AttemptOutcome : std::uint8_t
{
  /** It runs, or it cannot be known that it does not. */
  Undecided,
  Succeeded,
  Failed,
  /** It stopped and may be resumed from its checkpoint. */
  Interrupted,
  /** It does not run and a start that comes late will be refused. */
  NeverRan,
};

inline constexpr auto kAttemptOutcomeNames = std::array{
  base::EnumName<AttemptOutcome>{ AttemptOutcome::Undecided, "undecided" },
  base::EnumName<AttemptOutcome>{ AttemptOutcome::Succeeded, "succeeded" },
  base::EnumName<AttemptOutcome>{ AttemptOutcome::Failed, "failed" },
  base::EnumName<AttemptOutcome>{ AttemptOutcome::Interrupted, "interrupted" },
  base::EnumName<AttemptOutcome>{ AttemptOutcome::NeverRan, "never_ran" },
};

/** Judges the newest attempt of a running task by a report of its worker;
 * aFound is the attempt's line in the report, or null. */
auto ClassifyAttempt(const TaskRecord& aTask,
                     const platform::WorkerReport& aReport,
                     const platform::AttemptReport* aFound) -> AttemptOutcome;

/** Failures on different workers after which a task is parked. */
inline constexpr std::size_t kFailedWorkersToPark = 3;
/** Failures in all after which it is parked when there are fewer workers. */
inline constexpr std::size_t kTotalFailuresToPark = 6;

/** Applies a verdict; false when the task stays as it is. aFound is the
 * attempt's line in the report, or null. */
auto ApplyOutcome(TaskRecord& aTask,
                  AttemptOutcome aOutcome,
                  const platform::AttemptReport* aFound) -> bool;

/** Applies the start of the next attempt; false when the task is not
 * pending. */
auto ApplyStart(TaskRecord& aTask,
                const std::string& aWorker,
                const platform::FencingToken& aToken,
                const std::string& aIncarnation) -> bool;

/** Parks a task that has not ended; the reason names what to do. */
auto ApplyPark(TaskRecord& aTask, std::string aReason) -> bool;

/** Applies a cancellation; false when the task has ended. */
auto ApplyCancel(TaskRecord& aTask) -> bool;

auto HasEnded(TaskState aState) -> bool;
/** Whether every task of a block has ended. */
auto HasEnded(const TaskBlock& aBlock) -> bool;

/** State of a job from all its blocks. */
auto JobStateOf(const JobRecord& aJob, const std::vector<TaskBlock>& aBlocks)
  -> JobState;

} // namespace eelgrasspost::batch
