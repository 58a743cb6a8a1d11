#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::batch {

/** What an operator asks to be run; its tasks are alike. */
struct JobSpec
{
  std::string mId;
  std::string mTeam;
  std::int64_t mTasks = 1;
  platform::Resources mResources;
  /** As declared; may be far off. */
  std::int64_t mDeclaredRunMs = 0;
  bool mUrgent = false;
  /** What the workers run, passed through as written. */
  std::string mCommand;

  auto operator<=>(const JobSpec&) const = default;
};

/** A job as the table keeps it. */
struct JobRecord
{
  JobSpec mSpec;
  bool mCancelled = false;
  /** Blocks of tasks that have been written so far. */
  std::int64_t mBlocksWritten = 0;
};

enum class JobState : std::uint8_t
{
  Active,
  Succeeded,
  Parked,
  Cancelled,
};

inline constexpr auto kJobStateNames = std::array{
  base::EnumName<JobState>{ JobState::Active, "active" },
  base::EnumName<JobState>{ JobState::Succeeded, "succeeded" },
  base::EnumName<JobState>{ JobState::Parked, "parked" },
  base::EnumName<JobState>{ JobState::Cancelled, "cancelled" },
};

enum class TaskState : std::uint8_t
{
  Pending,
  Running,
  Succeeded,
  Parked,
  Cancelled,
};

inline constexpr auto kTaskStateNames = std::array{
  base::EnumName<TaskState>{ TaskState::Pending, "pending" },
  base::EnumName<TaskState>{ TaskState::Running, "running" },
  base::EnumName<TaskState>{ TaskState::Succeeded, "succeeded" },
  base::EnumName<TaskState>{ TaskState::Parked, "parked" },
  base::EnumName<TaskState>{ TaskState::Cancelled, "cancelled" },
};

/** A task as the table keeps it. */
struct TaskRecord
{
  TaskState mState = TaskState::Pending;
  /** Grows with each start; starts and completions are conditional on it. */
  std::uint64_t mAttempt = 0;
  /** Where the newest attempt was started, and under which token and
   * incarnation of the worker. */
  std::string mWorker;
  platform::FencingToken mToken;
  std::string mIncarnation;
  std::string mCheckpoint;
  /** Run time of earlier attempts, in milliseconds. */
  std::int64_t mUsedMs = 0;
  /** The worker of each failure, in order. */
  std::vector<std::string> mFailedOn;
  std::string mReason;
};

/** Tasks of a block, at most; a block is one row of the table. */
inline constexpr std::int64_t kTasksPerBlock = 16;

/** Consecutive tasks of a job that share a row. */
struct TaskBlock
{
  /** The job as submitted, so that a decider needs no other row. */
  JobSpec mSpec;
  /** The block's first task is mIndex times kTasksPerBlock. */
  std::int64_t mIndex = 0;
  std::vector<TaskRecord> mTasks;
};

struct JobStatus
{
  JobSpec mSpec;
  JobState mState = JobState::Active;
  std::vector<TaskBlock> mBlocks;
};

} // namespace eelgrasspost::batch
