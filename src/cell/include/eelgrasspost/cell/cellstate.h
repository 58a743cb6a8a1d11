#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "eelgrasspost/cell/celltypes.h"
#include "eelgrasspost/cell/interference.h"

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
  /** The worker of its run; null when it is not placed. */
  Worker* mWorker = nullptr;
  /** The worker on which its last run failed or stalled. */
  std::string mAvoidedWorker;
  /** The cell that runs a task in phase Remote; empty for hosted jobs. */
  std::string mHostCell;
  /** A hosted task that is being returned to the cell that owns it; it is not
   * started here. */
  bool mIsReturning = false;
  MonotonicTime mNextReturnAt{};
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
  /** It is migrating to another cell; none of its tasks is started. */
  bool mIsMigrating = false;
  /** At least one of its tasks has been started. */
  bool mHasStarted = false;
  /** Crashes were counted that are not stored yet. */
  bool mHasUnstoredCrashes = false;
  MonotonicTime mAddedAt{};
  /** Position among the waiting best-effort jobs; see RankJob. */
  JobRank mRank;
  MonotonicTime mRankedAt{};
};

enum class RunPhase : std::uint8_t
{
  /** The start was sent and is not answered yet. */
  Starting,
  /** The start got no answer; the worker may still carry it out. */
  OutcomeUnknown,
  Running,
  Stopping,
};

/** One run of a task on a worker. It occupies its resources until the worker
 * lists its end or the end is certain for another reason. */
struct Run
{
  /** Null when it is not the current run of a task of the cell. */
  Task* mTask = nullptr;
  std::uint64_t mAttempt = 0;
  RunPhase mPhase = RunPhase::Starting;
  Resources mNeed;
  /** False for a run of a task that the cell does not have. It may need more
   * than the worker's capacity, which may have been higher when it started. */
  bool mIsNeedKnown = true;
  bool mIsBestEffort = false;
  bool mIsLongRunning = false;
  bool mCheckpoints = false;
  std::int64_t mTargetTailMs = 0;
  /** Index in the cell's interference table. */
  std::size_t mImageIndex = 0;
  /** When the start was sent; zero when a previous holder sent it. */
  MonotonicTime mStartedAt{};
  MonotonicTime mConfirmedAt{};
  double mPercent = 0;
  MonotonicTime mPercentMovedAt{};
  double mLoad = 0;
  std::string mCheckpoint;
  MonotonicTime mStopSentAt{};
  bool mStopInFlight = false;
  bool mStopAnswered = false;
  MonotonicTime mStopAnsweredAt{};
  /** CPU share in percent: the last one that the worker accepted, and the one
   * that it should have. */
  int mCpuShare = 100;
  int mWantedCpuShare = 100;
  bool mCpuShareInFlight = false;
};

struct Reservation
{
  Resources mNeed;
  MonotonicTime mUntil{};
  /** Since when capacity is reserved for the task, on any worker. */
  MonotonicTime mSince{};
};

