#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "eelgrasspost/base/eventlog.h"
#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/cell/cellstate.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** What a holder needs of its entry; all outlive it. */
struct HolderContext
{
  const DispatchSettings& mSettings;
  ISharedStore& mStore;
  IWorkerOrders& mWorkers;
  base::Metrics& mMetrics;
  base::EventLog& mLog;
  net::asio::any_io_executor mExecutor;
  std::uint64_t mIncarnation = 0;
  /** Parts over which jobs are spread. */
  std::uint32_t mPartitions = 4;
  /** Finds another cell with room for a job; nothing when there is none. */
  std::function<std::optional<std::string>(const cell::MigratableJob&)>
    mFindCellWithCapacity;
  /** Finds a cell that is emptier, also with a job that has not started. */
  std::function<std::optional<std::string>(const cell::MigratableJob&)>
    mFindEmptierCell;
  /** Runs a command where its cell is held. */
  std::function<net::Task<JobReply>(JobCommand)> mExecute;
  /** Finds another cell of which a worker holds so much. */
  std::function<std::optional<std::string>(const cell::Resources&)>
    mFindHostCell;
  /** Cells that may have a worker to lend, the best first. */
  std::function<std::vector<std::string>()> mFindTransferSources;
};

enum class HolderPhase : std::uint8_t
{
  /** Reading what is stored and asking the workers. */
  TakingOver,
  Active,
  /** Orders and writes have ended. */
  Ended,
};

/** A job's rows in the store, as this holder wrote them last. */
struct JobRows
{
  std::uint64_t mJobVersion = 0;
  /** 0: there is no progress row. */
  std::uint64_t mProgressVersion = 0;
};

/**
 * Holds one cell: takes it over, decides on its jobs, orders its workers and
 * stores what must last. Everything runs on one thread.
 */
class CellHolder : public std::enable_shared_from_this<CellHolder>
{
public:
  CellHolder(HolderContext aContext, CellRow aRow, std::uint64_t aRowVersion);

  /** Takes the cell over and tends it until it ends. aWorkers: the workers of
   * the cell that the list shows. aIsPreviousGone: the previous holder's
   * process is known to have ended. */
  auto Run(std::vector<cell::WorkerRecord> aWorkers, bool aIsPreviousGone)
    -> net::Task<void>;
  /** Stores what is left and stops to order; the cell row is not touched. */
  auto Shutdown() -> net::Task<void>;
  /** Another entry holds the cell. */
  auto End() -> void;

  auto SeeWorker(const cell::WorkerRecord& aRecord) -> void;
  /** Orders to a worker that was lent carry at least this token. */
  auto RaiseMinToken(const std::string& aWorker, std::uint64_t aToken) -> void;
  auto UnlistWorker(const std::string& aId) -> void;
  /** No other holder was seen before this time. */
  auto Confirm(MonotonicTime aAt) -> void;

  auto Execute(JobCommand aCommand) -> net::Task<JobReply>;

  auto GetStatus() const -> CellStatus;
  /** Adds some of the learned pairs of images, in turn. */
  auto ExportEstimates(std::vector<InterferenceEstimate>& aEstimates) -> void;
  auto ImportEstimates(const std::vector<InterferenceEstimate>& aEstimates)
    -> void;
  auto Name() const -> const std::string& { return mRow.mName; }
  auto Row() const -> const CellRow& { return mRow; }
  auto RowVersion() const -> std::uint64_t { return mRowVersion; }
  auto Phase() const -> HolderPhase { return mPhase; }
  auto State() const -> const cell::CellState& { return mState; }

private:
  struct FenceResult
  {
    bool mIsDone = false;
    bool mIsSuperseded = false;
  };

  auto RaiseFence(std::uint32_t aPartition) -> net::Task<FenceResult>;
  auto LoadPartition(std::uint32_t aPartition) -> net::Task<bool>;
  auto LoadMembers() -> net::Task<bool>;
  auto ReadPrefix(std::string aTable, std::string aPartition)
    -> net::Task<std::optional<std::vector<StoreRow>>>;
  auto TakeOver() -> net::Task<bool>;

  auto CanSendOrders() const -> bool;
  auto StartPolling(const std::string& aWorker) -> void;
  auto PollLoop(std::string aWorker) -> net::Task<void>;
  auto PollWorker(const std::string& aWorker, std::int64_t aWaitMs)
    -> net::Task<bool>;
  auto PollOnce(std::string aWorker) -> net::Task<void>;
  auto SendOrder(cell::Order aOrder) -> net::Task<void>;
  auto LeaseEnd(const std::string& aWorker, MonotonicTime aNow) const
    -> std::int64_t;
  auto UpdateClock(const std::string& aWorker,
                   std::int64_t aClockMs,
                   MonotonicTime aNow) -> void;
  auto ScheduleDecision() -> void;
  auto MakeDecisions() -> void;
  auto LogEvents() -> void;
  auto Tick() -> net::Task<void>;

