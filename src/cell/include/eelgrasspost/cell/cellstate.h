#pragma once

#include <map>
#include <memory>
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
  /** Steps before it are not done, or its time has not come. */
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
   * not been heard since; it must not be started before that is settled. */
  bool mMayBeRunning = false;
  std::vector<std::uint64_t> mFailedAttempts;
  std::uint64_t mAttempt = 0;
  std::string mCheckpoint;
  /** The worker of its run; null when it is not placed. */
  Worker* mWorker = nullptr;
  /** The worker on which its last run failed or stood still. */
  std::string mAvoidedWorker;
  /** The cell that runs it, in the phase Remote of an own job. */
  std::string mHostCell;
  MonotonicTime mReadyAt{};
  /** Not before this time; set after a refusal. */
  MonotonicTime mNotBefore{};
};

/** How far a job is from its objective. */
enum class Lateness : std::uint8_t
{
  /** It can still be met. */
  InTime,
  /** It is missed; the job is still worth something. */
  Late,
  /** Three times the objective has passed. */
  Worthless,
};

/** The order in which filling jobs of one priority get room: those in time
 * first, then the ones that need the least work. */
struct JobRank
{
  Lateness mLateness = Lateness::InTime;
  /** Processor seconds that its tasks still need, as estimated. */
  double mWorkLeft = 0;

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
  /** Occurrences that have been opened and those that are done. */
  std::uint32_t mNextOccurrence = 0;
  std::set<std::uint32_t> mOccurrencesDone;
  /** What is decided; shown to callers once it is stored. */
  JobState mState = JobState::Queued;
  bool mIsDirty = false;
  /** It is being handed to another cell; none of its tasks is started. */
  bool mIsMigrating = false;
  /** Tasks started at least once. */
  bool mHasStarted = false;
  MonotonicTime mAddedAt{};
  /** Place in the order of those that wait; see RankJob. */
  JobRank mRank;
  MonotonicTime mRankedAt{};
};

enum class RunPhase : std::uint8_t
{
  /** The start was sent and not answered yet. */
  Starting,
  /** The start got no answer and may be carried out at any time. */
  OutcomeUnknown,
  Running,
  Stopping,
};

/** One run of a task on a worker. It keeps its room until its end is listed or
 * is otherwise certain. */
struct Run
{
  /** Null when the job is no longer known here. */
  Task* mTask = nullptr;
  std::uint64_t mAttempt = 0;
  RunPhase mPhase = RunPhase::Starting;
  Resources mNeed;
  bool mIsBestEffort = false;
  bool mIsLongRunning = false;
  bool mCheckpoints = false;
  std::int64_t mTargetTailMs = 0;
  /** Index in the cell's interference table. */
  std::size_t mImageIndex = 0;
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
  /** Processor share that the worker was told last, and that is wanted. */
  int mCpuShare = 100;
  int mWantedCpuShare = 100;
  bool mCpuShareInFlight = false;
};

struct Worker
{
  WorkerRecord mRecord;
  /** Start of the life that answered last; 0 before the first answer. */
  std::int64_t mIncarnationStartMs = 0;
  /** It has answered under this holder's token: its runs are known. */
  bool mIsKnown = false;
  /** It is being handed to another cell and gets no more starts. */
  bool mIsTransferring = false;
  /** It is in the platform's list. */
  bool mIsListed = true;
  /** Runs by the names of their tasks. */
  std::unordered_map<std::string, Run> mRuns;
  /** What the runs take; filling tasks take memory only. */
  Resources mUsed;
  /** Processor millis that filling tasks would use if they could. */
  std::int64_t mBestEffortCpuMillis = 0;
  std::uint64_t mSeenEnds = 0;
  /** Ends up to here are stored and may be acknowledged. */
  std::uint64_t mStoredEnds = 0;
  std::int64_t mLastClockMs = 0;
  MonotonicTime mLastContact{};
  /** By then every lease that was sent to it has lapsed, should it not
   * answer again. */
  MonotonicTime mLeasesExpiredAt{};
  /** No starts before this time, after an order without an answer. */
  MonotonicTime mSuspectUntil{};
  /** Failed ends in a row, and the time until which it gets no work. */
  std::uint32_t mFailuresInRow = 0;
  std::string mLastFailedJob;
  MonotonicTime mProbationUntil{};
  MonotonicTime mDrainingSince{};
  /** Room that short tasks leave free for a lasting one that waits. */
  std::int64_t mReservedCpuMillis = 0;
  MonotonicTime mReservedUntil{};
  /** A fresh report is needed to settle a stopped run. */
  bool mNeedsPoll = false;
  /** What filling runs would use at full speed, by image. */
  std::vector<ImageUse> mBestEffortUses;
  /** Images of the serving runs, each with the number of its runs. */
  std::vector<std::pair<std::size_t, std::uint32_t>> mServingImages;
  /** Processor millis that serving tasks have reserved. */
  std::int64_t mServingCpuMillis = 0;
  /** What raises its tails besides filling tasks, and when it was learned. */
  WorkerTailOffset mTailOffset;
  MonotonicTime mTailOffsetAt{};
  int mBestEffortCpuShare = 100;
  MonotonicTime mBestEffortCpuShareChangedAt{};
  /** The serving image that was over its target last. */
  std::size_t mOverTargetImage = 0;
  /** Since when filling tasks have been slowed without a break. */
  MonotonicTime mThrottledSince{};
};

