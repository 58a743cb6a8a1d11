#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "eelgrasspost/base/bootclock.h"
#include "eelgrasspost/base/eventlog.h"
#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/cell/room.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"
#include "hostchoice.h"
#include "jobrows.h"
#include "jobupdate.h"
#include "overflow.h"
#include "refusals.h"
#include "workercontacts.h"

namespace eelgrasspost::dispatch {

/** Dependencies of a holder; all outlive it. */
struct HolderContext
{
  const DispatchSettings& mSettings;
  ISharedStore& mStore;
  IWorkerOrders& mWorkers;
  base::Metrics& mMetrics;
  base::EventLog& mLog;
  net::asio::any_io_executor mExecutor;
  std::uint64_t mIncarnation = 0;
  /** Number of store partitions over which jobs are spread. */
  std::uint32_t mPartitions = 4;
  /** Finds another cell with capacity for a job. */
  std::function<std::optional<std::string>(const cell::MigratableJob&)>
    mFindCellWithCapacity;
  /** Finds another cell that stays emptier than this one after it has taken a
   * job that has not started. */
  std::function<std::optional<std::string>(const cell::MigratableJob&)>
    mFindEmptierCell;
  /** Executes a command at the holder of its cell. */
  std::function<net::Task<JobReply>(JobCommand)> mExecute;
  /** Finds another cell for a long-running task. */
  std::function<std::optional<std::string>(const HostQuery&)> mFindHostCell;
  /** Cells that may transfer a worker to this one, in order of preference. */
  std::function<std::vector<std::string>()> mFindTransferSources;
  /** Clock by which the claim of the cell expires. */
  std::function<base::BootTime()> mBootNow = base::BootNow;
  std::function<cell::WorkerListState()> mWorkerListState = [] {
    return cell::WorkerListState::Current;
  };
  /** Plans at most the given number of moves of waiting jobs to cells that are
   * expected to start them sooner. Not set without overflow. */
  std::function<std::vector<OverflowMove>(const std::vector<OverflowCandidate>&,
                                          std::size_t)>
    mPlanOverflow;
};

enum class HolderPhase : std::uint8_t
{
  /** Raises the fences and loads jobs and workers from the store. */
  TakingOver,
  Active,
  /** Sends no more orders and writes nothing. */
  Ended,
};

/** What a holder knows about the row of a worker in the table of members. */
struct MemberRow
{
  /** 0 if there is no row. */
  std::uint64_t mVersion = 0;
  /** A write is in progress, or got no reply and may still be executed. The row
   * is certain again once a write that expects its version succeeds. */
  bool mIsUncertain = false;
};

/**
 * Manages one cell on behalf of the entry that holds it: takes the cell over,
 * schedules its jobs, sends orders to its workers and persists job progress.
 * Runs on a single thread.
 */
class CellHolder : public std::enable_shared_from_this<CellHolder>
{
public:
  CellHolder(HolderContext aContext, CellRow aRow, std::uint64_t aRowVersion);

  /** Takes the cell over and manages it until the holder ends.
   * aIsPreviousHolderGone: the process of the previous holder is known to have
   * ended. */
  auto Run(bool aIsPreviousHolderGone) -> net::Task<void>;
  /** Flushes unsaved progress and stops sending orders; does not change the
   * cell row. */
  auto Shutdown() -> net::Task<void>;
  /** Stops at once, as another entry has claimed the cell. */
  auto End() -> void;

  auto UpdateWorker(const cell::WorkerRecord& aRecord) -> void;
  /** Sets the minimum fencing token of orders to a transferred worker. */
  auto RaiseMinToken(const std::string& aWorker, std::uint64_t aToken) -> void;
  auto UnlistWorker(const std::string& aId) -> void;
  /** Sets on the workers of which failure domains nothing is started. */
  auto SetEvacuatedDomains(const cell::DomainSet& aDomains) -> void;
  /** Sets when the cell was claimed, before Run. */
  auto SetClaimTime(base::BootTime aAt) -> void { mConfirmedAt = aAt; }
  /** Earlier holders of the cell send no orders and no renewals after the given
   * time. */
  auto BoundEarlierHolders(base::BootTime aUntil) -> void;
  /** The previous holder of the cell sends no orders and no renewals after this
   * time, if that is known from the workers that follow this holder. */
  auto PreviousHolderActsUntil() const -> std::optional<base::BootTime>;
  /** When this holder last sent an order or a renewal. */
  auto LastOrderAt() const -> base::BootTime { return mLastOrderAt; }
  /** Confirms that no other entry had claimed the cell at the given time. */
  auto ConfirmClaim(base::BootTime aAt) -> void;

