#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/cell/celltypes.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::dispatch {

using base::Milliseconds;
using base::MonotonicTime;

/** A row of the platform's transactional store. */
struct StoreRow
{
  std::string mTable;
  /** Rows of one partition can be changed in one transaction. */
  std::string mPartition;
  std::string mKey;
  std::string mValue;
  /** Value of a store-wide counter that each transaction increments. */
  std::uint64_t mVersion = 0;
  /** Set in a change feed if the row was removed. */
  bool mIsRemoved = false;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTable, mPartition, mKey, mValue, mVersion, mIsRemoved);
  }
};

/** Longest key of a row, in bytes. */
inline constexpr std::size_t kMaxKeyBytes = 200;

/** Identifies a row within the partition of a transaction. */
struct RowKey
{
  std::string mTable;
  std::string mKey;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTable, mKey);
  }
};

struct RowExpectation
{
  RowKey mRow;
  /** 0 requires that the row does not exist. */
  std::uint64_t mVersion = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mRow, mVersion);
  }
};

struct RowWrite
{
  RowKey mRow;
  std::string mValue;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mRow, mValue);
  }
};

/** An atomic set of changes to one partition. */
struct StoreTransaction
{
  std::string mPartition;
  std::vector<RowExpectation> mExpected;
  std::vector<RowWrite> mWrites;
  std::vector<RowKey> mRemovals;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mPartition, mExpected, mWrites, mRemovals);
  }
};

enum class StoreOutcome : std::uint8_t
{
  Done,
  /** An expected version did not match; nothing was changed. */
  Conflict,
  /** The store refused the call for now; nothing was changed. */
  Refused,
  /** The change feed no longer contains the requested version. */
  HistoryTruncated,
  /** No reply: a write may have been applied, or may be applied later. */
  Unknown,
  /** The call breaks a limit of the store, which refuses it at any time;
   * nothing was changed. */
  Rejected,
};

/** Whether a call changed nothing and will change nothing. */
inline auto HadNoEffect(StoreOutcome aOutcome) -> bool
{
  return aOutcome == StoreOutcome::Conflict ||
         aOutcome == StoreOutcome::Refused ||
         aOutcome == StoreOutcome::Rejected;
}

struct StoreReply
{
  StoreOutcome mOutcome = StoreOutcome::Unknown;
  /** Version of the transaction, or the newest version that was read. */
  std::uint64_t mVersion = 0;
  /** Rows read; after a conflict, the current rows of the expectations. */
  std::vector<StoreRow> mRows;
  /** The range contains more rows. */
  bool mHasMore = false;
  std::string mError;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mOutcome, mVersion, mRows, mHasMore, mError);
  }
};

struct RangeQuery
{
  std::string mTable;
  std::string mPartition;
  /** Inclusive lower and exclusive upper bound of the keys; empty for none. */
  std::string mFrom;
  std::string mBefore;
  /** Maximum number of rows; 0 uses the limit of the store. */
  std::uint32_t mLimit = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTable, mPartition, mFrom, mBefore, mLimit);
  }
};

struct FeedQuery
{
  std::string mTable;
  std::uint64_t mAfter = 0;
  std::int64_t mWaitMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTable, mAfter, mWaitMs);
  }
};

/** The platform's transactional store. */
class ISharedStore
{
public:
  virtual ~ISharedStore() = default;

