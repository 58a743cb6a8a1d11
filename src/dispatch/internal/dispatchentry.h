#pragma once

#include <set>

#include <boost/asio/signal_set.hpp>

#include "callerhandler.h"
#include "cellholder.h"
#include "claiming.h"
#include "drainnotices.h"
#include "eelgrasspost/dispatch/dispatchmodule.h"
#include "eelgrasspost/net/iopool.h"
#include "evacuations.h"
#include "peers.h"
#include "pendingcounts.h"
#include "storeaccess.h"
#include "tablewatch.h"

namespace eelgrasspost::dispatch {

/** An entry and its components; runs on a single thread. */
class DispatchEntry final : public IDispatchEntry
{
public:
  DispatchEntry(net::IoPool& aPool,
                DispatchSettings aSettings,
                PlatformInterfaces aPlatform);

  auto Start() -> absl::Status override;
  auto Run() -> void override;

private:
  struct KnownCell
  {
    CellRow mRow;
    std::uint64_t mVersion = 0;
    /** Version of the row before it. */
    std::uint64_t mPreviousVersion = 0;
    base::BootTime mReadAt{};
    base::BootTime mEarlierHoldersActUntil{};
    std::vector<EarlierClaim> mEarlierClaims;
    CellChanges mChanges;
  };
  struct RegisteredRow
  {
    /** Whether there is a row that can be decoded. */
    bool mIsReadable = false;
    /** Without such a row, the highest one that a cell names. */
    std::uint64_t mIncarnation = 0;
    /** 0 if there is no row. */
    std::uint64_t mVersion = 0;
  };
  /** The end of a claim, as its holder states it. */
  struct ClaimEnd
  {
    base::BootTime mLastOrderAt{};
    base::BootTime mKnownSince{};
  };

  auto WatchConfiguration() -> net::Task<void>;
  auto WatchControl() -> net::Task<void>;
  auto WatchWorkers() -> net::Task<void>;
  auto OnControlRow(const StoreRow& aRow) -> void;
  auto OnEntryRow(const StoreRow& aRow) -> void;
  auto OnCellRow(const CellRow& aRow, std::uint64_t aVersion) -> void;
  auto LogCellChange(KnownCell& aKnown,
                     const CellRow& aNext,
                     bool aIsHolderGone) -> void;
  auto OnWorkerRow(const StoreRow& aRow) -> void;
  auto OnDrainNotices(const Heartbeat& aHeartbeat) -> void;
  auto GetWorkerListState() const -> cell::WorkerListState;
  /** Sets the number of partitions to that in the store. The first entry of all
   * writes it. */
  auto AgreeOnPartitions() -> net::Task<void>;
  auto TryAgreeOnPartitions(std::uint32_t aConfigured)
    -> net::Task<StoreOutcome>;
  /** Returns the partitions that existing cells have used, or nothing if they
   * cannot be read. */
  auto CountUsedPartitions() -> net::Task<std::optional<std::uint32_t>>;
  /** Registers this process under a higher incarnation than all before it. */
  auto RegisterEntry() -> net::Task<void>;
  /** Returns the entry's row in the store, or nothing if it cannot be read. */
  auto ReadEntryRow() -> net::Task<std::optional<RegisteredRow>>;
  /** Returns the highest incarnation of this entry that a cell names. */
  auto ReadHeldIncarnation() -> net::Task<std::optional<std::uint64_t>>;
  auto WriteEntryRow(std::uint64_t aIncarnation, std::uint64_t aVersion)
    -> net::Task<StoreReply>;
  /** Writes the row again if another writer has changed or removed it. */
  auto KeepEntryRow() -> net::Task<void>;

  auto FollowsEvacuations() const -> bool;
  auto OnEvacuationRequested(const std::string& aDomain, std::uint64_t aVersion)
    -> void;
  auto OnEvacuationRemoved(const std::string& aDomain, std::uint64_t aVersion)
    -> void;
  /** Called after each reply to a read of the operator's table. */
  auto OnEvacuationsRead() -> void;
  auto OnEvacuationNotices(const std::vector<EvacuationNotice>& aNotices)
    -> void;
  /** Tells the holders which domains are being evacuated. aSource: from where a
   * change became known. */
  auto ApplyEvacuations(std::string_view aSource) -> void;
  auto RenderEvacuations() const -> std::string;

  auto ManageCells() -> net::Task<void>;
  auto ManageLayouts(const ClaimView& aView, MonotonicTime aNow) -> void;
  auto CreateLayout(std::string aDomain, std::uint32_t aCells)
    -> net::Task<void>;
  auto MakeClaimView(MonotonicTime aNow) const -> ClaimView;
  auto FindUnheldCells(MonotonicTime aNow) -> void;
  auto ClaimCell(std::string aCell) -> net::Task<void>;
  auto ReleaseCell(std::string aCell) -> net::Task<void>;
  auto ReleaseAllCells() -> void;
  auto AdoptCell(CellRow aRow,
                 std::uint64_t aVersion,
                 bool aIsPreviousHolderGone) -> net::Task<void>;
  auto ReadTransfers() -> net::Task<bool>;
  /** Records the earlier claims of a cell before its known row changes. */
  auto NoteEarlierClaim(KnownCell& aKnown,
                        const CellRow& aNext,
                        base::BootTime aNow) -> void;
  auto FindEndOfClaim(const EarlierClaim& aClaim) const
    -> std::optional<base::BootTime>;
  /** Tells a holder until when earlier ones may have acted, as far as that is
   * known by now. */
  auto BoundEarlierHolders(CellHolder& aHolder) -> void;
  auto NoteOwnClaimEnd(const CellHolder& aHolder) -> void;
  auto RemoveOldClaimEnds(base::BootTime aNow) -> void;
  auto StartHolder(const CellRow& aRow,
                   std::uint64_t aVersion,
                   base::BootTime aClaimedAt,
                   bool aIsPreviousHolderGone) -> void;
  auto IsHolderGone(const CellRow& aRow) const -> bool;
  auto CellOf(const cell::WorkerRecord& aRecord) const
    -> std::optional<std::string>;
  auto FindHolder(const std::string& aCell) const
    -> std::shared_ptr<CellHolder>;