  auto Execute(JobCommand aCommand) -> net::Task<JobReply>;

  auto GetStatus() const -> CellStatus;
  /** Returns some estimates for other cells; successive calls cycle through all
   * of them. */
  auto ExportEstimates(std::size_t aMax) -> std::vector<InterferenceEstimate>;
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
  /** When the leases that earlier holders granted have expired. */
  auto EarlierLeasesExpireAt() const -> MonotonicTime;
  auto ReadPrefix(std::string aTable, std::string aPartition)
    -> net::Task<std::optional<std::vector<StoreRow>>>;
  auto TakeOver() -> net::Task<bool>;

  auto CanSendOrders() const -> bool;
  /** The latest time at which no later holder can have replaced this one. */
  auto UnchallengedAt() const -> base::BootTime;
  auto MajoritySince(base::BootTime aConfirmedAt) const -> base::BootTime;
  /** A write that expects a fence of this holder succeeded. */
  auto NoteFencedWrite(base::BootTime aSentAt) -> void;
  /** Reads the row of the cell if the claim was not confirmed lately. */
  auto CheckClaimIfDue(MonotonicTime aNow) -> void;
  auto ReadClaim() -> net::Task<void>;
  /** A worker has accepted this holder's fencing token. */
  auto NoteAccepted(const std::string& aWorker) -> void;
  auto EndAsRefused(const WorkerCall& aCall) -> void;
  auto StartPolling(const std::string& aWorker) -> void;
  auto PollLoop(std::string aWorker) -> net::Task<void>;
  auto PollWorker(const std::string& aWorker, std::int64_t aWaitMs)
    -> net::Task<bool>;
  auto PollOnce(std::string aWorker) -> net::Task<void>;
  auto SendOrder(cell::Order aOrder) -> net::Task<void>;
  auto LeaseEnd(const std::string& aWorker, MonotonicTime aNow) const
    -> std::int64_t;
  auto LeaseEndOfStart(const std::string& aWorker, MonotonicTime aNow) const
    -> std::int64_t;
  auto FitsClock(const std::string& aWorker,
                 std::int64_t aClockMs,
                 MonotonicTime aNow) const -> bool;
  auto UpdateClock(const std::string& aWorker,
                   std::int64_t aClockMs,
                   MonotonicTime aNow) -> void;
  auto ScheduleDecision() -> void;
  auto MakeDecisions() -> void;
  auto UpdateWorkerListState() -> void;
  auto LogEvents() -> void;
  auto Tick() -> net::Task<void>;

  auto FlushLoop() -> net::Task<void>;
  auto Flush() -> net::Task<bool>;
  /** Adds the versions that a job's rows must have. */
  auto AppendRowVersions(StoreTransaction& aTransaction,
                         const std::string& aId) const -> void;
  auto LimitCheckpoints(const std::string& aId,
                        std::vector<cell::TaskProgress>& aTasks) -> void;
  auto MakeProgressUpdate(cell::Job& aJob) -> JobUpdate;
  auto MakeFinalUpdate(cell::Job& aJob) -> JobUpdate;
  auto AppendChangedPieces(JobUpdate& aUpdate,
                           cell::Job& aJob,
                           const std::vector<RowWrite>& aHostRows) -> void;
  auto AppendPiece(StoreTransaction& aTransaction,
                   const cell::Job& aJob,
                   std::uint64_t aPiece) -> void;
  auto AppendReturnedTasks(StoreTransaction& aTransaction,
                           const cell::Job& aJob,
                           const std::string& aHost,
                           const std::vector<cell::TaskPosition>& aTasks)
    -> void;
  auto MayHost(const cell::Task& aTask, const std::string& aHost) const -> bool;
  auto NoteStoredProgress(const JobUpdate& aUpdate,
                          JobRows& aRows,
                          std::uint64_t aVersion) -> void;
  auto PieceQuery(const std::string& aId, std::uint64_t aGeneration) const
    -> RangeQuery;
  auto RemoveRows(std::string aId, std::uint64_t aGeneration)
    -> net::Task<void>;
  auto LoadPieces(LoadedJob& aJob,
                  std::map<std::uint64_t, cell::ProgressPiece>& aPieces)
    -> net::Task<bool>;
  auto LoadProgress(LoadedJob& aJob) -> net::Task<bool>;
  auto LoadProgressOfAll(std::vector<LoadedJob>& aJobs) -> net::Task<bool>;
  auto AddLoadedJob(LoadedJob aJob, bool aIsInherited) -> void;
  auto MakeUpdate(const std::string& aId) -> std::optional<JobUpdate>;
  /** Whether all jobs are stored or set aside. */
  auto FlushPartition(std::uint32_t aPartition, std::vector<std::string> aJobs)
    -> net::Task<bool>;
  auto CommitUpdates(std::uint32_t aPartition, std::vector<JobUpdate> aUpdates)
    -> net::Task<bool>;
  auto ApplyCommit(const JobUpdate& aUpdate, const StoreReply& aReply) -> void;
  auto SetAside(const JobUpdate& aUpdate, const StoreReply& aReply) -> void;
  auto RetrySetAsideJobs(MonotonicTime aNow) -> void;
  auto ReleaseHeldBackEnds() -> void;
  auto HighestStorableEnd(const cell::Worker& aWorker) const -> std::uint64_t;
  auto UpdateCommitTime(MonotonicTime aSentAt) -> void;
  auto WriteMembers() -> net::Task<void>;
  /** Removes the rows of workers that have left. */
  auto RemoveDepartedMembers(MonotonicTime aNow) -> void;
  auto ReadUncertainMembers() -> net::Task<bool>;
  auto WriteChangedMembers() -> net::Task<void>;
  auto RejectMember(const std::string& aWorker, const StoreReply& aReply)
    -> void;
  /** Whether the next holder learns of the worker from its row. */
  auto IsMember(const std::string& aWorker) const -> bool;
  auto CheckFence(const StoreReply& aReply) -> void;
  auto CheckClaim(const StoreReply& aReply) -> void;
  auto FinishJob(const std::string& aId, cell::JobState aState) -> void;

