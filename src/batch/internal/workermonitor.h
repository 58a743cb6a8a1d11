#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "batchtable.h"
#include "eelgrasspost/batch/lifecycle.h"

namespace eelgrasspost::batch {

/** Identifies an attempt of a task. */
struct AttemptKey
{
  std::string mTask;
  std::uint64_t mAttempt = 0;

  auto operator<=>(const AttemptKey&) const = default;
};

/** Progress of the start of an attempt. */
enum class StartPhase : std::uint8_t
{
  /** Capacity is reserved; it is not known yet whether the row was written. */
  Reserved,
  /** The row is written; the worker has not confirmed the start. */
  Written,
  /** The worker has confirmed the start. */
  Sent,
};

/** An attempt that occupies capacity of a worker but is not in its report
 * yet. */
struct StartingAttempt
{
  platform::StartCommand mCommand;
  /** Token recorded in its row; the start is sent under no other. */
  platform::FencingToken mToken;
  StartPhase mPhase = StartPhase::Reserved;
  base::MonotonicTime mSince;
  /** Version of the block's row on which its write is conditional. */
  std::uint64_t mExpectedVersion = 0;
  bool mIsSending = false;
  /** Whether a start command may still be in flight. */
  bool mMayArriveLate = false;
};

/** A worker's report with the time of its request. */
struct TimedReport
{
  platform::WorkerReport mReport;
  /** Time before the request was sent. */
  base::MonotonicTime mAskedAt;
  /** Index of each attempt in the report. */
  std::map<AttemptKey, std::size_t> mIndexOf;

  auto Find(const AttemptKey& aKey) const -> const platform::AttemptReport*;
};

auto MakeTimedReport(platform::WorkerReport aReport,
                     base::MonotonicTime aAskedAt) -> TimedReport;

/** A worker that this entry owns, with the state of its batch attempts. */
struct HeldWorker
{
  ownership::WorkerLeasePtr mLease;
  /** Fetched under the token of this lease; nullopt until the first one. */
  std::optional<TimedReport> mReport;
  std::map<AttemptKey, StartingAttempt> mStarting;
  /** Attempts to stop; true to take a checkpoint first. */
  std::map<AttemptKey, bool> mToStop;
  std::set<AttemptKey> mToForget;
  /** Attempts that the worker must not forget until its highest token exceeds
   * the given one, since a delayed start command would run them again. */
  std::map<AttemptKey, platform::FencingToken> mRetained;
  /** Attempts in the report that no cached block tracks, and when they were
   * first seen or last checked against their rows. */
  std::map<AttemptKey, base::MonotonicTime> mUntracked;
  bool mIsBusy = false;
};

/** A task's record and the row that contains it. */
struct ReadTaskResult
{
  /** nullopt if the task's block has ended. */
  std::optional<platform::TableRow> mRow;
  std::optional<TaskRecord> mTask;
};

using HeldWorkerPtr = std::shared_ptr<HeldWorker>;

/** Free capacity of a worker for further tasks. */
struct WorkerCapacity
{
  HeldWorkerPtr mWorker;
  platform::Resources mFree;
};

auto Subtract(platform::Resources aLeft, const platform::Resources& aRight)
  -> platform::Resources;

/** Capacity of a worker minus everything that may run there; without a report
 * it counts as fully occupied. */
auto FreeCapacity(const HeldWorker& aWorker,
                  const platform::Resources& aReservedForServices)
  -> platform::Resources;

/**
 * Controls batch attempts on the workers that this entry owns: sends starts
 * whose rows are written, renews leases in one call per worker, stops attempts
 * and lets workers forget ended ones. Renewals never wait for the table.
 */
class WorkerMonitor
{
public:
  /** Whether this entry's dispatcher tracks an attempt as the running one. */
  using AttemptPredicate = std::function<bool(const AttemptKey&)>;

  WorkerMonitor(BatchDependencies aDependencies,
                BatchOptions aOptions,
                BatchTable& aTable);

  auto SetIsCurrentAttempt(AttemptPredicate aIsCurrentAttempt) -> void;

  /** Updates the workers to the current ownership. */
  auto Refresh() -> void;
  auto Workers() const -> const std::map<std::string, HeldWorkerPtr>&
  {
    return mWorkers;
  }
  auto Find(const std::string& aWorker) const -> HeldWorkerPtr;

  /** Reserves capacity for an attempt whose row is about to be written. */
  auto Reserve(const HeldWorkerPtr& aWorker,
               platform::StartCommand aCommand,
               platform::FencingToken aToken,
               std::uint64_t aExpectedVersion) -> void;
  /** Marks the row of an attempt as written, so that its start is sent. */
  auto Confirm(const HeldWorkerPtr& aWorker, const AttemptKey& aKey) -> void;
  /** Releases the capacity of an attempt whose row was not written. */
  auto Release(const HeldWorkerPtr& aWorker, const AttemptKey& aKey) -> void;
  /** Sends the confirmed starts of a worker without waiting for its next
   * check. */
  auto SendStartsNow(const HeldWorkerPtr& aWorker) -> void;
  auto Stop(const HeldWorkerPtr& aWorker,
            const AttemptKey& aKey,
            bool aCheckpoint) -> void;
  auto Forget(const HeldWorkerPtr& aWorker, const AttemptKey& aKey) -> void;

  /** Checks all workers periodically until the process ends. */
  auto Run() -> net::Task<void>;
  /** Resolves reservations of unknown outcome and untracked attempts by reading
   * their rows, until the process ends. */
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