/** Figures by which a cell decides. */
struct CellPolicy
{
  /** Longest lease that workers grant, in ms (bound maxHoldMs). */
  std::int64_t mLeaseMs = 6000;
  /** A task whose percentage stands still so long is restarted elsewhere. */
  Milliseconds mStallLimit{ 1500 };
  Milliseconds mLongStallLimit{ 4000 };
  /** A worker without an answer for so long gets no new starts. */
  Milliseconds mSilenceLimit{ 2500 };
  /** Pause after a start was refused. */
  Milliseconds mRefusalPause{ 100 };
  Milliseconds mStopRetry{ 600 };
  /** Failed ends in a row, of more than one job, that begin a probation. */
  std::uint32_t mProbationFailures = 3;
  Milliseconds mProbation{ 3000 };
  /** Decisions may be this early for scheduled occurrences. */
  std::int64_t mEarlyMs = 0;
  /** New lasting tasks wait so long before they are placed: what comes with
   * them is known then, and jobs can go to an emptier cell. */
  Milliseconds mPlacementDelay{ 0 };
};

/** A group of workers of one failure domain and the jobs on them. */
struct CellState
{
  std::string mName;
  CellPolicy mPolicy;
  /** High part of the attempt numbers of this holder. */
  std::uint64_t mAttemptBase = 0;
  std::uint64_t mNextAttempt = 1;
  std::unordered_map<std::string, std::unique_ptr<Job>> mJobs;
  std::map<std::string, std::unique_ptr<Worker>> mWorkers;
  /** Workers that the previous holder used and that have not been settled. */
  std::set<std::string> mUnreconciledWorkers;
  std::set<std::string> mDirty;
  Interference mInterference;
  /** Tasks that may be started once there is room. */
  std::vector<Task*> mReady;
  /** A task became ready since room was last looked for. */
  bool mHasNewReady = false;
  MonotonicTime mPlacedAt{};
  /** When a caller's job was taken in last. */
  MonotonicTime mLastNewJobAt{};
  /** Decisions since they were last taken for the log; bounded. */
  std::vector<CellEvent> mEvents;
  /** Counts for the metrics. */
  std::uint64_t mStarts = 0;
  std::uint64_t mEndsDone = 0;
  std::uint64_t mEndsFailed = 0;
  std::uint64_t mEndsLost = 0;
  std::uint64_t mStalls = 0;
};

/** Adds a decision to those for the log. */
auto AddEvent(CellState& aCell, CellEvent aNote) -> void;

/** Writes "ID.OCCURRENCE.STEP.INDEX". */
auto TaskName(const Task& aTask) -> std::string;

/** Takes a stored job in. aInherited: a previous holder may have runs of it. */
auto AddJob(CellState& aCell,
            StoredJob aJob,
            const JobProgress& aProgress,
            bool aInherited,
            MonotonicTime aNow,
            std::int64_t aWallMs) -> Job&;
/** Whether a job is another cell's, of which some tasks run here. */
inline auto IsHostedJob(const Job& aJob) -> bool
{
  return !aJob.mStored.mHostedTasks.empty();
}

/** Hands a task that waits here to another cell for good. */
auto MoveTaskToHost(CellState& aCell, Task& aTask, const std::string& aHost)
  -> void;
/** The cells that run tasks of a job as guests, and which. */
auto RemoteTasksByHost(const Job& aJob)
  -> std::map<std::string, std::vector<TaskPlace>>;
/** Takes in which tasks of another cell's job are to run here. */
auto SetHostedTasks(CellState& aCell,
                    Job& aJob,
                    std::vector<TaskPlace> aTasks,
                    MonotonicTime aNow) -> void;

