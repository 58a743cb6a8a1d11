#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <cereal/types/array.hpp>

#include "eelgrasspost/cell/progresspieces.h"
#include "eelgrasspost/cell/room.h"
#include "eelgrasspost/dispatch/iplatform.h"

namespace eelgrasspost::dispatch {

/** Settings of an entry, read from the settings file. */
struct DispatchSettings
{
  std::string mName;
  /** Failure domain of the entry. */
  std::string mDomain;
  /** Processor cores that the entry may use. */
  double mCpuShare = 1;
  /** Address for callers. */
  net::Address mHttp;
  /** Address that the load balancer probes. */
  net::Address mReadiness;
  /** TCP and UDP address for other entries. */
  net::Address mPeers;
  net::Address mMetrics;
  net::Address mStore;
  /** Transactions per second that the store accepts from all entries. */
  double mStoreWritesPerS = 600;
  /** Transactions per second that one partition of the store accepts. */
  double mStorePartitionWritesPerS = 150;
  /** Largest value of a row of the store, in bytes. */
  std::int64_t mStoreRowBytes = 65536;
  // Time limits that the platform sets, in milliseconds.
  /** Longest lease that a worker grants. */
  std::int64_t mLeaseMs = 6000;
  /** How long before its due time a scheduled occurrence may start. */
  std::int64_t mEarlyMs = 250;
  /** How long best-effort tasks may keep a serving task's tail over its target.
   */
  std::int64_t mHarmMs = 4000;
  /** Time between the stop signal to this entry and its kill. */
  std::int64_t mGracePeriodMs = 6000;
  /** Time after which no more tasks start on a draining worker. */
  std::int64_t mDrainMs = 2000;
  /** Time after its heartbeat from which a worker's reduced capacity must not
   * be exceeded. */
  std::int64_t mCapacityMs = 3000;
  /** Time within which a request to evacuate a failure domain has to be in
   * force; 0 if such requests are not followed. */
  std::int64_t mEvacuationMs = 0;
  /** Room is gathered for large tasks that wait. */
  bool mLooksAhead = false;
  /** Slow tasks get a second run where their step allows it. */
  bool mStartsDuplicates = false;
  /** Work that a stop of a best-effort task may discard, if it saves
   * checkpoints; 0: whether a move is worth that is not weighed. */
  std::int64_t mCheckpointMs = 0;
  /** Time that a resumed task needs before it does work. */
  std::int64_t mRestoreMs = 0;
  /** Jobs that no cell could do while they are of use are refused. */
  bool mHasAdmission = false;
  /** Jobs go, and waiting ones move, to the cell with the least expected wait.
   */
  bool mHasOverflow = false;
  /** Time before a caller's deadline at which the outcome of a submission
   * without a reply is settled in the store; 0 if it stays unknown. */
  std::int64_t mSettleMs = 0;
  /** How long the state of a finished job is kept. */
  std::int64_t mStatusRetentionMs = 120000;
};

/** State and free capacity of a cell, as its holder reports them. */
struct CellStatus
{
  std::string mName;
  std::uint64_t mToken = 0;
  bool mIsActive = false;
  /** An evacuation leaves it no worker that may start anything. */
  bool mIsClosed = false;
  std::int64_t mFreeCpuMillis = 0;
  std::int64_t mFreeMemoryMb = 0;
  std::int64_t mCapacityCpuMillis = 0;
  /** Demand of best-effort tasks, and unused CPU available to them. */
  std::int64_t mBestEffortCpuMillis = 0;
  std::int64_t mLeftoverCpuMillis = 0;
  /** Demand of tasks that wait for free capacity. */
  std::int64_t mWaitingCpuMillis = 0;
  /** Largest free CPU on a single worker. */
  std::int64_t mLargestCpuMillis = 0;
  /** Largest CPU on a single worker that a long-running task which has lost its
   * run can have at once, as incomplete reservations give way to it. */
  std::int64_t mLargestForRestartCpuMillis = 0;
  /** Largest CPU on a single worker that a long-running task can have once the
   * short tasks there have ended. */
  std::int64_t mLargestReservableCpuMillis = 0;
  /** Tasks of each size that could be started at once. */
  cell::TaskCounts mStartable{};
  /** Empty unless the holder's settings have admission or overflow. */
  admission::CellLoad mLoad;
  /** What was sent to the cell and may be missing in its load; not sent. */
  std::vector<admission::Backlog> mSentBacklogs;
  /** Since the holder reported this; not sent. */
  Milliseconds mAge{ 0 };

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mToken, mIsActive, mIsClosed, mLargestCpuMillis);
    archive(mLargestForRestartCpuMillis, mLargestReservableCpuMillis);
    archive(mStartable);
    archive(mFreeCpuMillis, mFreeMemoryMb, mCapacityCpuMillis);
    archive(mBestEffortCpuMillis, mLeftoverCpuMillis, mWaitingCpuMillis);
    archive(mLoad);
  }
};