  auto Execute(JobCommand aCommand) -> net::Task<JobReply>;
  /** Executes a command at the holder of its cell. */
  auto Route(JobCommand aCommand) -> net::Task<JobReply>;
  /** Executes a command in a cell that this entry holds. */
  auto ExecuteLocally(JobCommand aCommand) -> net::Task<JobReply>;
  auto HolderAddress(const std::string& aCell) const
    -> std::optional<net::Address>;
  auto FindCellWithCapacity(const std::string& aFrom,
                            const cell::MigratableJob& aJob) const
    -> std::optional<std::string>;
  auto FindEmptierCell(const std::string& aFrom,
                       const cell::MigratableJob& aJob) const
    -> std::optional<std::string>;
  /** Plans moves of waiting jobs of a cell and records them as sent. */
  auto PlanMoves(const std::string& aFrom,
                 const std::vector<OverflowCandidate>& aCandidates,
                 std::size_t aMaxMoves) const -> std::vector<OverflowMove>;
  auto FindHostCell(const std::string& aFrom, const HostQuery& aQuery) const
    -> std::optional<std::string>;
  auto FindTransferSources(const std::string& aDomain) const
    -> std::vector<std::string>;
  auto OnWorkerTransferRow(const WorkerTransferRow& aRow,
                           std::uint64_t aVersion) -> void;
  auto ReachableCells() const -> std::vector<CellStatus>;
  auto AddUnreportedWork(const std::string& aCell,
                         std::int64_t aReservedCpuMillis,
                         std::int64_t aBestEffortCpuMillis) const -> void;
  auto HandleHeartbeat(const Heartbeat& aHeartbeat) -> void;
  auto CountPending(const std::string& aQueue) -> std::uint64_t;
  auto MakeHeartbeat() -> Heartbeat;
  auto IsReady() const -> bool;
  auto HandleSignals() -> net::Task<void>;
  auto Leave() -> net::Task<void>;
  auto FlushLog() -> net::Task<void>;

  net::IoPool& mPool;
  DispatchSettings mSettings;
  PlatformInterfaces mPlatform;
  /** 0 until it is registered. */
  std::uint64_t mIncarnation = 0;
  /** Number of parts of the store that jobs are spread over; 0 until it has
   * been read. */
  std::uint32_t mPartitions = 0;
  MonotonicTime mStartedAt;
  base::BootTime mBootStartedAt = base::BootNow();
  base::Metrics mMetrics;
  base::EventLog mLog;
  net::MessageClient mMessages;
  net::MessageServer mMessageServer;
  Peers mPeers;
  StoreAccess mStore;
  TableWatch mConfigurationWatch;
  TableWatch mControlWatch;
  TableWatch mWorkerWatch;
  CallerHandler mCallerHandler;
  net::HttpServer mHttpServer;
  net::HttpServer mReadinessServer;
  net::HttpServer mMetricsServer;
  boost::asio::signal_set mSignals;
  std::shared_ptr<const Configuration> mConfiguration;
  std::map<std::string, KnownCell> mCells;
  std::map<std::string, LayoutRow> mLayouts;
  /** Workers that were transferred out of the cell to which their hash assigns
   * them. */
  struct WorkerTransfer
  {
    std::string mCell;
    std::uint64_t mVersion = 0;
  };
  std::map<std::string, WorkerTransfer> mWorkerTransfers;
  std::map<std::string, cell::WorkerRecord> mWorkers;
  DrainNotices mDrainNotices;
  MonotonicTime mWorkersChangedAt;
  std::map<std::string, std::shared_ptr<CellHolder>> mHolders;
  /** Claims that have ended, by the versions of their rows: those of this entry
   * and those of others. */
  std::map<std::uint64_t, ClaimEnd> mOwnClaimEnds;
  std::map<std::uint64_t, ClaimEnd> mClaimEnds;
  /** Cells whose rows name this incarnation, but which have no holder. */
  std::map<std::string, MonotonicTime> mUnheldSince;
  /** CPU demand of jobs that were sent to a cell since it last reported its
   * status. */
  struct UnreportedWork
  {
    std::int64_t mReservedCpuMillis = 0;
    std::int64_t mBestEffortCpuMillis = 0;
    MonotonicTime mLastAt{};
  };
  /** Expected content of the next heartbeats; choosing a cell adds to it. */
  mutable std::map<std::string, UnreportedWork> mUnreportedWork;
  /** Jobs that the loads of cells may not include yet; empty without overflow.
   */
  mutable SentJobs mSentJobs;
  PendingCounts mPendingCounts;
  Evacuations mEvacuations;
  /** The domains for which this entry itself has read a request. */
  cell::DomainSet mRequestedDomains;
  /** The domains whose evacuation is in force. */
  cell::DomainSet mEvacuatedDomains;
  std::set<std::string> mCellsInTransition;
  /** Cells that are claimed and whose holders are about to start. */
  std::set<std::string> mCellsInAdoption;
  std::set<std::string> mLayoutsInCreation;
  bool mIsLeaving = false;
  std::uint64_t mEntryRowVersion = 0;
  bool mIsKeepingEntryRow = false;
};

} // namespace eelgrasspost::dispatch
