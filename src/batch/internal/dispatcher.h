#pragma once

#include <set>

#include "placing.h"

namespace eelgrasspost::batch {

/** A block of a partition that this entry decides on. */
struct CachedBlock
{
  TaskBlock mBlock;
  std::uint64_t mVersion = 0;
  std::uint32_t mPartition = 0;
  /** Before the row was read. */
  base::MonotonicTime mReadAt;
  bool mIsDirty = false;
};

/** A row that asks a partition's decider for something. */
struct PartitionRequest
{
  std::string mJob;
  std::uint64_t mVersion = 0;
  std::string mValue;
};

struct PartitionState
{
  std::uint64_t mSeenChange = 0;
  /** Whether the rows must be read before anything is decided. */
  bool mIsStale = true;
  std::vector<PartitionRequest> mCancels;
  std::vector<PartitionRequest> mGrows;
};

/** A start that the commit under way brings. */
struct PlannedStart
{
  HeldWorkerPtr mWorker;
  AttemptKey mKey;
};

/** A start on a worker of another entry that the commit under way brings. */
struct PlannedElsewhere
{
  net::Address mOwner;
  PlaceVerdict mVerdict;
};

/** A task of a cached block. */
struct TaskSlot
{
  std::string mKey;
  std::size_t mSlot = 0;
};

/** What to do when the commit under way has taken effect. */
struct PlannedEnd
{
  std::string mWorker;
  AttemptKey mKey;
  /** Whether the attempt may still run and must be stopped. */
  bool mStop = false;
};

/** Name of a block's task towards workers. */
auto NameOf(const CachedBlock& aBlock, std::size_t aSlot) -> std::string;

/** A request to cancel that the commit under way deletes. */
struct PlannedCancel
{
  std::uint32_t mPartition = 0;
  std::string mJob;
};

/**
 * Decides on the blocks of this entry's partitions: takes in what workers
 * report, applies cancellations, places pending tasks and writes all of it in
 * one transaction a tick. Every write is conditional on its row's version, so
 * that two deciders whose views differ cannot both succeed.
 */
class Dispatcher
{
public:
  Dispatcher(BatchParts aParts,
             BatchOptions aOptions,
             BatchTable& aTable,
             WorkerTender& aTender);

  auto Run() -> net::Task<void>;
  /** Whether a block of this entry says that an attempt is the running one. */
  auto Follows(const AttemptKey& aKey) const -> bool;

private:
  auto Tick() -> net::Task<void>;
  auto AlignPartitions() -> void;
  auto PollChanges() -> net::Task<void>;
  auto LoadStale() -> net::Task<void>;
  auto Load(std::uint32_t aPartition) -> net::Task<bool>;
  auto TakeBlocks(std::uint32_t aPartition,
                  const std::vector<platform::TableRow>& aRows,
                  base::MonotonicTime aReadAt) -> void;
  auto FetchReports() -> net::Task<void>;
  auto ReportOf(const std::string& aWorker) const -> const TimedReport*;
  auto NoteMissingWorkers() -> void;
  auto IsGone(const std::string& aWorker) const -> bool;
  auto ApplyReports() -> void;
  auto ApplyReport(CachedBlock& aBlock, std::size_t aSlot) -> void;
  auto ApplyCancels(std::vector<platform::TableWrite>& aWrites)
    -> net::Task<void>;
  auto CancelBlocks(const std::string& aJob, std::uint32_t aPartition) -> void;
  auto FanOut(std::uint32_t aPartition, PartitionRequest aRequest)
    -> net::Task<bool>;
  auto GrowJobs() -> net::Task<void>;
  auto Grow(std::uint32_t aPartition, PartitionRequest aRequest)
    -> net::Task<void>;
  auto PendingInOrder() const -> std::vector<TaskSlot>;
  /** Places what fits here; gives what does not. */
  auto PlaceHere() -> std::vector<TaskSlot>;
  auto Place(CachedBlock& aBlock, std::size_t aSlot, RoomIndex& aRooms) -> bool;
  auto PlaceElsewhere(std::vector<TaskSlot> aPending) -> net::Task<void>;
  auto NextOwner() -> const membership::Member*;
  auto TakePlaced(const PlacedItem& aPlaced, const net::Address& aOwner)
    -> void;
  auto TellOwners(bool aIsWritten) -> net::Task<void>;
  auto ParkIfNoneHolds(CachedBlock& aBlock, std::size_t aSlot) -> bool;
  auto CommitDirty(std::vector<platform::TableWrite> aWrites)
    -> net::Task<void>;
  auto AddWrites(const CachedBlock& aBlock,
                 std::vector<platform::TableWrite>& aWrites) const -> void;
  auto TakeCommitted() -> void;
  auto TakeRefused(const absl::Status& aStatus) -> void;

  BatchParts mParts;
  BatchOptions mOptions;
  BatchTable& mTable;
  WorkerTender& mTender;
  base::Counter& mStarts;
  base::Counter& mEnds;
  base::Counter& mConflicts;
  std::map<std::uint32_t, PartitionState> mPartitions;
  std::map<std::string, CachedBlock> mBlocks;
  /** Reports of workers that other entries own. */
  std::map<std::string, TimedReport> mOtherReports;
  std::map<std::string, base::MonotonicTime> mMissingSince;
  std::vector<std::string> mCommitting;
  std::vector<PlannedStart> mPlannedStarts;
  std::vector<PlannedElsewhere> mPlannedElsewhere;
  std::vector<PlannedEnd> mPlannedEnds;
  std::vector<PlannedCancel> mCancelsUnderWay;
  std::shared_ptr<const membership::MemberView> mMembersAsked;
  std::size_t mOwnersAsked = 0;
  /** Spreads the choices of workers. */
  std::uint64_t mSeed = 0;
  base::MonotonicTime mNextPoll;
  base::MonotonicTime mNextReports;
};

} // namespace eelgrasspost::batch
