#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/cell/ordertypes.h"
#include "eelgrasspost/net/address.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::cell {

using base::Milliseconds;
using base::MonotonicTime;
using platform::Resources;

/** What the tasks of one step need and how they may be placed. */
struct StepSpec
{
  std::uint32_t mCount = 0;
  Resources mNeed;
  /** The submitter's estimate of a task's run time. */
  std::int64_t mEstimatedMs = 0;
  /** Earlier steps that must be done first. */
  std::vector<std::uint32_t> mAfter;
  bool mCheckpoints = false;
  /** All tasks run together and end together. */
  bool mIsGang = false;
  /** The gang runs slower when it spans racks. */
  bool mPrefersOneRack = false;
  std::string mRequiredLabel;
  /** The rack that holds the data; empty when there is none. */
  std::string mDataRack;
  /** Maximum number of tasks of the step on one worker; 0 is no limit. */
  std::uint32_t mMaxPerWorker = 0;
  bool mAllowsDuplicates = false;
  /** Runs until the job is cancelled and is restarted whenever it ends. */
  bool mIsLongRunning = false;
  /** Tasks of one image share their interference estimates. */
  std::string mImage;
  /** Tail latency target of a serving task; 0 for other tasks. */
  std::int64_t mTargetTailMs = 0;
  /** Uses only CPU time that other tasks leave over; reserves no CPU. */
  bool mIsBestEffort = false;
  /** Maximum number of tasks that the scheduler may interrupt at one time. */
  std::uint32_t mMaxUnavailable = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCount, mNeed, mEstimatedMs, mAfter, mCheckpoints, mIsGang);
    archive(mPrefersOneRack, mRequiredLabel, mDataRack, mMaxPerWorker);
    archive(mAllowsDuplicates, mIsLongRunning, mImage, mTargetTailMs);
    archive(mIsBestEffort, mMaxUnavailable);
  }
};

/** A job as it was submitted. */
struct JobSpec
{
  std::string mId;
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  /** Occurrences of a scheduled job; 0 for a job that runs once, at once. */
  std::uint32_t mRepeatCount = 0;
  /** Wall-clock time of the first occurrence, in ms since the Unix epoch. */
  std::int64_t mFirstStartMs = 0;
  std::int64_t mIntervalMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mId, mPayload, mSteps, mRepeatCount, mFirstStartMs, mIntervalMs);
  }
};

/** Whether some tasks of a job run until it is cancelled. */
inline auto IsLongRunning(const JobSpec& aJob) -> bool
{
  return std::any_of(
    aJob.mSteps.begin(), aJob.mSteps.end(), [](const StepSpec& aStep) {
      return aStep.mIsLongRunning;
    });
}

/** Timing of the answers of a queue's placement adviser. */
struct AdviceTerms
{
  std::int64_t mDecideMs = 0;
  std::int64_t mPerWorkerMs = 0;
  std::int64_t mValidMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mDecideMs, mPerWorkerMs, mValidMs);
  }
};

/** A queue of the configuration: where its jobs run, and their objective. */
struct Queue
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  std::string mService;
  /** 0 is the most urgent. */
  std::int64_t mPriority = 0;
  std::int64_t mMaxAttempts = 1;
  /** The objective is the length of the critical path times mStretch, plus
   * mExtraMs. */
  double mStretch = 1.0;
  std::int64_t mExtraMs = 0;
  std::int64_t mTimeoutMs = 0;
  std::optional<AdviceTerms> mAdvice;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mHost, mPathPrefix, mService, mPriority, mMaxAttempts);
    archive(mStretch, mExtraMs, mTimeoutMs, mAdvice);
  }
};

enum class JobState : std::uint8_t
{
  Queued,
  Running,
  Done,
  Failed,
  Cancelled,
};

inline constexpr auto kJobStateNames = std::array{
  base::EnumName<JobState>{ JobState::Queued, "queued" },
  base::EnumName<JobState>{ JobState::Running, "running" },
  base::EnumName<JobState>{ JobState::Done, "done" },
  base::EnumName<JobState>{ JobState::Failed, "failed" },
  base::EnumName<JobState>{ JobState::Cancelled, "cancelled" },
};