  virtual auto Commit(StoreTransaction aTransaction, MonotonicTime aDeadline)
    -> net::Task<StoreReply> = 0;
  /** Reads a consistent snapshot of a range, ordered by key. */
  virtual auto ReadRange(RangeQuery aQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> = 0;
  /** Reads the changes of a table after a version; waits for the first one. */
  virtual auto ReadFeed(FeedQuery aQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> = 0;
};

/** Addressee of an order, and the fencing token of its sender. */
struct WorkerCall
{
  net::Address mAddress;
  std::string mWorker;
  std::uint64_t mToken = 0;
  MonotonicTime mDeadline;
  /** The incarnation that may receive the call; 0 for any. A call with a time
   * on the worker's clock or a number that the worker counts names one: to
   * another incarnation they mean something else. */
  std::int64_t mIncarnationStartMs = 0;
};

struct OrderReply
{
  cell::OrderOutcome mOutcome = cell::OrderOutcome::Unknown;
  /** The worker's clock; 0 if the reply does not contain it. */
  std::int64_t mClockMs = 0;
  /** Why the order was not executed, for the log. */
  std::string mDetail;
};

struct LeaseRenewal
{
  /** End of the lease on the worker's clock; 0 does not renew it. */
  std::int64_t mLeaseEndMs = 0;
  /** Acknowledges the ends of runs up to this number, which are stored; the
   * worker stops listing them. */
  std::uint64_t mStoredEnds = 0;
  /** How long the worker may delay the reply until a run ends. */
  std::int64_t mWaitMs = 0;
};

struct LeaseRenewalReply
{
  cell::OrderOutcome mOutcome = cell::OrderOutcome::Unknown;
  cell::WorkerReport mReport;
};

/** Sends orders and lease renewals to workers. */
class IWorkerOrders
{
public:
  virtual ~IWorkerOrders() = default;

  virtual auto Send(WorkerCall aCall,
                    const cell::Order& aOrder,
                    std::int64_t aLeaseEndMs) -> net::Task<OrderReply> = 0;
  virtual auto Renew(WorkerCall aCall, LeaseRenewal aRenewal)
    -> net::Task<LeaseRenewalReply> = 0;
};

/** The operator's configuration. */
struct Configuration
{
  std::uint64_t mVersion = 0;
  std::vector<cell::Queue> mQueues;
  /** Names of the services whose workers run the queues' tasks. */
  std::vector<std::string> mServices;
  std::uint64_t mBodyLimit = 262144;
};

enum class CallerRequestKind : std::uint8_t
{
  Submit,
  GetState,
  Cancel,
  CountPending,
};

inline constexpr auto kCallerRequestNames = std::array{
  base::EnumName<CallerRequestKind>{ CallerRequestKind::Submit, "submit" },
  base::EnumName<CallerRequestKind>{ CallerRequestKind::GetState, "state" },
  base::EnumName<CallerRequestKind>{ CallerRequestKind::Cancel, "cancel" },
  base::EnumName<CallerRequestKind>{ CallerRequestKind::CountPending,
                                     "pending" },
};

/** A decoded request of a caller, without the job itself. */
struct CallerRequest
{
  CallerRequestKind mKind = CallerRequestKind::Submit;
  const cell::Queue* mQueue = nullptr;
  std::string mJobId;
  Milliseconds mTimeout{ 3000 };
};

enum class CallerOutcome : std::uint8_t
{
  Accepted,
  State,
  Cancelled,
  Pending,
  UnknownQueue,
  UnknownJob,
  BadRequest,
  /** Not accepted; the job never runs. */
  NotRun,
  /** Refused because too much work is queued; the job never runs. */
  Overloaded,
  /** The outcome is unknown; the caller may retry with the same id. */
  Uncertain,
};

inline constexpr auto kCallerOutcomeNames = std::array{
  base::EnumName<CallerOutcome>{ CallerOutcome::Accepted, "accepted" },
  base::EnumName<CallerOutcome>{ CallerOutcome::State, "state" },
  base::EnumName<CallerOutcome>{ CallerOutcome::Cancelled, "cancelled" },
  base::EnumName<CallerOutcome>{ CallerOutcome::Pending, "pending" },
  base::EnumName<CallerOutcome>{ CallerOutcome::UnknownQueue, "unknown_queue" },
  base::EnumName<CallerOutcome>{ CallerOutcome::UnknownJob, "unknown_job" },
  base::EnumName<CallerOutcome>{ CallerOutcome::BadRequest, "bad_request" },
  base::EnumName<CallerOutcome>{ CallerOutcome::NotRun, "not_run" },
  base::EnumName<CallerOutcome>{ CallerOutcome::Overloaded, "overloaded" },
  base::EnumName<CallerOutcome>{ CallerOutcome::Uncertain, "uncertain" },
};

struct CallerResponse
{
  CallerOutcome mOutcome = CallerOutcome::NotRun;
  cell::JobState mState = cell::JobState::Queued;
  std::uint64_t mPending = 0;
  /** Delay before the caller should retry; 0 sends no Retry-After. */
  Milliseconds mRetryAfter{ 0 };
  std::string mError;
};

/** Converts between the platform's formats and the types used here. */
class IFormats
{
public:
  virtual ~IFormats() = default;

  virtual auto ConfigurationTable() const -> std::string = 0;
  virtual auto ConfigurationKey() const -> std::string = 0;
  /** The failure domain that a row of the configuration table requests to
   * evacuate, if that is what it does. */
  virtual auto DecodeEvacuation(std::string_view aKey) const
    -> std::optional<std::string> = 0;
  virtual auto WorkerTable() const -> std::string = 0;
  virtual auto DecodeConfiguration(std::string_view aValue) const
    -> absl::StatusOr<Configuration> = 0;
  /** Fails for a row that does not describe a worker. */
  virtual auto DecodeWorker(std::string_view aKey,
                            std::string_view aValue) const
    -> absl::StatusOr<cell::WorkerRecord> = 0;
  /** Returns nothing if the request matches no queue. */
  virtual auto DecodeRequest(const net::HttpRequest& aRequest,
                             const Configuration& aConfiguration) const
    -> std::optional<CallerRequest> = 0;
  virtual auto DecodeJob(std::string_view aId, std::string_view aBody) const
    -> absl::StatusOr<cell::JobSpec> = 0;
  virtual auto EncodeResponse(const CallerResponse& aAnswer) const
    -> net::HttpResponse = 0;
};

} // namespace eelgrasspost::dispatch
