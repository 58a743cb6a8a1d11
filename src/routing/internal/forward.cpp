#include "forward.h"

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/routing/routingerrors.h"

namespace eelgrasspost::routing {

namespace {

auto ToForwardError(const absl::Status& aError) -> ForwardError
{
  return { static_cast<std::int32_t>(aError.code()),
           base::KindName(aError),
           std::string(base::MessageOf(aError)) };
}

auto FromForwardError(const ForwardError& aError) -> absl::Status
{
  return base::RestoreError(
    static_cast<absl::StatusCode>(aError.mCode), aError.mKind, aError.mMessage);
}

auto UnknownOutcome(std::string_view aDetail) -> ServiceOutcome
{
  return { Outcome::Unknown, {}, base::MakeError(kEndpointFailed, aDetail) };
}

} // namespace

auto ToForwardRequest(const ServiceRequest& aRequest, std::string aAttemptId)
  -> ForwardRequest
{
  return { std::move(aAttemptId),
           aRequest.mService,
           aRequest.mRequestId,
           aRequest.mIdempotencyKey,
           aRequest.mMethod,
           aRequest.mTarget,
           aRequest.mFields,
           aRequest.mBody,
           base::RemainingMs(aRequest.mDeadline) };
}

auto FromForwardRequest(ForwardRequest aForward) -> ServiceRequest
{
  ServiceRequest out;
  out.mService = std::move(aForward.mService);
  out.mRequestId = std::move(aForward.mRequestId);
  out.mIdempotencyKey = std::move(aForward.mIdempotencyKey);
  out.mMethod = std::move(aForward.mMethod);
  out.mTarget = std::move(aForward.mTarget);
  out.mFields = std::move(aForward.mFields);
  out.mBody = std::move(aForward.mBody);
  out.mDeadline =
    base::MonotonicClock::now() + base::Milliseconds(aForward.mRemainingMs);
  return out;
}

auto ToForwardReply(ServiceOutcome aOutcome, std::string aAttemptId)
  -> ForwardReply
{
  ForwardReply out;
  out.mAttemptId = std::move(aAttemptId);
  out.mOutcome = aOutcome.mOutcome;
  out.mStatus = aOutcome.mResponse.mStatus;
  out.mFields = std::move(aOutcome.mResponse.mFields);
  out.mBody = std::move(aOutcome.mResponse.mBody);
  out.mError = ToForwardError(aOutcome.mError);
  return out;
}

auto FromForwardReply(ForwardReply aReply) -> ServiceOutcome
{
  ServiceOutcome out;
  out.mOutcome = aReply.mOutcome;
  if (out.mOutcome == Outcome::Answered) {
    out.mResponse.mStatus = aReply.mStatus;
    out.mResponse.mFields = std::move(aReply.mFields);
    out.mResponse.mBody = std::move(aReply.mBody);
  } else {
    out.mError = FromForwardError(aReply.mError);
  }
  return out;
}

auto OutcomeOf(net::TypedReply<ForwardReply> aReply,
               std::string_view aAttemptId) -> ServiceOutcome
{
  if (!aReply.mStatus.ok()) {
    const auto message = base::MessageOf(aReply.mStatus);
    if (aReply.mProgress == net::SendProgress::NothingSent) {
      return { Outcome::NotRun, {}, base::MakeError(kNoSlot, message) };
    }
    return UnknownOutcome(message);
  }
  if (aReply.mReply.mAttemptId != aAttemptId) {
    return UnknownOutcome("the owner replied to a different attempt");
  }
  const auto isOutcome =
    base::NameOf(kOutcomeNames, aReply.mReply.mOutcome) != "unknown" ||
    aReply.mReply.mOutcome == Outcome::Unknown;
  return isOutcome
           ? FromForwardReply(std::move(aReply.mReply))
           : UnknownOutcome("the owner replied with an invalid outcome");
}

auto ForwardTo(net::MessageClient& aClient,
               net::Address aOwner,
               const ServiceRequest& aRequest,
               std::string aAttemptId) -> net::Task<ForwardResult>
{
  auto message = ToForwardRequest(aRequest, aAttemptId);
  auto reply =
    co_await net::CallTyped<ForwardReply>(aClient,
                                          std::move(aOwner),
                                          net::MessageKind::ForwardRequest,
                                          std::move(message),
                                          aRequest.mDeadline);
  const auto wasSent = reply.mProgress == net::SendProgress::MaybeSent;
  co_return ForwardResult{ wasSent, OutcomeOf(std::move(reply), aAttemptId) };
}

auto SeenAttempts::Insert(const std::string& aAttemptId,
                          base::MonotonicTime aNow) -> bool
{
  auto& shard = mShards[std::hash<std::string>()(aAttemptId) % kShards];
  auto lock = std::lock_guard(shard.mMutex);
  if (aNow - shard.mSwappedAt >= kRetention) {
    shard.mPrevious = std::move(shard.mCurrent);
    shard.mCurrent.clear();
    shard.mSwappedAt = aNow;
  }
  const auto isRecent = [&](const auto& aSeen) {
    const auto it = aSeen.find(aAttemptId);
    return it != aSeen.end() && aNow - it->second < kRetention;
  };
  if (isRecent(shard.mCurrent) || isRecent(shard.mPrevious)) {
    return false;
  }
  shard.mCurrent[aAttemptId] = aNow;
  return true;
}

auto SeenAttempts::Size() const -> std::size_t
{
  std::size_t n = 0;
  for (const auto& it : mShards) {
    auto lock = std::lock_guard(it.mMutex);
    n += it.mCurrent.size() + it.mPrevious.size();
  }
  return n;
}

auto RunForward(IRouter& aRouter,
                SeenAttempts& aSeen,
                base::Counter& aDuplicates,
                ForwardRequest aForward) -> net::Task<ForwardReply>
{
  auto attemptId = aForward.mAttemptId;
  if (aForward.mRemainingMs <= 0) {
    auto late = base::MakeError(
      kDeadlinePassed,
      "the deadline passed before the owner received the request");
    co_return ToForwardReply({ Outcome::NotRun, {}, std::move(late) },
                             attemptId);
  }
  // Requests without a key are idempotent and need no duplicate detection.
  if (!aForward.mIdempotencyKey.empty() &&
      !aSeen.Insert(attemptId, base::MonotonicClock::now())) {
    aDuplicates.Add();
    co_return ToForwardReply(
      UnknownOutcome("the forwarded request was received twice"), attemptId);
  }
  auto outcome =
    co_await aRouter.RouteLocally(FromForwardRequest(std::move(aForward)));
  co_return ToForwardReply(std::move(outcome), std::move(attemptId));
}

} // namespace eelgrasspost::routing
