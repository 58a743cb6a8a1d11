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
  std::string mJob;
  std::int64_t mIndex = 0;
  TaskState mState = TaskState::Pending;
  /** Grows with each start; starts and completions are conditional on it. */
  std::uint64_t mAttempt = 0;
  std::string mWorker;
  std::string mCheckpoint;
  std::string mReason;
};

struct JobStatus
{
  JobSpec mSpec;
  std::vector<TaskRecord> mTasks;
};

} // namespace eelgrasspost::batch