struct Worker
{
  WorkerRecord mRecord;
  /** Lowest capacity that was listed for this incarnation, by resource. */
  Resources mLowestCapacity;
  /** Start of the incarnation that answered last; 0 before the first answer. */
  std::int64_t mIncarnationStartMs = 0;
  /** It has reported under this holder's fencing token: its runs are known. */
  bool mIsKnown = false;
  /** The address at which it replied last to this holder. */
  net::Address mRepliedFrom;
  /** It is being transferred to another cell and gets no more starts. */
  bool mIsTransferring = false;
  /** It is in the platform's list. */
  bool mIsListed = true;
  /** Runs by the names of their tasks. */
  std::unordered_map<std::string, Run> mRuns;
  /** Resources reserved by the runs; best-effort tasks reserve no CPU. */
  Resources mUsed;
  /** Number of runs whose needs are not known; nothing is started beside them.
   */
  std::uint32_t mRunsOfUnknownNeed = 0;
  /** CPU millis that the best-effort runs would use at full speed. */
  std::int64_t mBestEffortCpuMillis = 0;
  /** Highest number of an end that was applied. */
  std::uint64_t mSeenEnds = 0;
  /** Ends up to this number are stored and may be acknowledged. */
  std::uint64_t mStoredEnds = 0;
  /** Ends, by number, of jobs that the cell does not have. */
  std::map<std::uint64_t, EndRow> mForeignEnds;
  std::int64_t mLastClockMs = 0;
  MonotonicTime mLastContact{};
  /** When a call to it first failed, other than by a timeout, since the last
   * contact. */
  std::optional<MonotonicTime> mUnreachableSince;
  /** Another worker is listed at its address. */
  bool mIsReplaced = false;
  /** When a task was last started on it. */
  MonotonicTime mLastStartAt{};
  /** Until then only a task under which workers have crashed may be started on
   * it, and none after that one. */
  MonotonicTime mIsolatedUntil{};
  /** If it doesn't answer again, every lease granted to it has expired by
   * this time. */
  MonotonicTime mLeasesExpiredAt{};
  /** No starts before this time; set after a start that was not answered or was
   * refused. */
  MonotonicTime mSuspectUntil{};
  /** Until then it may execute a start that was not answered: after a restart
   * even one whose run was stopped. */
  MonotonicTime mLateStartsUntil{};
  /** Consecutive failed ends; those of the same job count once. */
  std::uint32_t mConsecutiveFailures = 0;
  std::string mLastFailedJob;
  /** It gets no new work before this time. */
  MonotonicTime mProbationUntil{};
  MonotonicTime mDrainingSince{};
  /** Resources that other tasks leave free for waiting long-running ones, by
   * the names of these. All of them fit beside the long-running runs. */
  std::map<std::string, Reservation, std::less<>> mReservations;
  /** A new report is needed to find out what became of a run. */
  bool mNeedsPoll = false;
  /** Since when a call without a reply, or a reply that does not fit its clock,
   * suggests that it has restarted. It gets no starts, and no acknowledgements
   * of ends, until it replies to a later poll. */
  std::optional<MonotonicTime> mMayHaveRestartedSince;
  /** What the best-effort runs would use at full speed, by image. */
  std::vector<ImageUse> mBestEffortUses;
  /** Images of the serving runs, each with the number of its runs. */
  std::vector<std::pair<std::size_t, std::uint32_t>> mServingImages;
  /** CPU millis that the serving runs have reserved. */
  std::int64_t mServingCpuMillis = 0;
  /** Rise of its tail latencies that best-effort tasks don't explain, and the
   * time of the last update. */
  WorkerTailOffset mTailOffset;
  MonotonicTime mTailOffsetAt{};
  /** CPU share, in percent, of the best-effort runs that raise a serving tail
   * over its target; set by feedback from the tails. */
  int mBestEffortCpuShare = 100;
  MonotonicTime mBestEffortCpuShareChangedAt{};
  /** The serving image that was last over its target. */
  std::size_t mOverTargetImage = 0;
  /** Since when a serving tail has been over its target without a pause, while
   * best-effort tasks run. */
  std::optional<MonotonicTime> mOverTargetSince;
  /** Start of the current period in which best-effort tasks are throttled. */
  MonotonicTime mThrottledSince{};
};

/** Limits and times that govern a cell's decisions. */
struct CellPolicy
{
  /** Longest lease that workers grant, in ms (bound maxHoldMs). */
  std::int64_t mLeaseMs = 6000;
  /** A run whose percentage does not change for this time is restarted on
   * another worker. */
  Milliseconds mStallLimit{ 1500 };
  /** The same for best-effort and long-running tasks. */
  Milliseconds mLongStallLimit{ 4000 };
  /** A worker that has not answered for this time gets no new starts. */
  Milliseconds mSilenceLimit{ 2500 };
  /** Delay before a task whose start was refused is placed again. */
  Milliseconds mRefusalBackoff{ 100 };
  Milliseconds mStopRetry{ 600 };
  /** Consecutive failures, of more than one job, that put a worker on
   * probation. */
  std::uint32_t mProbationFailures = 3;
  Milliseconds mProbation{ 3000 };
  /** Scheduled occurrences may be opened this much before their time. */
  std::int64_t mEarlyMs = 0;
  /** Delay before new long-running tasks are placed. Tasks that arrive together
   * can then be placed together, and a job can move to a cell with more free
   * capacity first. */
  Milliseconds mPlacementDelay{ 0 };
  /** Best-effort tasks are paused when a serving tail beside them has been over
   * its target for this time. */
  Milliseconds mMaxOverTarget{ 1500 };
  /** A crash of a worker is counted for the tasks that were started on it less
   * than this time before. */
  Milliseconds mCrashWindow{ 150 };
  /** A job fails after this number of confirmed crashes under one of its
   * tasks, */
  std::uint32_t mMaxConfirmedCrashes = 2;
  /** or after this number of crashes, confirmed or not. */
  std::uint32_t mMaxCrashes = 3;
};

