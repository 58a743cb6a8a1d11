#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

auto NeedOf(const Task& aTask) -> LongRunningNeed;

/** Reserves capacity for a long-running task of another cell on a usable
 * worker, for a limited time; false when no worker can hold it. A restart may
 * displace incomplete reservations. aMayWait: also where it has room only after
 * short tasks have ended. */
auto ReserveCapacity(CellState& aCell,
                     const LongRunningNeed& aNeed,
                     bool aMayWait,
                     MonotonicTime aNow) -> bool;

/** Removes reservations that have lapsed or exceed the worker's capacity. */
auto RemoveExpiredReservations(CellState& aCell, MonotonicTime aNow) -> void;
/** The worker on which capacity is reserved for a task; null if there is none.
 */
auto FindReservedWorker(CellState& aCell,
                        const std::string& aTask,
                        MonotonicTime aNow) -> Worker*;

/** Times since the list of workers was last known to be complete, and since the
 * last call was sent that failed to read it. */
struct WorkerListAge
{
  Milliseconds mSinceConfirmed{ 0 };
  Milliseconds mSinceFailedCall{ 0 };
};
/** aMaxAge: age from which a capacity may have been reduced for too long.
 * aMaxFailureAge: how long a failed call shows that the list is unavailable. */
auto ClassifyWorkerList(const WorkerListAge& aAge,
                        Milliseconds aMaxAge,
                        Milliseconds aMaxFailureAge) -> WorkerListState;

/** Long-running tasks that have been ready for more than aWait. */
auto FindStarved(const CellState& aCell, MonotonicTime aNow, Milliseconds aWait)
  -> std::vector<const Task*>;

/** Why a long-running task that is ready is not started. */
enum class WaitReason : std::uint8_t
{
  /** A previous holder may have started it. */
  MayBeRunning,
  /** Its job migrates, or the outcome of a migration is not known. */
  JobMigrates,
  /** It is being returned to the cell that owns it. */
  Returns,
  /** Crashes under it are not stored yet. */
  CrashesUnstored,
  /** A worker refused to start it a moment ago. */
  StartRefused,
  /** A worker still has an earlier run of it. */
  EarlierRunStops,
  /** No worker of its service could hold it, even without short tasks. */
  NoRoom,
  /** The resources are reserved on a worker and not free there yet. */
  RoomReserved,
  /** Workers with the resources don't suit for another reason. */
  NoSuitableWorker,
};

inline constexpr auto kWaitReasonNames = std::array{
  base::EnumName<WaitReason>{ WaitReason::MayBeRunning, "may_be_running" },
  base::EnumName<WaitReason>{ WaitReason::JobMigrates, "job_migrates" },
  base::EnumName<WaitReason>{ WaitReason::Returns, "returns" },
  base::EnumName<WaitReason>{ WaitReason::CrashesUnstored, "crashes_unstored" },
  base::EnumName<WaitReason>{ WaitReason::StartRefused, "start_refused" },
  base::EnumName<WaitReason>{ WaitReason::EarlierRunStops,
                              "earlier_run_stops" },
  base::EnumName<WaitReason>{ WaitReason::NoRoom, "no_room" },
  base::EnumName<WaitReason>{ WaitReason::RoomReserved, "room_reserved" },
  base::EnumName<WaitReason>{ WaitReason::NoSuitableWorker,
                              "no_suitable_worker" },
};

struct WaitingTask
{
  const Task* mTask = nullptr;
  WaitReason mReason = WaitReason::NoRoom;
  Milliseconds mWaited{ 0 };
  /** The worker on which capacity is reserved for it; null if there is none. */
  const Worker* mReservedOn = nullptr;
  Milliseconds mReservedFor{ 0 };
  /** CPU millis that other tasks have reserved on that worker. */
  std::int64_t mReservedForOthersCpuMillis = 0;
};
/** All long-running tasks that have been ready for more than aWait, also those
 * that may not be started. */
auto FindWaiting(const CellState& aCell, MonotonicTime aNow, Milliseconds aWait)
  -> std::vector<WaitingTask>;

/** Why nothing is started on a worker, whatever is free there. */
enum class WorkerExclusion : std::uint8_t
{
  None,
  /** It has not reported to this holder. */
  NotKnown,
  Unlisted,
  Transferring,
  /** Its failure domain is being evacuated. */
  Evacuated,
  MayHaveRestarted,
  Draining,
  /** A start was refused or not answered a moment ago. */
  StartFailed,
  Probation,
  Silent,
  /** It has a run whose need is not known. */
  RunOfUnknownNeed,
};

