#pragma once

#include <array>
#include <mutex>
#include <unordered_map>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/net/messages.h"
#include "eelgrasspost/routing/irouter.h"
#include "eelgrasspost/routing/routingtypes.h"

namespace eelgrasspost::routing {

/** A request that an entry forwards to the owner of a worker. */
struct ForwardRequest
{
  /** Unique: consists of the entry, its incarnation and a counter. */
  std::string mAttemptId;
  std::string mService;
  std::string mRequestId;
  std::string mIdempotencyKey;
  std::string mMethod;
  std::string mTarget;
  std::vector<net::HttpField> mFields;
  std::string mBody;
  /** Time left when it was sent. Not an absolute deadline, because the clocks
   * of two VMs are never compared. */
  std::int64_t mRemainingMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mAttemptId, mService, mRequestId, mIdempotencyKey, mMethod);
    archive(mTarget, mFields, mBody, mRemainingMs);
  }
};

/** Why a forwarded request has no response; the kind of the error is kept
 * across the hop. */
struct ForwardError
{
  std::int32_t mCode = 0;
  std::string mKind;
  std::string mMessage;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mCode, mKind, mMessage);
  }
};

struct ForwardReply
{
  /** Attempt id of the forwarded request. */
  std::string mAttemptId;
  Outcome mOutcome = Outcome::NotRun;
  std::uint32_t mStatus = 0;
  std::vector<net::HttpField> mFields;
  std::string mBody;
  ForwardError mError;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mAttemptId, mOutcome, mStatus, mFields, mBody, mError);
  }
};

auto ToForwardRequest(const ServiceRequest& aRequest, std::string aAttemptId)
  -> ForwardRequest;
auto FromForwardRequest(ForwardRequest aForward) -> ServiceRequest;
auto ToForwardReply(ServiceOutcome aOutcome, std::string aAttemptId)
  -> ForwardReply;
auto FromForwardReply(ForwardReply aReply) -> ServiceOutcome;

/** The outcome of a forwarded request. A reply with a different attempt id is
 * dropped, and the outcome is Unknown. */
auto OutcomeOf(net::TypedReply<ForwardReply> aReply,
               std::string_view aAttemptId) -> ServiceOutcome;

struct ForwardResult
{
  /** Whether the owner may have received the request. */
  bool mWasSent = false;
  ServiceOutcome mOutcome;
};

/** Forwards a request to the entry at an address and waits for the outcome. */
auto ForwardTo(net::MessageClient& aClient,
               net::Address aOwner,
               const ServiceRequest& aRequest,
               std::string aAttemptId) -> net::Task<ForwardResult>;

/**
 * Recently received attempt ids, so that a duplicate of a forwarded request is
 * not run again. Each is kept for kRetention, which exceeds the longest delay
 * of a message between two entries. Thread-safe.
 */
class SeenAttempts
{
public:
  static constexpr auto kRetention = base::Milliseconds(120000);

  /** Adds an attempt id; returns whether it was new. */
  auto Insert(const std::string& aAttemptId, base::MonotonicTime aNow) -> bool;
  auto Size() const -> std::size_t;

private:
  /** Two generations, so that old ids are dropped by one swap. */
  struct Shard
  {
    mutable std::mutex mMutex;
    std::unordered_map<std::string, base::MonotonicTime> mCurrent;
    std::unordered_map<std::string, base::MonotonicTime> mPrevious;
    base::MonotonicTime mSwappedAt;
  };

  static constexpr std::size_t kShards = 16;
  std::array<Shard, kShards> mShards;
};

/** Runs a forwarded request on an owned worker, at most once per attempt id if
 * it has an idempotency key. */
auto RunForward(IRouter& aRouter,
                SeenAttempts& aSeen,
                base::Counter& aDuplicates,
                ForwardRequest aForward) -> net::Task<ForwardReply>;

} // namespace eelgrasspost::routing