/** Whether a usable worker has room for a lasting task; keeps it for a while.
 */
auto ReserveCapacity(CellState& aCell,
                     const std::string& aService,
                     const Resources& aNeed,
                     MonotonicTime aNow) -> bool;

/** Forgets a job; what runs of it is stopped. */
auto RemoveJob(CellState& aCell, const std::string& aId) -> void;
auto FindJob(CellState& aCell, const std::string& aId) -> Job*;
/** Finds a task by its name; null when it is not known here. */
auto FindTask(CellState& aCell, std::string_view aName) -> Task*;

/** Ranks a job among those that wait for room. */
auto RankJob(const Job& aJob, MonotonicTime aNow) -> JobRank;

/** Opens occurrences whose time has come. */
auto OpenDueOccurrences(CellState& aCell,
                        MonotonicTime aNow,
                        std::int64_t aWallMs) -> void;

/** The platform's list shows a worker, new or changed. */
auto UpdateWorker(CellState& aCell,
                  const WorkerRecord& aRecord,
                  MonotonicTime aNow) -> Worker&;
/** The list no longer shows a worker. */
auto UnlistWorker(CellState& aCell, const std::string& aId) -> void;
/** The life that ran here is over: none of its runs exists any longer. */
auto DropWorkerRuns(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
  -> void;

/** Takes a report in. aSentAt: when the look was sent. */
auto ApplyReport(CellState& aCell,
                 Worker& aWorker,
                 const WorkerReport& aReport,
                 MonotonicTime aSentAt,
                 MonotonicTime aNow) -> void;
/** Takes the outcome of an order in. */
auto ApplyOutcome(CellState& aCell,
                  const Order& aOrder,
                  OrderOutcome aOutcome,
                  MonotonicTime aNow) -> void;

/** Orders that are due now; each counts as sent. */
auto CollectOrders(CellState& aCell, MonotonicTime aNow) -> std::vector<Order>;

/** Settles workers that have been silent beyond every lease. */
auto ExpireWorkers(CellState& aCell, MonotonicTime aNow) -> void;

/** Asks to stop runs that stand still or whose worker is leaving. */
auto CheckRuns(CellState& aCell, MonotonicTime aNow) -> void;

/** What of a job has to be stored. */
auto ProgressOf(const Job& aJob) -> JobProgress;

/** Jobs of a queue of which no task has started. */
auto CountPending(const CellState& aCell, std::string_view aQueue)
  -> std::size_t;

/** Lasting tasks that have waited for room so long. */
auto FindStarved(const CellState& aCell, MonotonicTime aNow, Milliseconds aWait)
  -> std::vector<const Task*>;

/** A worker that can be given away: nothing lasting runs on it, and it holds
 * aNeed; null when there is none. */
auto FindTransferable(CellState& aCell,
                      const std::string& aService,
                      const Resources& aNeed,
                      MonotonicTime aNow) -> Worker*;

/** Gives a worker no more starts and stops its filling runs. */
auto PrepareTransfer(Worker& aWorker) -> void;

/** What a job that may move to another cell needs there. */
struct MigratableJob
{
  std::string mId;
  std::int64_t mReservingCpuMillis = 0;
  std::int64_t mBestEffortCpuMillis = 0;
};

/** Jobs without any run of which a task has waited for room so long; the one
 * that waits longest first. */
auto FindMigratable(const CellState& aCell,
                    MonotonicTime aNow,
                    Milliseconds aWait) -> std::vector<MigratableJob>;

/** Lasting jobs of which no task has been placed yet. */
auto FindDelayedJobs(const CellState& aCell, MonotonicTime aNow)
  -> std::vector<MigratableJob>;

/** Room of the usable workers of a cell. */
struct CellRoom
{
  Resources mFree;
  /** Most processor millis that are free on one worker. */
  std::int64_t mLargestCpuMillis = 0;
  std::int64_t mCapacityCpuMillis = 0;
  /** Processor millis that filling tasks want, placed or not. */
  std::int64_t mBestEffortCpuMillis = 0;
  /** Processor millis that are left for filling tasks. */
  std::int64_t mLeftoverCpuMillis = 0;
  /** What tasks want that wait for room. */
  std::int64_t mWaitingCpuMillis = 0;
};
auto RoomOf(const CellState& aCell, MonotonicTime aNow) -> CellRoom;

} // namespace eelgrasspost::cell