/** Number of jobs of one queue in one cell that have not started yet. */
struct PendingCount
{
  /** Position of the cell in the heartbeat. */
  std::uint16_t mCell = 0;
  std::uint64_t mQueueHash = 0;
  std::uint32_t mCount = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCell, mQueueHash, mCount);
  }
};

/** Estimated interference of one best-effort image with one serving image, and
 * what its sender has learned about it since it last sent the pair. */
struct InterferenceEstimate
{
  std::string mBestEffortImage;
  std::string mServingImage;
  float mPressure = 0;
  float mVariance = 0;
  float mLearnedPrecision = 0;
  float mLearnedWeightedPressure = 0;
  float mLearnedMinVariance = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mBestEffortImage, mServingImage, mPressure, mVariance);
    archive(mLearnedPrecision, mLearnedWeightedPressure, mLearnedMinVariance);
  }
};

/** A claim of a cell on which its holder no longer acts. */
struct EndedClaim
{
  /** Version of the cell's row by which it was made. */
  std::uint64_t mVersion = 0;
  /** Time since the last order or renewal under it. */
  std::int64_t mSinceLastOrderMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mVersion, mSinceLastOrderMs);
  }
};

/** What is known of the operator's requests to evacuate a failure domain. The
 * versions are those of the store, so the newest of several notices holds. */
struct EvacuationNotice
{
  std::string mDomain;
  /** Version at which the newest request was written. */
  std::uint64_t mRequestedAt = 0;
  /** Version at which no request existed any more. */
  std::uint64_t mWithdrawnAt = 0;

  auto operator==(const EvacuationNotice&) const -> bool = default;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mDomain, mRequestedAt, mWithdrawnAt);
  }
};

/** Tells that the platform lists a worker as draining. */
struct DrainNotice
{
  std::string mWorker;
  std::int64_t mIncarnationStartMs = 0;
  /** Version of the store at which the worker's row was written. */
  std::uint64_t mVersion = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mWorker, mIncarnationStartMs, mVersion);
  }
};

/** Datagram that an entry sends to its peers periodically. */
struct Heartbeat
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::string mDomain;
  net::Address mPeers;
  double mCpuShare = 1;
  bool mIsLeaving = false;
  bool mReachesStore = false;
  std::vector<CellStatus> mCells;
  /** Those of the queues whose hashes are in the range below. A queue of the
   * range that is not listed has no waiting jobs. */
  std::vector<PendingCount> mPending;
  std::uint64_t mFirstQueueHash = 0;
  std::uint64_t mLastQueueHash = std::numeric_limits<std::uint64_t>::max();
  /** A subset of the estimates; successive heartbeats cycle through all. */
  std::vector<InterferenceEstimate> mEstimates;
  /** Its own claims that have ended a short time ago. */
  std::vector<EndedClaim> mEndedClaims;
  /** For entries whose view of the operator's requests is older. */
  std::vector<EvacuationNotice> mEvacuations;
  /** For holders whose view of the platform's list of workers is older. */
  std::vector<DrainNotice> mDraining;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mIncarnation, mDomain, mPeers, mCpuShare);
    archive(mIsLeaving, mReachesStore);
    archive(mCells, mPending, mFirstQueueHash, mLastQueueHash);
    archive(mEstimates, mEndedClaims, mEvacuations);
    archive(mDraining);
  }
};

/** Control table row of an entry. */
struct EntryRow
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::string mDomain;
  net::Address mPeers;
  /** Processor cores that the entry may use. */
  double mCpuShare = 1;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mIncarnation, mDomain, mPeers, mCpuShare);
  }
};

/** Control table row of a cell; names its current holder. */
struct CellRow
{
  std::string mName;
  std::string mDomain;
  /** Empty after the last holder has released the cell. */
  std::string mHolder;
  std::uint64_t mHolderIncarnation = 0;
  /** Incremented by each claim; forms the upper digits of attempt numbers. */
  std::uint64_t mTerm = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mDomain, mHolder, mHolderIncarnation, mTerm);
  }
};

/** Control table row of a failure domain; holds its number of cells. */
struct LayoutRow
{
  std::string mDomain;
  std::uint32_t mCells = 1;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mDomain, mCells);
  }
};

/** Control table row that holds the number of partitions over which the rows of
 * jobs are spread. It does not change once jobs are stored. */
struct PartitionsRow
{
  std::uint32_t mCount = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCount);
  }
};

/** Row that makes a job's id unique and keeps its last stored state. */
struct JobIdRow
{
  /** Empty for a job that was cancelled before it was accepted, and for one
   * that was withheld: submissions that were under way when this row was
   * written are not accepted any more. */
  std::string mCell;
  cell::JobState mState = cell::JobState::Queued;
  std::int64_t mChangedMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCell, mState, mChangedMs);
  }
};

inline auto IsWithheld(const JobIdRow& aRow) -> bool
{
  return aRow.mCell.empty() && !cell::IsFinal(aRow.mState);
}