  auto FlushLoop() -> net::Task<void>;
  auto Flush() -> net::Task<bool>;
  auto FlushPartition(std::uint32_t aPartition, std::vector<std::string> aJobs)
    -> net::Task<bool>;
  auto UpdateCommitTime(MonotonicTime aSentAt) -> void;
  auto WriteMembers() -> net::Task<void>;
  auto CheckFence(const StoreReply& aReply) -> void;
  auto FinishJob(const std::string& aId, cell::JobState aState) -> void;

  auto Submit(JobCommand aCommand) -> net::Task<JobReply>;
  auto ImportJob(JobCommand aCommand) -> net::Task<JobReply>;
  auto ResolveImport(std::string aId) -> net::Task<void>;
  auto ReadProgress(std::string aId)
    -> net::Task<std::optional<cell::JobProgress>>;
  auto RequestWorkers() -> void;
  auto RequestWorker(CapacityRequest aRequest) -> net::Task<void>;
  auto TransferWorker(JobCommand aCommand) -> net::Task<JobReply>;
  auto MoveStarvedTasks() -> void;
  auto MoveTask(std::string aTask, std::string aHost) -> net::Task<void>;
  auto NotifyHost(std::string aId, std::string aHost) -> net::Task<void>;
  auto ReserveCapacity(const CapacityRequest& aRequest) -> JobReply;
  auto SyncHostedJob(std::string aId) -> net::Task<JobReply>;
  auto WatchGuest(std::string aId) -> net::Task<void>;
  auto FindOwnJob(const std::string& aId) -> cell::Job*;
  auto TokenFor(const std::string& aWorker) const -> std::uint64_t;
  auto MigrateJobs() -> void;
  auto MigrateJob(std::string aId, std::string aCell) -> net::Task<void>;
  auto DropJob(const std::string& aId) -> void;
  auto Cancel(std::string aId, MonotonicTime aDeadline) -> net::Task<JobReply>;
  auto GetState(const std::string& aId) -> JobReply;
  auto CommitJob(const cell::StoredJob& aJob, MonotonicTime aDeadline)
    -> net::Task<JobReply>;
  auto ResolveSubmission(cell::StoredJob aJob) -> net::Task<void>;

  auto PartitionOf(std::string_view aId) const -> std::uint32_t;
  auto FenceOf(std::uint32_t aPartition) const -> RowExpectation;
  auto JobKey(std::string_view aId) const -> std::string;

  /** The clock of a worker, as its last answer showed it. */
  struct WorkerClock
  {
    std::int64_t mClockMs = 0;
    MonotonicTime mAt{};
    /** Latest end of a lease that was sent. */
    std::int64_t mLeaseEndMs = 0;
  };

  HolderContext mContext;
  CellRow mRow;
  std::uint64_t mRowVersion = 0;
  HolderPhase mPhase = HolderPhase::TakingOver;
  bool mIsShuttingDown = false;
  bool mIsPreviousGone = false;
  cell::CellState mState;
  std::map<std::uint32_t, std::uint64_t> mFences;
  std::unordered_map<std::string, WorkerClock> mClocks;
  std::set<std::string> mPolledWorkers;
  std::set<std::string> mMembers;
  std::unordered_map<std::string, JobRows> mRows;
  /** Final states of jobs, as long as callers may ask. */
  std::unordered_map<std::string, cell::JobState> mFinished;
  std::deque<std::pair<MonotonicTime, std::string>> mFinishedOrder;
  std::set<std::string> mUnresolvedJobs;
  std::map<std::string, std::uint64_t> mMinTokens;
  bool mIsMovingTask = false;
  bool mIsRequestingWorker = false;
  MonotonicTime mWorkerRequestedAt{};
  std::size_t mNextExportedEstimate = 0;
  bool mIsDecisionScheduled = false;
  bool mIsFlushUrgent = false;
  bool mIsFlushing = false;
  /** Smoothed time of a commit; grouping grows with it. */
  Milliseconds mCommitTime{ 10 };
  MonotonicTime mConfirmedAt{};
  std::unique_ptr<net::asio::steady_timer> mFlushTimer;
};

} // namespace eelgrasspost::dispatch