inline auto IsFinal(JobState aState) -> bool
{
  return aState == JobState::Done || aState == JobState::Failed ||
         aState == JobState::Cancelled;
}

/** Position of a task in its job. */
struct TaskPosition
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;

  auto operator<=>(const TaskPosition&) const = default;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mOccurrence, mStep, mIndex);
  }
};

/** A step of a job of which tasks wait. */
struct WaitingStep
{
  std::uint32_t mStep = 0;
  std::uint32_t mTasks = 0;

  auto operator==(const WaitingStep&) const -> bool = default;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mStep, mTasks);
  }
};

/** An accepted job as it is stored. */
struct StoredJob
{
  JobSpec mSpec;
  Queue mQueue;
  /** Wall-clock time of the acceptance, in ms since the Unix epoch. */
  std::int64_t mAcceptedMs = 0;
  /** The long-running tasks that this cell runs of another cell's job. Empty
   * for a cell's own jobs. */
  std::vector<TaskPosition> mHostedTasks;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mSpec, mQueue, mAcceptedMs, mHostedTasks);
  }
};

/** Workers that crashed shortly after they were told to start a task. */
struct CrashCount
{
  /** Workers that confirmed the start and crashed, alone, within the crash
   * window. */
  std::uint32_t mConfirmed = 0;
  /** Workers that may well have crashed for another reason. */
  std::uint32_t mUnconfirmed = 0;

  auto operator==(const CrashCount&) const -> bool = default;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mConfirmed, mUnconfirmed);
  }
};

/** Stored progress of a task that is no longer in its initial state. */
struct TaskProgress
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  bool mIsDone = false;
  /** Attempts whose failures are counted. The numbers are kept, as workers list
   * an end until it is acknowledged, also to the next holder, and in any
   * order. */
  std::vector<std::uint64_t> mFailedAttempts;
  std::string mCheckpoint;
  /** The host cell of a remote task; empty when the job's own cell runs it. */
  std::string mHostCell;
  /** Stored before the task is started again. */
  CrashCount mCrashes;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mOccurrence, mStep, mIndex, mIsDone, mFailedAttempts);
    archive(mCheckpoint, mHostCell, mCrashes);
  }
};

/** The tasks of a step that are done. */
struct DoneTasks
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  /** A bit for each task, the lowest of each byte first; empty if all are done.
   */
  std::string mBits;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mOccurrence, mStep, mBits);
  }
};

/** Successive occurrences of which all tasks are done. */
struct DoneOccurrences
{
  std::uint32_t mFirst = 0;
  std::uint32_t mCount = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mFirst, mCount);
  }
};

/** Stored progress of a job; written before ends are acknowledged. A row of the
 * store holds it, so tasks that are done take a bit each. */
struct JobProgress
{
  std::vector<TaskProgress> mTasks;
  std::vector<DoneTasks> mDoneTasks;
  std::vector<DoneOccurrences> mDoneOccurrences;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTasks, mDoneTasks, mDoneOccurrences);
  }
};

enum class WorkerState : std::uint8_t
{
  Ready,
  Draining,
};

/** A worker as the platform lists it. */
struct WorkerRecord
{
  std::string mId;
  /** Start of this incarnation, in ms since the Unix epoch; 0 when the list
   * does not contain it. */
  std::int64_t mIncarnationStartMs = 0;
  std::string mService;
  net::Address mAddress;
  std::string mDomain;
  WorkerState mState = WorkerState::Ready;
  Resources mCapacity;
  std::vector<std::string> mLabels;
  /** Minimum time until a draining worker leaves. */
  std::int64_t mRemainingMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(
      mId, mIncarnationStartMs, mService, mAddress, mDomain, mState, mCapacity);
    archive(mLabels, mRemainingMs);
  }
};

/** How current the cell's knowledge of the platform's list of workers is. */
enum class WorkerListState : std::uint8_t
{
  Current,
  /** The list cannot be read; a capacity may have been reduced since. */
  Outdated,
  /** The list has not been read for long, and whether it can be read is not
   * known yet. */
  Unconfirmed,
};

inline constexpr auto kWorkerListStateNames = std::array{
  base::EnumName<WorkerListState>{ WorkerListState::Current, "current" },
  base::EnumName<WorkerListState>{ WorkerListState::Outdated, "outdated" },
  base::EnumName<WorkerListState>{ WorkerListState::Unconfirmed,
                                   "unconfirmed" },
};

enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  Lapsed,
  /** Another member of the gang ended. */
  GangBroken,
  /** The other members of the gang did not start in time. */
  GangAlone,
};

/** A task that a worker lists as running. */
struct RunningRow
{
  std::string mTask;
  std::uint64_t mAttempt = 0;
  std::string mCheckpoint;
  double mPercent = 0;
  /** Tail latency in ms of a serving task, CPU millis used by another task. */
  double mLoad = 0;
};

/** An end that a worker lists until it is acknowledged. */
struct EndRow
{
  std::uint64_t mNumber = 0;
  std::string mTask;
  std::uint64_t mAttempt = 0;
  EndKind mKind = EndKind::Failed;
  std::string mCheckpoint;
};

/** What a worker answers to a renewal of its lease. */
struct WorkerReport
{
  std::int64_t mIncarnationStartMs = 0;
  std::int64_t mClockMs = 0;
  std::vector<RunningRow> mRunning;
  std::vector<EndRow> mEnds;
  /** More ends may be listed once these are acknowledged. */
  bool mMayHaveMoreEnds = false;
};

enum class CellEventKind : std::uint8_t
{
  TaskPlaced,
  OrderFailed,
  RunEnded,
  RunStopped,
  RunsLost,
  WorkerOnProbation,
  CpuShareChanged,
  JobEnded,
  WorkerReconciled,
  ForeignRunFound,
  CapacityChanged,
  CrashCounted,
  EndWithoutJob,
  ReservationDisplaced,
  GatheredTaskStarted,
  TaskDuplicated,
};

/** What a long-running task needs of a worker. */
struct LongRunningNeed
{
  std::string mTask;
  std::string mService;
  Resources mResources;
  /** Empty if any worker suits. */
  std::string mRequiredLabel;
  /** Maximum number of tasks of its step on one worker; 0: no limit. */
  std::uint32_t mMaxPerWorker = 0;
  /** It has run before, or may have. */
  bool mIsRestart = false;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTask, mService, mResources, mRequiredLabel, mMaxPerWorker);
    archive(mIsRestart);
  }
};

/** Why the runs on a worker are considered ended. */
enum class RunsLostReason : std::uint8_t
{
  /** A new incarnation of the worker has replied. */
  NewIncarnationReplied,
  /** Another worker has replied at its address. */
  AddressReused,
  LeaseExpired,
};

inline constexpr auto kRunsLostReasonNames = std::array{
  base::EnumName<RunsLostReason>{ RunsLostReason::NewIncarnationReplied,
                                  "new_incarnation_replied" },
  base::EnumName<RunsLostReason>{ RunsLostReason::AddressReused,
                                  "address_reused" },
  base::EnumName<RunsLostReason>{ RunsLostReason::LeaseExpired,
                                  "lease_expired" },
};

/** A decision of a cell or a change that it observed, for the log. */
struct CellEvent
{
  CellEventKind mKind = CellEventKind::TaskPlaced;
  /** Name of the task, or id of the job. */
  std::string mSubject;
  std::string mWorker;
  std::uint64_t mAttempt = 0;
  std::string_view mReason;
  /** Value behind the decision; its meaning depends on the kind and reason. */
  double mValue = 0;
  /** Time since the worker, or the last run of the task, was heard of; only for
   * a worker that does not reply and for a task whose run was lost. */
  std::optional<Milliseconds> mSinceContact;
  /** What the worker or the connection gave as the reason, if anything. */
  std::string mDetail;
};

inline constexpr auto kEndKindNames = std::array{
  base::EnumName<EndKind>{ EndKind::Done, "done" },
  base::EnumName<EndKind>{ EndKind::Failed, "failed" },
  base::EnumName<EndKind>{ EndKind::Stopped, "stopped" },
  base::EnumName<EndKind>{ EndKind::Lapsed, "lapsed" },
  base::EnumName<EndKind>{ EndKind::GangBroken, "gang_broken" },
  base::EnumName<EndKind>{ EndKind::GangAlone, "gang_alone" },
};

} // namespace eelgrasspost::cell