inline constexpr auto kWorkerExclusionNames = std::array{
  base::EnumName<WorkerExclusion>{ WorkerExclusion::None, "none" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::NotKnown, "not_known" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::Unlisted, "unlisted" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::Transferring,
                                   "transferring" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::Evacuated, "evacuated" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::MayHaveRestarted,
                                   "may_have_restarted" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::Draining, "draining" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::StartFailed,
                                   "start_failed" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::Probation, "probation" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::Silent, "silent" },
  base::EnumName<WorkerExclusion>{ WorkerExclusion::RunOfUnknownNeed,
                                   "run_of_unknown_need" },
};

/** Free resources of a worker, and what keeps tasks from them. */
struct FreeCapacity
{
  const Worker* mWorker = nullptr;
  /** Not used by runs; may be reserved. */
  Resources mFree;
  Resources mReserved;
  /** The task that has reserved capacity for longest; empty if there is none.
   */
  std::string mReservedFor;
  Milliseconds mReservedTime{ 0 };
  /** CPU millis that this task still lacks on the worker. */
  std::int64_t mMissingCpuMillis = 0;
  WorkerExclusion mExclusion = WorkerExclusion::None;
};
/** The workers with free CPU: those that may get tasks first, and those with
 * more of it first. */
auto FindFreeCapacity(const CellState& aCell, MonotonicTime aNow)
  -> std::vector<FreeCapacity>;

/** The least used worker that has no long-running run and the capacity for
 * aNeed; null when there is none. */
auto FindTransferable(CellState& aCell,
                      const std::string& aService,
                      const Resources& aNeed,
                      MonotonicTime aNow) -> Worker*;

/** Ends starts on a worker and requests that its best-effort runs are stopped.
 */
auto PrepareTransfer(Worker& aWorker) -> void;

/** Sizes of tasks, in CPU millis, for which the number of tasks that could be
 * started is counted. */
inline constexpr auto kTaskSizes =
  std::array<std::int64_t, 10>{ 500,  1000, 2000, 3000,  4000,
                                5000, 6500, 9000, 12000, 16000 };
/** Number of tasks of each size. */
using TaskCounts = std::array<std::uint16_t, kTaskSizes.size()>;

/** Capacity and demand of a cell, over its usable workers. */
struct CellRoom
{
  /** Unreserved resources, less what waiting tasks need. */
  Resources mFree;
  /** Largest unreserved CPU millis of one worker. */
  std::int64_t mLargestCpuMillis = 0;
  /** Largest CPU millis of one worker for a long-running task that has lost its
   * run, before which incomplete reservations give way. */
  std::int64_t mLargestForRestartCpuMillis = 0;
  /** Largest CPU millis that one worker has for a long-running task once its
   * short tasks have ended. */
  std::int64_t mLargestReservableCpuMillis = 0;
  std::int64_t mCapacityCpuMillis = 0;
  /** CPU millis that best-effort tasks want, placed or not. */
  std::int64_t mBestEffortCpuMillis = 0;
  /** CPU millis that are left over for best-effort tasks. */
  std::int64_t mLeftoverCpuMillis = 0;
  /** CPU millis that waiting tasks need. */
  std::int64_t mWaitingCpuMillis = 0;
  /** Tasks of each size that could be started at once. */
  TaskCounts mStartable{};
};
/** The number of tasks with the given need of which aCounts has room; tasks
 * larger than all sizes have none. */
auto CountStartable(const TaskCounts& aCounts, std::int64_t aCpuMillis)
  -> std::uint16_t;
auto RoomOf(const CellState& aCell, MonotonicTime aNow) -> CellRoom;

/** Whether the cell's workers could run a step once they are free: those of the
 * service that have its label hold one of its tasks, or all members of a gang
 * at the same time. A worker that is listed and does not reply counts. */
auto CanRunStep(const CellState& aCell,
                const std::string& aService,
                const StepSpec& aStep) -> bool;
/** Whether the cell could run all steps of a job; see CanRunStep. */
auto CanRunJob(const CellState& aCell, const StoredJob& aJob) -> bool;
/** Whether the cell could run all the given steps; see CanRunStep. */
auto CanRunSteps(const CellState& aCell,
                 const StoredJob& aJob,
                 const std::vector<WaitingStep>& aSteps) -> bool;
/** Whether usable workers have room now for the tasks of the given steps: for
 * all of them where a step restricts the workers that may run it, otherwise for
 * one. Best-effort steps need none. */
auto HasRoomForSteps(const CellState& aCell,
                     const StoredJob& aJob,
                     const std::vector<WaitingStep>& aSteps,
                     MonotonicTime aNow) -> bool;

} // namespace eelgrasspost::cell