/** A group of workers of one failure domain and the jobs on them. */
struct CellState
{
  std::string mName;
  CellPolicy mPolicy;
  /** Added to the attempt numbers of this holder, so that they are higher than
   * those of its predecessors. */
  std::uint64_t mAttemptBase = 0;
  std::uint64_t mNextAttempt = 1;
  std::unordered_map<std::string, std::unique_ptr<Job>> mJobs;
  std::map<std::string, std::unique_ptr<Worker>> mWorkers;
  /** Workers of the previous holder whose runs are not known yet. */
  std::set<std::string> mUnreconciledWorkers;
  WorkerListState mWorkerListState = WorkerListState::Current;
  std::set<std::string> mDirty;
  Interference mInterference;
  /** Tasks that may be started once there is room. */
  std::vector<Task*> mReady;
  /** A task became ready since tasks were last placed. */
  bool mHasNewReady = false;
  MonotonicTime mPlacedAt{};
  /** When the last new job, not an inherited one, was added. */
  MonotonicTime mLastNewJobAt{};
  /** Events that have not been logged yet; bounded. */
  std::vector<CellEvent> mEvents;
  /** Counters for the metrics. */
  std::uint64_t mStarts = 0;
  std::uint64_t mEndsDone = 0;
  std::uint64_t mEndsFailed = 0;
  std::uint64_t mEndsLost = 0;
  std::uint64_t mStalls = 0;
};

/** Appends an event for the log. */
auto AddEvent(CellState& aCell, CellEvent aEvent) -> void;

/** Writes "ID.OCCURRENCE.STEP.INDEX". */
auto TaskName(const Task& aTask) -> std::string;
auto SpecOf(const Task& aTask) -> const StepSpec&;

/** Adds a stored job. aInherited: a previous holder may have started runs of
 * it. */
auto AddJob(CellState& aCell,
            StoredJob aJob,
            const JobProgress& aProgress,
            bool aInherited,
            MonotonicTime aNow,
            std::int64_t aWallMs) -> Job&;
/** Whether a job belongs to another cell and only some of its tasks run here.
 */
inline auto IsHostedJob(const Job& aJob) -> bool
{
  return !aJob.mStored.mHostedTasks.empty();
}

/** Assigns a waiting task to another cell permanently. */
auto MoveTaskToHost(CellState& aCell, Task& aTask, const std::string& aHost)
  -> void;
/** Makes a task that another cell could not start ready here. aWaited: how long
 * it has waited there. */
auto TakeTaskBack(CellState& aCell,
                  Task& aTask,
                  MonotonicTime aNow,
                  Milliseconds aWaited) -> void;
/** The tasks of a job that other cells run, by host cell. */
auto RemoteTasksByHost(const Job& aJob)
  -> std::map<std::string, std::vector<TaskPosition>>;
/** Sets which tasks of another cell's job run here. aMayBeRunning: a previous
 * holder may have started the added ones. */
auto SetHostedTasks(CellState& aCell,
                    Job& aJob,
                    std::vector<TaskPosition> aTasks,
                    bool aMayBeRunning,
                    MonotonicTime aNow) -> void;

/** Removes a job and requests that its runs are stopped. */
auto RemoveJob(CellState& aCell, const std::string& aId) -> void;
auto FindJob(CellState& aCell, const std::string& aId) -> Job*;
/** Finds a task by its name; null when the cell doesn't have it. */
auto FindTask(CellState& aCell, std::string_view aName) -> Task*;
auto FindTask(Job& aJob, const TaskPosition& aPosition) -> Task*;
/** Marks a job whose progress has to be stored. */
auto MarkDirty(CellState& aCell, Job& aJob) -> void;

auto RankJob(const Job& aJob, MonotonicTime aNow) -> JobRank;

/** Opens the scheduled occurrences that are due. */
auto OpenDueOccurrences(CellState& aCell,
                        MonotonicTime aNow,
                        std::int64_t aWallMs) -> void;

