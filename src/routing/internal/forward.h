#pragma once

#include <array>
#include <mutex>
#include <unordered_map>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/net/messages.h"
#include "eelgrasspost/routing/irouter.h"
#include "eelgrasspost/routing/routingtypes.h"

namespace eelgrasspost::routing {

/** A request that an entry hands to the owner of a worker. */
struct ForwardRequest
{
  /** Entry, its incarnation and a counter: no two attempts share one. */
  std::string mAttemptId;
  std::string mService;
  std::string mRequestId;
  std::string mIdempotencyKey;
  std::string mMethod;
  std::string mTarget;
  std::vector<net::HttpField> mFields;
  std::string mBody;
  /** Time left when it was sent; clocks of two VMs are never compared. */
  std::int64_t mRemainingMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mAttemptId, mService, mRequestId, mIdempotencyKey, mMethod);
    archive(mTarget, mFields, mBody, mRemainingMs);
  }
};

/** Why a forwarded request has no answer; the kind survives the hop. */
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
  /** That of the request that it answers. */
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

/** What became of a forwarded request; an answer that carries another attempt
 * id is dropped, and the outcome is unknown. */
auto OutcomeOf(net::TypedReply<ForwardReply> aReply,
               std::string_view aAttemptId) -> ServiceOutcome;

struct ForwardResult
{
  /** Whether the owner may have got the request. */
  bool mWasSent = false;
  ServiceOutcome mOutcome;
};

/** Hands a request to the entry at an address and waits for its outcome. */
auto ForwardTo(net::MessageClient& aClient,
               net::Address aOwner,
               const ServiceRequest& aRequest,
               std::string aAttemptId) -> net::Task<ForwardResult>;

/**
 * Attempt ids that came in lately, so that a duplicated forward is not run
 * again. Each is kept for kRetention, which is longer than any message can
 * be held up between two entries. Safe from any thread.
 */
class SeenAttempts
{
public:
  static constexpr auto kRetention = base::Milliseconds(120000);

  /** Whether an attempt id is new; remembers it. */
  auto Insert(const std::string& aAttemptId, base::MonotonicTime aNow) -> bool;
  auto Size() const -> std::size_t;

private:
  /** Two generations, so that forgetting costs one swap. */
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

/** Runs a forwarded request on an own worker, at most once for an attempt. */
auto RunForward(IRouter& aRouter,
                SeenAttempts& aSeen,
                base::Counter& aDuplicates,
                ForwardRequest aForward) -> net::Task<ForwardReply>;

} // namespace eelgrasspost::routing
