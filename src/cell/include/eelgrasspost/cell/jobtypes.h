#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspost/cell/celltypes.h"

namespace eelgrasspost::cell {

struct Job;
struct Worker;

enum class TaskPhase : std::uint8_t
{
  /** Earlier steps are not done, or the scheduled time is not reached. */
  Waiting,
  Ready,
  /** A worker has, or may have, a run of it. */
  Placed,
  Done,
  /** Another cell runs it. */
  Remote,
};

struct Task
{
  Job* mJob = nullptr;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  TaskPhase mPhase = TaskPhase::Waiting;
  /** A previous holder of the cell may have started it on a worker that has
   * not reported since. It is not started until every such worker has reported
   * or its leases have expired. */
  bool mMayBeRunning = false;
  /** It has been placed, or may have been by a holder whose decisions are not
   * known here: of an earlier term, or of the cell that owns a hosted job. */
  bool mMayHaveRun = false;
  std::vector<std::uint64_t> mFailedAttempts;
  /** Reset when a run of the task proves harmless to its worker. */
  CrashCount mCrashes;
  std::uint64_t mAttempt = 0;
  std::string mCheckpoint;
  /** Attempt of the duplicate that this holder has started; 0 for none. There
   * is at most one. */
  std::uint64_t mDuplicateAttempt = 0;
  /** The worker of its run; null when it is not placed. */
  Worker* mWorker = nullptr;
  /** Number of its runs that were stopped as they stood still. */
  std::uint32_t mStalls = 0;
  /** The worker on which its last run failed or stalled. */
  std::string mAvoidedWorker;
  /** The cell that runs a task in phase Remote; empty for hosted jobs. */
  std::string mHostCell;
  /** A hosted task that is being returned to the cell that owns it; it is not
   * started here. */
  bool mIsReturning = false;
  MonotonicTime mNextReturnAt{};
  /** Room was gathered for it. */
  bool mHasGathered = false;
  /** It is counted among the starts that an evacuation has held back. */
  bool mIsHeldBack = false;
  MonotonicTime mReadyAt{};
  /** When the worker of its last run replied last, if the run was lost. */
  std::optional<MonotonicTime> mLastContact;
  /** Not started before this time; set after a refused start. */
  MonotonicTime mNotBefore{};
};

/** Earliest time at which a job can be complete, compared with its objective.
 */
enum class Lateness : std::uint8_t
{
  /** The objective can still be met. */
  InTime,
  /** The objective will be missed, but the result still has value. */
  Late,
  /** The job will take more than three times the objective. */
  Worthless,
};

/** Order in which best-effort jobs of one priority are placed: by lateness,
 * then by the least remaining work. */
struct JobRank
{
  Lateness mLateness = Lateness::InTime;
  /** Estimated CPU seconds that its tasks still need. */
  double mRemainingWork = 0;

  auto operator<=>(const JobRank&) const = default;
};

struct StepProgress
{
  std::vector<Task> mTasks;
  std::uint32_t mDone = 0;
  bool mIsOpen = false;
  /** If the step is a gang that found no room: when it is tried again. */
  MonotonicTime mNextTryAt{};
};

struct Occurrence
{
  std::uint32_t mNumber = 0;
  std::vector<StepProgress> mSteps;
  std::uint32_t mStepsDone = 0;
};

struct Job
{
  StoredJob mStored;
  std::map<std::uint32_t, std::unique_ptr<Occurrence>> mOccurrences;
  /** Number of the next occurrence to open. */
  std::uint32_t mNextOccurrence = 0;
  std::set<std::uint32_t> mOccurrencesDone;
  /** The decided state; callers see it once it is stored. */
  JobState mState = JobState::Queued;
  bool mIsDirty = false;
  /** Pieces of its progress that have to be stored; see progresspieces.h. */
  std::set<std::uint64_t> mChangedPieces;
  /** It is migrating to another cell; none of its tasks is started. */
  bool mIsMigrating = false;
  /** A worker has executed a start of at least one of its tasks. */
  bool mHasStarted = false;
  /** Crashes were counted that are not stored yet. */
  bool mHasUnstoredCrashes = false;
  MonotonicTime mAddedAt{};
  /** Position among the waiting best-effort jobs; see RankJob. */
  JobRank mRank;
  MonotonicTime mRankedAt{};
};

} // namespace eelgrasspost::cell
