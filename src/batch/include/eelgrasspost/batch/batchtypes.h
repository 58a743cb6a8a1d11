#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::batch {

/** A job as submitted by an operator. All of its tasks are identical. */
struct JobSpec
{
  std::string mId;
  std::string mTeam;
  std::int64_t mTasks = 1;
  platform::Resources mResources;
  /** Declared by the operator; may be far off. */
  std::int64_t mDeclaredRunMs = 0;
  bool mUrgent = false;
  /** What the workers run; passed on unchanged. */
  std::string mCommand;

  auto operator<=>(const JobSpec&) const = default;
};

/** A job as stored in the table. */
struct JobRecord
{
  JobSpec mSpec;
  bool mCancelled = false;
  /** Number of task blocks written so far. */
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

/** A task as stored in the table. */
struct TaskRecord
{
  TaskState mState = TaskState::Pending;
  /** Incremented by each start. Starts and completions are conditional on
   * it. */
  std::uint64_t mAttempt = 0;
  /** Worker of the newest attempt, and the fencing token and incarnation of the
   * worker under which it was started. */
  std::string mWorker;
  platform::FencingToken mToken;
  std::string mIncarnation;
  std::string mCheckpoint;
  /** Total run time of earlier attempts, in milliseconds. */
  std::int64_t mUsedMs = 0;
  /** Worker of each failed attempt, in order. */
  std::vector<std::string> mFailedOn;
  std::string mReason;
};

/** Maximum number of tasks in a block. A block is one row of the table. */
inline constexpr std::int64_t kTasksPerBlock = 16;

/** Consecutive tasks of a job that share a row of the table. */
struct TaskBlock
{
  /** The job as submitted, so that the coordinator needs no other row. */
  JobSpec mSpec;
  /** The index of the block's first task is mIndex * kTasksPerBlock. */
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
