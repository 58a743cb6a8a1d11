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

#include "eelgrasspost/admission/admission.h"
#include "eelgrasspost/cell/cellpolicy.h"
#include "eelgrasspost/cell/celltypes.h"
#include "eelgrasspost/cell/interference.h"
#include "eelgrasspost/cell/jobtypes.h"
#include "eelgrasspost/cell/workertypes.h"

namespace eelgrasspost::cell {

/** Names of failure domains. */
using DomainSet = std::set<std::string, std::less<>>;

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
  /** Failure domains on whose workers nothing is started; see evacuation.h. */
  DomainSet mEvacuatedDomains;
  /** Tasks that found no worker since the first of them was evacuated. */
  std::uint64_t mHeldBackStarts = 0;
  std::set<std::string> mDirty;
  Interference mInterference;
  /** Work that was done lately, in reserved CPU and in what is left over. */
  admission::RateMeter mReservedRate;
  admission::RateMeter mLeftoverRate;
  /** Ratio of actual to estimated run times, by queue. */
  std::map<std::string, double> mRunTimeRatios;
  /** Tasks that may be started once there is room. */
  std::vector<Task*> mReady;
  /** A task became ready since tasks were last placed. */
  bool mHasNewReady = false;
  MonotonicTime mPlacedAt{};
  /** When slow tasks were last looked for. */
  MonotonicTime mSlowTasksSoughtAt{};
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
  /** Tasks for which room was gathered before they were started. */
  std::uint64_t mGatheredStarts = 0;
  /** Second runs of slow tasks, and those of them that were done first. */
  std::uint64_t mDuplicateStarts = 0;
  std::uint64_t mDuplicatesFirst = 0;
  /** Best-effort runs that were paused as their worker did not report. */
  std::uint64_t mUnreportedPauses = 0;
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
/** Marks a job whose state has to be stored. */
auto MarkDirty(CellState& aCell, Job& aJob) -> void;
/** Marks a task whose progress has to be stored. */
auto MarkDirty(CellState& aCell, Task& aTask) -> void;

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
/** Ends up to a number are stored, but those of the given jobs, and may be
 * acknowledged up to the first one that is not. */
auto NoteStoredEnds(Worker& aWorker,
                    std::uint64_t aNumber,
                    const std::set<std::string>& aUnstoredJobs) -> void;
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
  Lateness mLateness = Lateness::InTime;
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