enum class JobCommandKind : std::uint8_t
{
  Submit,
  GetState,
  Cancel,
  /** Migrates a job from another cell into this one. */
  ImportJob,
  /** Transfers a worker without reserving runs to another cell. */
  TransferWorker,
  /** Reserves capacity for a long-running task of another cell's job. */
  ReserveCapacity,
  /** Reloads from the store which tasks of another cell's job run here. */
  SyncHostedJob,
  /** Fails a job of which a host cell has given up a task. */
  GiveUpJob,
  /** Takes back tasks that their host cell cannot start. */
  ReturnTasks,
  /** Stores the end of a run that a worker lists to another cell. */
  ReportEnd,
};

/** Control table row of a worker that was transferred out of the cell to which
 * its hash assigns it. */
struct WorkerTransferRow
{
  std::string mWorker;
  std::string mCell;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mWorker, mCell);
  }
};

/** Capacity that one cell requests from another. */
struct CapacityRequest
{
  std::string mRequestingCell;
  cell::LongRunningNeed mNeed;
  /** Capacity that short tasks use now may be reserved. */
  bool mMayWait = false;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mRequestingCell, mNeed, mMayWait);
  }
};

/** Location and row versions of a job that is to be migrated, or of a hosted
 * job of which tasks are to be returned. */
struct MigrationSource
{
  std::string mCell;
  std::uint64_t mFenceVersion = 0;
  std::uint64_t mJobVersion = 0;
  /** 0 if there is no progress row. */
  std::uint64_t mProgressVersion = 0;
  /** Rows of the pieces of its progress, which a migration leaves as they are;
   * 0 if there are none. */
  std::uint64_t mGeneration = 0;
  std::vector<std::uint64_t> mPieces;
  /** Pieces of which all tasks are done. */
  std::vector<cell::PieceRange> mDonePieces;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCell, mFenceVersion, mJobVersion, mProgressVersion);
    archive(mGeneration, mPieces, mDonePieces);
  }
};

/** A command of a caller or of another cell for the holder of a cell. */
struct JobCommand
{
  JobCommandKind mKind = JobCommandKind::Submit;
  std::string mCell;
  std::string mJobId;
  cell::StoredJob mJob;
  std::int64_t mTimeoutMs = 0;
  /** Used by ImportJob and ReportEnd. */
  cell::JobProgress mProgress;
  MigrationSource mSource;
  /** Used by TransferWorker and ReserveCapacity. */
  CapacityRequest mRequest;
  /** Used by Submit: version that the row of the job's id must have; 0 if there
   * must be none. */
  std::uint64_t mIdVersion = 0;
  /** Used by Submit and ImportJob: the cell declines a job whose first, or
   * waiting, tasks it cannot start at once. */
  bool mMustStartAtOnce = false;
  /** Used by Submit: the cell declines a job with a step that none of its
   * workers could run. ImportJob does so without it. */
  bool mMustBeAbleToRun = false;
  /** Used by ImportJob: the steps of which tasks wait. */
  std::vector<cell::WaitingStep> mWaitingSteps;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mKind, mCell, mJobId, mJob, mTimeoutMs, mProgress, mSource);
    archive(mRequest, mIdVersion, mMustStartAtOnce, mMustBeAbleToRun);
    archive(mWaitingSteps);
  }
};

enum class JobOutcome : std::uint8_t
{
  Done,
  /** The cell does not have the job: it is in another cell or in none. */
  NotInCell,
  /** This entry does not hold the cell, or no longer does. */
  CellNotHeld,
  /** The command had no effect and will have none. */
  Refused,
  Uncertain,
  /** The cell cannot start the job at once, or not run it at all; the command
   * had no effect. */
  Declined,
  /** The row of the job's id has another version, as the job was withheld; the
   * command had no effect and will have none. */
  Withheld,
};

struct JobReply
{
  JobOutcome mOutcome = JobOutcome::Uncertain;
  cell::JobState mState = cell::JobState::Queued;
  /** The cell that has the job, if known. */
  std::string mCell;
  /** Version of the row of a withheld job. */
  std::uint64_t mIdVersion = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mOutcome, mState, mCell, mIdVersion);
  }
};

enum class RelayKind : std::uint8_t
{
  Commit,
  ReadRange,
  ReadFeed,
};

/** A store call that a peer makes for an entry that cannot reach the store. */
struct StoreRelay
{
  RelayKind mKind = RelayKind::Commit;
  StoreTransaction mTransaction;
  RangeQuery mRange;
  FeedQuery mFeed;
  std::int64_t mTimeoutMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mKind, mTransaction, mRange, mFeed, mTimeoutMs);
  }
};

/** Tables in the platform's store. */
inline constexpr std::string_view kControlTable = "control";
inline constexpr std::string_view kFenceTable = "fences";
inline constexpr std::string_view kIdTable = "ids";
inline constexpr std::string_view kJobTable = "jobs";
inline constexpr std::string_view kProgressTable = "progress";
/** Pieces of the progress of jobs with many tasks. */
inline constexpr std::string_view kPieceTable = "pieces";
inline constexpr std::string_view kMemberTable = "members";

} // namespace eelgrasspost::dispatch
