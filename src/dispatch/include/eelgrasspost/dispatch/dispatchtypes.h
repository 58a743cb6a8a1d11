#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/cell/celltypes.h"
#include "eelgrasspost/dispatch/iplatform.h"

namespace eelgrasspost::dispatch {

/** What the settings file gives to an entry on the platform. */
struct DispatchSettings
{
  std::string mName;
  std::string mDomain;
  net::Address mHttp;
  net::Address mReadiness;
  net::Address mPeers;
  net::Address mMetrics;
  net::Address mStore;
  double mStoreWritesPerS = 600;
  double mStorePartitionWritesPerS = 150;
  /** Bounds of the platform, in milliseconds. */
  std::int64_t mLeaseMs = 6000;
  std::int64_t mEarlyMs = 250;
  std::int64_t mGracePeriodMs = 6000;
  std::int64_t mDrainMs = 2000;
  std::int64_t mStatusRetentionMs = 120000;
};

/** What an entry says of a cell that it holds. */
struct CellStatus
{
  std::string mName;
  std::uint64_t mToken = 0;
  bool mIsActive = false;
  std::int64_t mFreeCpuMillis = 0;
  std::int64_t mFreeMemoryMb = 0;
  std::int64_t mCapacityCpuMillis = 0;
  /** What filling tasks want, and what is left for them. */
  std::int64_t mBestEffortCpuMillis = 0;
  std::int64_t mLeftoverCpuMillis = 0;
  /** What tasks want that wait for room. */
  std::int64_t mWaitingCpuMillis = 0;
  /** Most processor millis that are free on one worker. */
  std::int64_t mLargestCpuMillis = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mToken, mIsActive, mLargestCpuMillis);
    archive(mFreeCpuMillis, mFreeMemoryMb, mCapacityCpuMillis);
    archive(mBestEffortCpuMillis, mLeftoverCpuMillis, mWaitingCpuMillis);
  }
};

/** Jobs of one queue that wait for their first start. */
struct PendingCount
{
  std::uint64_t mQueueHash = 0;
  std::uint32_t mCount = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mQueueHash, mCount);
  }
};

/** What an entry has learned of one pair of images. */
struct InterferenceEstimate
{
  std::string mBestEffortImage;
  std::string mServingImage;
  float mPressure = 0;
  float mVariance = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mBestEffortImage, mServingImage, mPressure, mVariance);
  }
};

/** Datagram by which entries know of each other. */
struct Heartbeat
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::string mDomain;
  net::Address mPeers;
  bool mIsLeaving = false;
  bool mReachesStore = false;
  std::vector<CellStatus> mCells;
  std::vector<PendingCount> mPending;
  /** Some of the pairs, in turn. */
  std::vector<InterferenceEstimate> mEstimates;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mIncarnation, mDomain, mPeers, mIsLeaving, mReachesStore);
    archive(mCells, mPending, mEstimates);
  }
};

/** Row of an entry in the control table. */
struct EntryRow
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::string mDomain;
  net::Address mPeers;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mIncarnation, mDomain, mPeers);
  }
};

/** Row of a cell in the control table: who holds it. */
struct CellRow
{
  std::string mName;
  std::string mDomain;
  /** Empty: the last holder has handed it back. */
  std::string mHolder;
  std::uint64_t mHolderIncarnation = 0;
  /** Grows with each holder; the high part of attempt numbers. */
  std::uint64_t mTerm = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mName, mDomain, mHolder, mHolderIncarnation, mTerm);
  }
};

/** Row of a failure domain in the control table: how many cells it has. */
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

/** Row that makes a job's id unique and keeps its last state. */
struct JobIdRow
{
  std::string mCell;
  cell::JobState mState = cell::JobState::Queued;
  std::int64_t mChangedMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCell, mState, mChangedMs);
  }
};

enum class JobCommandKind : std::uint8_t
{
  Submit,
  GetState,
  Cancel,
  /** Takes a job over from another cell. */
  ImportJob,
  /** Hands a worker without reserving runs to another cell. */
  TransferWorker,
  /** Keeps room for a lasting task of another cell's job. */
  ReserveCapacity,
  /** Reads again which tasks of another cell's job are to run here. */
  SyncHostedJob,
};

/** Row of a worker in the control table that is not in the cell of its hash. */
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

/** A worker that another cell needs. */
struct CapacityRequest
{
  std::string mRequestingCell;
  std::string mService;
  cell::Resources mNeed;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mRequestingCell, mService, mNeed);
  }
};

/** Where a job that moves between cells is stored now. */
struct MigrationSource
{
  std::string mCell;
  std::uint64_t mFenceVersion = 0;
  std::uint64_t mJobVersion = 0;
  /** 0: there is no progress row. */
  std::uint64_t mProgressVersion = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCell, mFenceVersion, mJobVersion, mProgressVersion);
  }
};

/** A caller's request or a job that moves, for the entry that holds a cell. */
struct JobCommand
{
  JobCommandKind mKind = JobCommandKind::Submit;
  std::string mCell;
  std::string mJobId;
  cell::StoredJob mJob;
  std::int64_t mTimeoutMs = 0;
  /** Of an import. */
  cell::JobProgress mProgress;
  MigrationSource mSource;
  /** Of a loan. */
  CapacityRequest mRequest;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mKind, mCell, mJobId, mJob, mTimeoutMs, mProgress, mSource);
    archive(mRequest);
  }
};

enum class JobOutcome : std::uint8_t
{
  Done,
  /** The job is in another cell, or in none. */
  NotInCell,
  /** The cell is not held here (any longer). */
  CellNotHeld,
  /** Nothing was done, and nothing will be. */
  Refused,
  Uncertain,
};

struct JobReply
{
  JobOutcome mOutcome = JobOutcome::Uncertain;
  cell::JobState mState = cell::JobState::Queued;
  /** The cell in which the job is, when it is another one. */
  std::string mCell;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mOutcome, mState, mCell);
  }
};

enum class RelayKind : std::uint8_t
{
  Commit,
  ReadRange,
  ReadFeed,
};

/** A call to the store that a peer makes for an entry which is refused. */
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

/** Names of the tables of this product in the platform's store. */
inline constexpr std::string_view kControlTable = "control";
inline constexpr std::string_view kFenceTable = "fences";
inline constexpr std::string_view kIdTable = "ids";
inline constexpr std::string_view kJobTable = "jobs";
inline constexpr std::string_view kProgressTable = "progress";
inline constexpr std::string_view kMemberTable = "members";

} // namespace eelgrasspost::dispatch
