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
  /** Rows of one part can be changed in one transaction. */
  std::string mPartition;
  std::string mKey;
  std::string mValue;
  /** Taken from one counter that grows with each transaction. */
  std::uint64_t mVersion = 0;
  /** In a feed: the row was removed. */
  bool mIsRemoved = false;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mTable, mPartition, mKey, mValue, mVersion, mIsRemoved);
  }
};

/** A row that a transaction names. */
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
  /** 0: the row must not exist. */
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

/** Changes of one part that are made together or not at all. */
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
  /** An expectation did not hold; nothing was changed. */
  Conflict,
  /** The store refused; nothing was done. */
  Refused,
  /** The feed's history does not reach back so far. */
  HistoryTruncated,
  /** No answer: a write may have been done, or may be done later. */
  Unknown,
};

struct StoreReply
{
  StoreOutcome mOutcome = StoreOutcome::Unknown;
  /** Version of the transaction, or newest version that was read. */
  std::uint64_t mVersion = 0;
  /** Rows read; after a conflict the rows that were expected otherwise. */
  std::vector<StoreRow> mRows;
  /** The range has further rows. */
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
  /** First key, and the key before which the range ends; empty: no bound. */
  std::string mFrom;
  std::string mBefore;
  /** Most rows; 0 leaves it to the store. */
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

/** The platform's store. */
class ISharedStore
{
public:
  virtual ~ISharedStore() = default;

  virtual auto Commit(StoreTransaction aTransaction, MonotonicTime aDeadline)
    -> net::Task<StoreReply> = 0;
  /** Rows of a range as of one moment, in the order of their keys. */
  virtual auto ReadRange(RangeQuery aQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> = 0;
  /** Changes of a table after a version; waits until there is one. */
  virtual auto ReadFeed(FeedQuery aQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> = 0;
};

/** Names the worker's life that an order is meant for, and who orders. */
struct WorkerCall
{
  net::Address mAddress;
  std::string mWorker;
  std::uint64_t mToken = 0;
  MonotonicTime mDeadline;
};

struct OrderReply
{
  cell::OrderOutcome mOutcome = cell::OrderOutcome::Unknown;
  /** The worker's clock; 0 when the answer does not tell. */
  std::int64_t mClockMs = 0;
};

struct LeaseRenewal
{
  /** End of the lease on the worker's clock; 0 renews nothing. */
  std::int64_t mLeaseEndMs = 0;
  /** Ends up to here are stored and need not be listed again. */
  std::uint64_t mStoredEnds = 0;
  /** How long the answer may wait for an end. */
  std::int64_t mWaitMs = 0;
};

struct LeaseRenewalReply
{
  cell::OrderOutcome mOutcome = cell::OrderOutcome::Unknown;
  cell::WorkerReport mReport;
};

/** Orders to workers. */
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

/** A caller's request, as far as it needs no configuration. */
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
  /** Not accepted; it never runs. */
  NotRun,
  /** Too much work is waiting; it never runs. */
  Overloaded,
  /** Whether it was accepted is not known; it may be asked for again. */
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
  /** When the caller may come back; 0 says nothing of it. */
  Milliseconds mRetryAfter{ 0 };
  std::string mError;
};

/** Translates between the platform's formats and the types used here. */
class IFormats
{
public:
  virtual ~IFormats() = default;

  virtual auto ConfigurationTable() const -> std::string = 0;
  virtual auto ConfigurationKey() const -> std::string = 0;
  virtual auto WorkerTable() const -> std::string = 0;
  virtual auto DecodeConfiguration(std::string_view aValue) const
    -> absl::StatusOr<Configuration> = 0;
  /** An entry that cannot be read names no worker. */
  virtual auto DecodeWorker(std::string_view aKey,
                            std::string_view aValue) const
    -> absl::StatusOr<cell::WorkerRecord> = 0;
  /** Nothing when no queue is meant. */
  virtual auto DecodeRequest(const net::HttpRequest& aRequest,
                             const Configuration& aConfiguration) const
    -> std::optional<CallerRequest> = 0;
  virtual auto DecodeJob(std::string_view aId, std::string_view aBody) const
    -> absl::StatusOr<cell::JobSpec> = 0;
  virtual auto EncodeResponse(const CallerResponse& aAnswer) const
    -> net::HttpResponse = 0;
};

} // namespace eelgrasspost::dispatch