  auto Submit(JobCommand aCommand) -> net::Task<JobReply>;
  auto EncodeImportedProgress(const JobCommand& aCommand)
    -> std::optional<std::string>;
  auto ImportJob(JobCommand aCommand) -> net::Task<JobReply>;
  auto ResolveImport(std::string aId) -> net::Task<void>;
  /** Adds a job with the progress that the store has of it, unless it has been
   * added; false if it could not be read. */
  auto LoadJob(std::string aId) -> net::Task<bool>;
  /** Reads a job's row in a table; nothing if the store did not answer, a row
   * of version 0 if there is none. */
  auto ReadJobRow(std::string_view aTable, std::string aId)
    -> net::Task<std::optional<StoreRow>>;
  auto SettleForeignEnds(std::string aWorker) -> net::Task<void>;
  /** Whether the end of a job that this cell did not have may be acknowledged
   * now. */
  auto SettleForeignEnd(cell::EndRow aEnd) -> net::Task<bool>;
  auto AcceptEnd(JobCommand aCommand) -> net::Task<JobReply>;
  auto RequestWorkers() -> void;
  auto RequestWorker(CapacityRequest aRequest) -> net::Task<void>;
  auto TransferWorker(JobCommand aCommand) -> net::Task<JobReply>;
  auto KeepWorker(const std::string& aWorker) -> void;
  auto LogWaitingTasks() -> void;
  auto LogFreeCapacity(const std::vector<cell::FreeCapacity>& aCapacity)
    -> void;
  auto MoveStarvedTasks() -> void;
  auto MoveTask(std::string aTask) -> net::Task<void>;
  auto ReserveInOtherCell(cell::LongRunningNeed aNeed, bool aMayWait)
    -> net::Task<std::optional<std::string>>;
  auto ReturnStarvedTasks() -> void;
  auto ReturnTasks(std::string aId, std::vector<cell::TaskPosition> aTasks)
    -> net::Task<void>;
  auto InvalidateReturn(std::string aId, std::uint64_t aVersion)
    -> net::Task<void>;
  auto AcceptReturnedTasks(JobCommand aCommand) -> net::Task<JobReply>;
  /** The row of a job's id, with an empty cell if there is none; nothing if it
   * could not be read. */
  auto ReadIdRow(std::string aId) -> net::Task<std::optional<JobIdRow>>;
  /** The cell that owns a job; nothing if it could not be read. */
  auto FindOwner(std::string aId) -> net::Task<std::optional<std::string>>;
  auto NotifyHostWhenStored(std::string aId, std::string aHost)
    -> net::Task<void>;
  auto NotifyHost(std::string aId, std::string aHost) -> net::Task<void>;
  auto ReserveCapacity(const CapacityRequest& aRequest) -> JobReply;
  /** Whether no later holder has raised the fence of a job's partition; nothing
   * if it could not be read. */
  auto HoldsFence(std::string aId) -> net::Task<std::optional<bool>>;
  auto ConfirmHostedTasks(JobCommand aCommand) -> net::Task<JobReply>;
  auto IsNewestSync(const std::string& aId,
                    std::uint64_t aVersion,
                    MonotonicTime aNow) -> bool;
  /** aMustHoldFence: the outcome is Done only if no later holder had raised the
   * fence after the row was read. */
  auto SyncHostedJob(std::string aId, bool aMustHoldFence = false)
    -> net::Task<JobReply>;
  auto ApplyHostedJob(const std::string& aId,
                      const StoreReply& aReply,
                      std::optional<cell::StoredJob> aStored) -> void;
  auto WatchHostedJob(std::string aId) -> net::Task<void>;
  auto ReportGivenUpJob(const cell::Job& aJob) -> void;
  auto NotifyOwner(std::string aId) -> net::Task<void>;
  auto GiveUpJob(const std::string& aId) -> JobReply;
  auto FindOwnJob(const std::string& aId) -> cell::Job*;
  auto TokenFor(const std::string& aWorker) const -> std::uint64_t;
  auto TokenStepOf(const std::string& aWorker) const -> std::uint64_t;
  /** Whether a report is the first one of a new incarnation. Raises the token
   * then, so that the worker refuses what was sent to earlier incarnations. */
  auto RaiseTokenForIncarnation(cell::Worker& aWorker,
                                const cell::WorkerReport& aReport) -> bool;
  auto CountLateLeases(cell::Worker& aWorker, const cell::WorkerReport& aReport)
    -> void;
  auto LogRestart(const cell::Worker& aWorker,
                  const cell::WorkerReport& aReport) -> void;
  auto MigrateJobs() -> void;
  /** Starts the migration of a job if a suitable cell is found. */
  auto TryMigration(cell::MigratableJob aJob) -> bool;
  /** aMustStartAtOnce: the other cell has to have room for it now. */
  auto MigrateJob(cell::MigratableJob aJob,
                  std::string aCell,
                  bool aMustStartAtOnce) -> net::Task<void>;
  /** Moves waiting jobs to cells that are expected to start them sooner. */
  auto OverflowJobs(const std::vector<cell::MigratableJob>& aJobs,
                    std::size_t aMaxMoves,
                    MonotonicTime aNow) -> void;
  auto CanStartAtOnce(const cell::StoredJob& aJob) const -> bool;
  auto DropJob(const std::string& aId) -> void;
  auto Cancel(std::string aId, MonotonicTime aDeadline) -> net::Task<JobReply>;
  auto GetState(const std::string& aId) -> JobReply;
  /** aIdVersion: version that the row of the job's id must have. */
  auto CommitJob(const cell::StoredJob& aJob,
                 std::uint64_t aIdVersion,
                 MonotonicTime aDeadline) -> net::Task<JobReply>;
  auto ResolveSubmission(cell::StoredJob aJob, std::uint64_t aIdVersion)
    -> net::Task<void>;

