#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cellchoice.h"
#include "eelgrasspost/base/eventlog.h"
#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::dispatch {

/** Dependencies of a CallerHandler; all outlive it. */
struct CallerHandlerContext
{
  const IFormats& mFormats;
  ISharedStore& mStore;
  base::Metrics& mMetrics;
  base::EventLog& mLog;
  /** Number of partitions of the store; 0 while it is not known. */
  std::function<std::uint32_t()> mPartitions;
  std::string mDomain;
  /** Returns null before the first configuration. */
  std::function<std::shared_ptr<const Configuration>()> mConfiguration;
  /** Status of the reachable cells, held locally or by peers. */
  std::function<std::vector<CellStatus>()> mCells;
  /** Executes a command at the holder of its cell. */
  std::function<net::Task<JobReply>(JobCommand)> mExecute;
  /** Number of jobs of a queue in all cells that have not started yet. */
  std::function<std::uint64_t(const std::string&)> mPending;
  // See DispatchSettings.
  std::int64_t mSettleMs = 0;
  bool mHasAdmission = false;
  bool mHasOverflow = false;
  std::int64_t mStoreRowBytes = 65536;
};

/** Handles the HTTP requests of callers. */
class CallerHandler
{
public:
  explicit CallerHandler(CallerHandlerContext aContext);

  auto HandleRequest(net::HttpRequest aRequest) -> net::Task<net::HttpResponse>;
  /** Whether cancellations are being completed whose callers have got their
   * responses. */
  auto HasPendingCancellations() const -> bool
  {
    return !mPendingCancellations.empty();
  }

private:
  auto BuildResponse(const net::HttpRequest& aRequest)
    -> net::Task<CallerResponse>;
  auto Submit(const CallerRequest& aRequest,
              const std::string& aBody,
              MonotonicTime aDeadline) -> net::Task<CallerResponse>;
  auto CheckSize(const cell::Queue& aQueue, const cell::JobSpec& aSpec) const
    -> std::optional<CallerResponse>;
  struct Submission;
  /** Offers a job to cells, one after the other, until one has accepted it;
   * nothing if none has. */
  auto OfferToCells(Submission& aSubmission,
                    const std::vector<CellStatus>& aCells)
    -> net::Task<std::optional<CallerResponse>>;
  /** Settles the outcome of offers without a reply; nothing if the job may be
   * offered again. */
  auto SettleOutcome(Submission& aSubmission)
    -> net::Task<std::optional<CallerResponse>>;
  /** The cells to which a job is offered, in order. */
  auto PlanOffersOf(const cell::StoredJob& aJob,
                    const std::vector<CellStatus>& aCells) const
    -> std::vector<Offer>;
  auto Accept(const std::string& aId, const std::string& aCell)
    -> CallerResponse;
  auto RefuseAsCancelled() -> CallerResponse;
  /** Refuses a job that no cell could do while it is of use, unless it has been
   * accepted before. */
  auto DecideOnAdmission(const Submission& aSubmission,
                         const std::vector<CellStatus>& aCells)
    -> net::Task<std::optional<CallerResponse>>;
  /** Responds to a submission that is not offered to any cell: the job may have
   * been accepted before. */
  auto Refuse(std::string aId, MonotonicTime aDeadline, CallerResponse aRefusal)
    -> net::Task<CallerResponse>;
  auto RefuseWhileEvacuated(std::string aId, MonotonicTime aDeadline)
    -> net::Task<CallerResponse>;
  auto GetState(std::string aId, MonotonicTime aDeadline)
    -> net::Task<CallerResponse>;
  /** Cancels a job. One whose cancellation is not certain by the deadline is
   * cancelled afterwards, even if the caller does not ask again. */
  auto Cancel(std::string aId, MonotonicTime aDeadline)
    -> net::Task<CallerResponse>;
  /** Tries at intervals until the deadline. */
  auto TryCancel(std::string aId,
                 MonotonicTime aDeadline,
                 Milliseconds aRetryInterval) -> net::Task<CallerResponse>;
  /** Writes a final state for a job that has no row, so that the write of a
   * submission in progress fails. */
  auto PreventSubmission(std::string aId,
                         std::uint64_t aIdVersion,
                         MonotonicTime aDeadline) -> net::Task<bool>;
  auto CompleteCancellation(std::string aId) -> net::Task<void>;
  /** The cell that has a job, or the final state of a finished job. */
  struct Location
  {
    bool mIsCertain = false;
    /** False for a job that was withheld. */
    bool mExists = false;
    std::string mCell;
    cell::JobState mState = cell::JobState::Queued;
    /** Version of the row of the job's id; 0 if there is none. */
    std::uint64_t mIdVersion = 0;
  };
  /** Withholds a job so that no submission which is under way can be accepted
   * any more, unless one has been. The returned location is certain if that is
   * settled. */
  auto WithholdJob(std::string aId,
                   std::uint64_t aIdVersion,
                   MonotonicTime aDeadline) -> net::Task<Location>;
  auto CancelInCell(std::string aId,
                    Location aLocation,
                    MonotonicTime aDeadline) -> net::Task<bool>;
  /** Whether a job was cancelled before any submission of it was stored. */
  static auto WasPrevented(const Location& aLocation) -> bool;
  auto PartitionOf(const std::string& aId) const -> std::string;
  auto Locate(std::string aId, MonotonicTime aDeadline) -> net::Task<Location>;
  auto ReadIdRow(std::string aId, MonotonicTime aDeadline)
    -> net::Task<Location>;
  auto LogResponse(const CallerRequest& aRequest,
                   const Configuration& aConfiguration,
                   const CallerResponse& aResponse,
                   MonotonicTime aStartedAt) -> void;
  auto CacheLocation(const std::string& aId, const std::string& aCell) -> void;

  CallerHandlerContext mContext;
  std::unordered_map<std::string, std::string> mCellByJob;
  /** Jobs whose cancellations are completed without a caller. */
  std::unordered_set<std::string> mPendingCancellations;
  base::Counter& mAccepted;
  base::Counter& mRefused;
  base::Histogram& mRequestTime;
  base::Counter& mDeferredCancellations;
  base::Counter& mUncertain;
  /** Outcomes without a reply that were settled in the store. */
  base::Counter& mSettled;
  base::Counter& mOverloaded;
  base::Histogram& mExpectedWait;
  admission::ShareTable mShares;
  base::Counter& mDeclinedOffers;
};

} // namespace eelgrasspost::dispatch
