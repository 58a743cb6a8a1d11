#pragma once

#include <set>

#include "capacityindex.h"

namespace eelgrasspost::batch {

/** A block of a partition that this entry coordinates. */
struct CachedBlock
{
  TaskBlock mBlock;
  std::uint64_t mVersion = 0;
  std::uint32_t mPartition = 0;
  /** Time before the row was read. */
  base::MonotonicTime mReadAt;
  bool mIsDirty = false;
};

/** A row by which others request something of a partition's coordinator. */
struct PartitionRequest
{
  std::string mJob;
  std::uint64_t mVersion = 0;
  std::string mValue;
};

struct PartitionState
{
  std::uint64_t mSeenChangeVersion = 0;
  /** Whether the rows must be reloaded before any decision. */
  bool mIsStale = true;
  std::vector<PartitionRequest> mCancelRequests;
  std::vector<PartitionRequest> mGrowRequests;
};

/** A start on a worker of this entry that the pending commit writes. */
struct PlannedStart
{
  HeldWorkerPtr mWorker;
  AttemptKey mKey;
};

/** A start on a worker of another entry that the pending commit writes. */
struct PlannedRemoteStart
{
  net::Address mOwner;
  PlaceOutcome mOutcome;
};

/** A task of a cached block. */
struct TaskSlot
{
  std::string mKey;
  std::size_t mSlot = 0;
};

/** An ended or cancelled attempt to handle after the pending commit succeeds.
 */
struct PlannedEnd
{
  std::string mWorker;
  AttemptKey mKey;
  /** Whether the attempt may still be running and must be stopped. */
  bool mStop = false;
};

/** Name by which workers know a task of a block. */
auto TaskNameOf(const CachedBlock& aBlock, std::size_t aSlot) -> std::string;

/** A cancellation request that the pending commit deletes. */
struct PlannedCancel
{
  std::uint32_t mPartition = 0;
  std::string mJob;
};

/**
 * Coordinates the blocks of this entry's partitions: applies the reports of
 * workers and cancellations, places pending tasks and writes all changes in one
 * transaction per tick. Every write is conditional on the version of its row,
 * so that of two coordinators with different membership views only one can
 * succeed.
 */
class Dispatcher
{
public:
  Dispatcher(BatchDependencies aDependencies,
             BatchOptions aOptions,
             BatchTable& aTable,
             WorkerMonitor& aMonitor);

  auto Run() -> net::Task<void>;
  /** Whether a cached block records an attempt as the running one. */
  auto IsCurrentAttempt(const AttemptKey& aKey) const -> bool;

private:
  auto Tick() -> net::Task<void>;
  auto UpdatePartitions() -> void;
  auto PollChanges() -> net::Task<void>;
  auto ReloadStale() -> net::Task<void>;
  auto LoadPartition(std::uint32_t aPartition) -> net::Task<bool>;
  auto CacheBlocks(std::uint32_t aPartition,
                   const std::vector<platform::TableRow>& aRows,
                   base::MonotonicTime aReadAt) -> void;
  auto FetchRemoteReports() -> net::Task<void>;
  auto ReportOf(const std::string& aWorker) const -> const TimedReport*;
  auto TrackMissingWorkers() -> void;
  auto IsRemoved(const std::string& aWorker) const -> bool;
  auto ApplyReports() -> void;
  auto ApplyReport(CachedBlock& aBlock, std::size_t aSlot) -> void;
  auto ApplyCancellations(std::vector<platform::TableWrite>& aWrites)
    -> net::Task<void>;
  auto CancelBlocks(const std::string& aJob, std::uint32_t aPartition) -> void;
  auto FanOutCancellation(std::uint32_t aPartition, PartitionRequest aRequest)
    -> net::Task<bool>;
  /** Writes further blocks of jobs that are too large for one transaction. */
  auto GrowJobs() -> net::Task<void>;
  auto Grow(std::uint32_t aPartition, PartitionRequest aRequest)
    -> net::Task<void>;
  auto PendingInOrder() const -> std::vector<TaskSlot>;
  /** Places pending tasks on the workers of this entry; returns those that do
   * not fit. */
  auto PlaceLocally() -> std::vector<TaskSlot>;
  auto Place(CachedBlock& aBlock, std::size_t aSlot, CapacityIndex& aIndex)
    -> bool;
  auto PlaceRemotely(std::vector<TaskSlot> aPending) -> net::Task<void>;
  auto NextRemoteOwner() -> const membership::Member*;
  auto ApplyRemotePlacement(const PlacedItem& aPlaced,
                            const net::Address& aOwner) -> void;
  auto NotifyOwners(bool aIsWritten) -> net::Task<void>;
  auto ParkIfUnschedulable(CachedBlock& aBlock, std::size_t aSlot) -> bool;
  auto CommitDirty(std::vector<platform::TableWrite> aWrites)
    -> net::Task<void>;
  auto AddWrites(const CachedBlock& aBlock,
                 std::vector<platform::TableWrite>& aWrites) const -> void;
  auto HandleCommitted() -> void;
  auto HandleCommitFailure(const absl::Status& aStatus) -> void;

  BatchDependencies mDependencies;
  BatchOptions mOptions;
  BatchTable& mTable;
  WorkerMonitor& mMonitor;
  base::Counter& mStarts;
  base::Counter& mEnds;
  base::Counter& mConflicts;
  std::map<std::uint32_t, PartitionState> mPartitions;
  std::map<std::string, CachedBlock> mBlocks;
  /** Newest reports of workers that other entries own. */
  std::map<std::string, TimedReport> mRemoteReports;
  std::map<std::string, base::MonotonicTime> mMissingSince;
  std::vector<std::string> mCommitting;
  std::vector<PlannedStart> mPlannedStarts;
  std::vector<PlannedRemoteStart> mPlannedRemoteStarts;
  std::vector<PlannedEnd> mPlannedEnds;
  std::vector<PlannedCancel> mPlannedCancels;
  /** Keeps the member valid that NextRemoteOwner returned last. */
  std::shared_ptr<const membership::MemberView> mMemberView;
  std::size_t mNextOwner = 0;
  /** Varies the choice of workers. */
  std::uint64_t mSeed = 0;
  base::MonotonicTime mNextPoll;
  base::MonotonicTime mNextRemoteReports;
};

} // namespace eelgrasspost::batch
