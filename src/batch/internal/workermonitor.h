#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "batchtable.h"
#include "eelgrasspost/batch/lifecycle.h"

namespace eelgrasspost::batch {

/** Names one attempt of one task. */
struct AttemptKey
{
  std::string mTask;
  std::uint64_t mAttempt = 0;

  auto operator<=>(const AttemptKey&) const = default;
};

/** How far the start of an attempt has come. */
enum class StartPhase : std::uint8_t
{
  /** Room is kept; whether the row was written is not known yet. */
  Reserved,
  /** The row is written, the worker has not confirmed the start. */
  Written,
  /** The worker has confirmed the start. */
  Sent,
};

/** An attempt that takes room on a worker and is not in its report yet. */
struct StartingAttempt
{
  platform::StartCommand mCommand;
  /** Token that its row names; the start is sent under no other. */
  platform::FencingToken mToken;
  StartPhase mPhase = StartPhase::Reserved;
  base::MonotonicTime mSince;
  /** Version of the block's row that its write is conditional on. */
  std::uint64_t mExpectedVersion = 0;
  bool mIsSending = false;
  /** A start command may still be on its way. */
  bool mMayArriveLate = false;
};

/** What a worker said, and from when it is. */
struct TimedReport
{
  platform::WorkerReport mReport;
  /** Before the call was sent. */
  base::MonotonicTime mAskedAt;
  /** Places of the attempts in the report. */
  std::map<AttemptKey, std::size_t> mIndexOf;

  auto Find(const AttemptKey& aKey) const -> const platform::AttemptReport*;
};

auto MakeTimedReport(platform::WorkerReport aReport,
                     base::MonotonicTime aAskedAt) -> TimedReport;

/** A worker that this entry owns, with what batch work does there. */
struct HeldWorker
{
  ownership::WorkerLeasePtr mHold;
  /** Taken under this hold's token; nothing until the first one. */
  std::optional<TimedReport> mReport;
  std::map<AttemptKey, StartingAttempt> mStarting;
  /** Attempts to stop, and whether after a checkpoint. */
  std::map<AttemptKey, bool> mToStop;
  std::set<AttemptKey> mToForget;
  /** Attempts that stay at the worker until its token is raised above the
   * one given here, since a start that comes late would run them again. */
  std::map<AttemptKey, platform::FencingToken> mRetained;
  /** When attempts that no block of this entry vouched for were first seen. */
  std::map<AttemptKey, base::MonotonicTime> mUntracked;
  bool mIsBusy = false;
};

/** A task's record with the row that holds it. */
struct ReadTaskResult
{
  /** Nothing when the task's block has ended. */
  std::optional<platform::TableRow> mRow;
  std::optional<TaskRecord> mTask;
};

using HeldWorkerPtr = std::shared_ptr<HeldWorker>;

/** Room on a worker for further tasks. */
struct WorkerCapacity
{
  HeldWorkerPtr mWorker;
  platform::Resources mFree;
};

auto Subtract(platform::Resources aLeft, const platform::Resources& aRight)
  -> platform::Resources;

/** What a worker holds less all that may run there; unknown is occupied. */
auto FreeCapacity(const HeldWorker& aWorker,
                  const platform::Resources& aReservedForServices)
  -> platform::Resources;

/**
 * Carries out batch work on the workers that this entry owns: sends starts
 * whose rows are written, renews leases in one call per worker, stops,
 * forgets. Renewals never wait for the table.
 */
class WorkerMonitor
{
public:
  /** Whether a decider of this entry follows an attempt. */
  using AttemptPredicate = std::function<bool(const AttemptKey&)>;

  WorkerMonitor(BatchDependencies aDependencies,
                BatchOptions aOptions,
                BatchTable& aTable);

  auto SetIsCurrentAttempt(AttemptPredicate aIsCurrentAttempt) -> void;

  /** Aligns the workers with the ownership in force. */
  auto Refresh() -> void;
  auto Workers() const -> const std::map<std::string, HeldWorkerPtr>&
  {
    return mWorkers;
  }
  auto Find(const std::string& aWorker) const -> HeldWorkerPtr;

  /** Keeps room for an attempt whose row is about to be written. */
  auto Reserve(const HeldWorkerPtr& aWorker,
               platform::StartCommand aCommand,
               platform::FencingToken aToken,
               std::uint64_t aExpectedVersion) -> void;
  /** The row is written: starts the attempt. */
  auto Confirm(const HeldWorkerPtr& aWorker, const AttemptKey& aKey) -> void;
  /** The row was not written: gives the room back. */
  auto Release(const HeldWorkerPtr& aWorker, const AttemptKey& aKey) -> void;
  /** Sends the confirmed starts of a worker at once. */
  auto SendStartsNow(const HeldWorkerPtr& aWorker) -> void;
  auto Stop(const HeldWorkerPtr& aWorker,
            const AttemptKey& aKey,
            bool aCheckpoint) -> void;
  auto Forget(const HeldWorkerPtr& aWorker, const AttemptKey& aKey) -> void;

  /** Tends all workers until the process ends. */
  auto Run() -> net::Task<void>;
  /** Settles what is in doubt by reading rows, until the process ends. */
  auto RunReconciliation() -> net::Task<void>;

private:
  auto CheckWorker(HeldWorkerPtr aWorker) -> net::Task<void>;
  auto FetchReport(HeldWorkerPtr aWorker) -> net::Task<bool>;
  auto RemoveResolvedStarts(HeldWorker& aWorker) -> void;
  auto SendStarts(HeldWorkerPtr aWorker) -> net::Task<void>;
  auto Renew(HeldWorkerPtr aWorker) -> net::Task<void>;
  auto SendStops(HeldWorkerPtr aWorker) -> net::Task<void>;
  auto SendStopsOf(HeldWorkerPtr aWorker, bool aCheckpoint) -> net::Task<void>;
  auto SendForgets(HeldWorkerPtr aWorker) -> net::Task<void>;
  auto ResolveReservations(HeldWorkerPtr aWorker) -> net::Task<void>;
  auto ReconcileUntracked(HeldWorkerPtr aWorker) -> net::Task<void>;
  auto ResolveReservation(HeldWorkerPtr aWorker, AttemptKey aKey)
    -> net::Task<void>;
  auto ReadTask(AttemptKey aKey) -> net::Task<absl::StatusOr<ReadTaskResult>>;
  auto CallDeadline() const -> base::MonotonicTime;

  BatchDependencies mDependencies;
  BatchOptions mOptions;
  BatchTable& mTable;
  AttemptPredicate mIsCurrentAttempt;
  net::asio::any_io_executor mExecutor;
  std::map<std::string, HeldWorkerPtr> mWorkers;
};

} // namespace eelgrasspost::batch