/** Adds or updates a worker as the platform lists it. */
auto UpdateWorker(CellState& aCell,
                  const WorkerRecord& aRecord,
                  MonotonicTime aNow) -> Worker&;
/** Marks a worker that the platform no longer lists. */
auto UnlistWorker(CellState& aCell, const std::string& aId) -> void;
/** Removes all runs of a worker whose incarnation ended or whose leases
 * expired, and makes their tasks ready again. */
auto DropWorkerRuns(CellState& aCell,
                    Worker& aWorker,
                    RunsLostReason aReason,
                    MonotonicTime aNow) -> void;

/** Notes that a worker may have restarted and has to be polled. */
auto SuspectRestart(Worker& aWorker, MonotonicTime aNow) -> void;
/** Notes that a worker may execute a start until the given time. */
auto NoteLateStart(Worker& aWorker, MonotonicTime aUntil) -> void;
/** Records that a call to a worker failed, other than by a timeout. */
auto NoteUnreachable(Worker& aWorker, MonotonicTime aNow) -> void;
/** The progress of a job was stored, with all its counted crashes. */
auto MarkCrashesStored(Job& aJob) -> void;
/** Fails a job of which a task is given up in its host cell. */
auto GiveUpHostedJob(CellState& aCell, Job& aJob) -> void;

/** Applies a worker's report. aSentAt: when the poll was sent. */
auto ApplyReport(CellState& aCell,
                 Worker& aWorker,
                 const WorkerReport& aReport,
                 MonotonicTime aSentAt,
                 MonotonicTime aNow) -> void;
/** Applies the end of a run that is listed to another cell; false if its
 * occurrence is not open yet. */
auto ApplyForeignEnd(CellState& aCell,
                     Job& aJob,
                     const TaskProgress& aEnd,
                     MonotonicTime aNow) -> bool;
/** The highest number up to which the ends of a worker need no other cell. */
auto HighestSettledEnd(const Worker& aWorker) -> std::uint64_t;
/** aDetail: the reason for an order that was not executed, for the log. */
auto ApplyOutcome(CellState& aCell,
                  const Order& aOrder,
                  OrderOutcome aOutcome,
                  MonotonicTime aNow,
                  std::string_view aDetail = {}) -> void;

/** Returns the orders that are due; each one counts as sent. */
auto CollectOrders(CellState& aCell, MonotonicTime aNow) -> std::vector<Order>;

/** Drops the runs of workers whose leases have all expired. Removes the workers
 * that are no longer listed once they have no runs. */
auto ExpireWorkers(CellState& aCell, MonotonicTime aNow) -> void;

/** Requests that stalled runs, and long-running ones on draining workers, are
 * stopped. */
auto CheckRuns(CellState& aCell, MonotonicTime aNow) -> void;

/** The part of a job's state that is stored as its progress. */
auto ProgressOf(const Job& aJob) -> JobProgress;

/** Counts the jobs of a queue of which no task has started. */
auto CountPending(const CellState& aCell, std::string_view aQueue)
  -> std::size_t;

/** A job that may migrate, and what it needs in the target cell. */
struct MigratableJob
{
  std::string mId;
  std::int64_t mReservingCpuMillis = 0;
  std::int64_t mBestEffortCpuMillis = 0;
  /** Waiting tasks that reserve CPU, and the most that one of them reserves. */
  std::uint32_t mReservingTasks = 0;
  std::int64_t mLargestTaskCpuMillis = 0;
  /** Its steps with waiting tasks. */
  std::vector<WaitingStep> mWaitingSteps;
  /** Whether workers of its own cell could run the waiting tasks once they are
   * free. */
  bool mCanRunHere = true;
  /** Cells that declined the like of it a short time ago. */
  std::set<std::string> mExcludedCells;
  /** Since its first waiting task became ready. */
  Milliseconds mWaited{ 0 };
};

/** Jobs without any run of which a task has been ready for more than aWait, the
 * one that has waited longest first. */
auto FindMigratable(const CellState& aCell,
                    MonotonicTime aNow,
                    Milliseconds aWait) -> std::vector<MigratableJob>;

/** New jobs whose long-running tasks are in their placement delay. */
auto FindDelayedJobs(const CellState& aCell, MonotonicTime aNow)
  -> std::vector<MigratableJob>;

} // namespace eelgrasspost::cell