  auto PartitionOf(std::string_view aId) const -> std::uint32_t;
  auto FenceOf(std::uint32_t aPartition) const -> RowExpectation;
  auto JobKey(std::string_view aId) const -> std::string;
  auto MemberKey(std::string_view aWorker) const -> std::string;

  /** A worker's clock, as of its last reply. */
  struct WorkerClock
  {
    std::int64_t mClockMs = 0;
    MonotonicTime mAt{};
    /** Latest lease end that was sent to the worker. */
    std::int64_t mLeaseEndMs = 0;
    /** Latest end of the leases that this holder did not grant. */
    std::int64_t mForeignLeaseEndMs = 0;
    /** Calls with the end of a lease that were sent since the last reply. */
    std::int64_t mLeaseCalls = 0;
    /** The last renewal, or an order since, got no reply. */
    bool mIsUnresponsive = false;
  };

  /** Position of a worker's fencing token among those of this holder. */
  struct TokenStep
  {
    std::uint64_t mStep = 0;
    /** The new incarnation for which the token was last raised. */
    std::int64_t mIncarnationStartMs = 0;
  };

  HolderContext mContext;
  /** From the last contact with a lost run to the next start of its task. */
  base::Histogram& mLostRunTime;
  CellRow mRow;
  std::uint64_t mRowVersion = 0;
  HolderPhase mPhase = HolderPhase::TakingOver;
  bool mIsShuttingDown = false;
  bool mIsPreviousHolderGone = false;
  base::BootTime mEarlierHoldersActUntil = base::BootTime::max();
  base::BootTime mLastOrderAt;
  cell::CellState mState;
  /** Measured at each tick. */
  admission::CellLoad mLoad;
  std::map<std::uint32_t, std::uint64_t> mFences;
  std::unordered_map<std::string, WorkerClock> mClocks;
  std::set<std::string> mPolledWorkers;
  std::map<std::string, MemberRow> mMembers;
  bool mIsWritingMembers = false;
  /** Rows in the next write; fewer after the store has rejected one. */
  std::size_t mMemberRowLimit = std::numeric_limits<std::size_t>::max();
  /** Workers whose rows the store rejects, until when they are not sent again.
   */
  std::map<std::string, MonotonicTime> mRejectedMembers;
  MonotonicTime mNextMemberRemovalAt{};
  /** Until then, a write without a reply may add the row of a worker that is no
   * member any more. */
  MonotonicTime mMemberWritesSettledAt{};
  std::unordered_map<std::string, JobRows> mRows;
  /** Jobs that have ended and whose rows are to be removed once this holder is
   * active, with the generation of their pieces. */
  std::map<std::string, std::uint64_t> mEndedJobs;
  /** Final states of jobs, kept for the status retention time. */
  std::unordered_map<std::string, cell::JobState> mFinished;
  std::deque<std::pair<MonotonicTime, std::string>> mFinishedOrder;
  std::set<std::string> mUnresolvedJobs;
  std::map<std::string, std::uint64_t> mMinTokens;
  /** Workers that are being transferred to another cell, or were, until a
   * transfer returns them, as they were listed last; without a record if they
   * are not listed any more. */
  std::map<std::string, std::optional<cell::WorkerRecord>> mLeavingWorkers;
  std::map<std::string, TokenStep> mTokenSteps;
  /** Workers of which the foreign ends are being settled. */
  std::set<std::string> mSettlingWorkers;
  /** Jobs of other cells, or of none, that have ended. */
  std::set<std::string> mEndedElsewhere;
  /** Names of the tasks that are being moved to another cell. */
  std::set<std::string> mMovingTasks;
  /** The last read of a hosted job's row that was applied. */
  struct HostedSync
  {
    /** Version of the store at that time. */
    std::uint64_t mVersion = 0;
    MonotonicTime mAt{};
  };
  std::map<std::string, HostedSync> mHostedSyncs;
  /** Cells that had no room for long-running tasks at once, */
  Refusals mHostRefusals;
  /** and those that had none for them once their short tasks have ended. */
  Refusals mReservationRefusals;
  /** Cells that declined jobs that were to migrate. */
  Refusals mImportRefusals;
  /** When jobs came from other cells; see kMoveRestTime. */
  std::unordered_map<std::string, MonotonicTime> mArrivals;
  MonotonicTime mNextWaitLogAt{};
  /** A request for capacity was refused since waiting tasks were last logged.
   */
  bool mHasRefusedRequest = false;
  MonotonicTime mNextNoHostLogAt{};
  bool mIsRequestingWorker = false;
  MonotonicTime mWorkerRequestedAt{};
  std::size_t mNextExportedEstimate = 0;
  bool mIsDecisionScheduled = false;
  bool mIsFlushUrgent = false;
  /** Jobs whose state the current flush, or the last one, has not stored. */
  std::set<std::string> mUnstoredJobs;
  /** Jobs whose state the store has rejected, until it is stored. */
  std::map<std::string, SetAsideJob> mSetAsideJobs;
  bool mIsFlushing = false;
  /** Smoothed duration of a commit; the flush delay grows with it. */
  Milliseconds mCommitTime{ 10 };
  /** When the store was last known to name this holder in the cell's row, */
  base::BootTime mConfirmedAt{};
  /** and when a write that expects a fence of this holder was sent that
   * succeeded. */
  base::BootTime mFencedWriteAt{};
  WorkerContacts mContacts;
  /** Since when most members have replied, as of the given time. */
  mutable base::BootTime mMajoritySince{};
  mutable base::BootTime mMajorityReadAt{};
  bool mIsReadingClaim = false;
  MonotonicTime mNextClaimCheckAt{};
  /** The members of the cell when it was taken over, and those of them that
   * have accepted the token of this holder. */
  std::set<std::string> mInheritedMembers;
  std::set<std::string> mAcceptedBy;
  /** Since when most of them have. */
  std::optional<base::BootTime> mMajorityAcceptedAt;
  std::unique_ptr<net::asio::steady_timer> mFlushTimer;
};

} // namespace eelgrasspost::dispatch
