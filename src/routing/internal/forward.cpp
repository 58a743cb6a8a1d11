#include "forward.h"

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/routing/routingerrors.h"

namespace eelgrasspost::routing {

auto ToForward(const ServiceRequest& aRequest) -> ForwardRequest
{
  return { aRequest.mService,
           aRequest.mRequestId,
           aRequest.mMethod,
           aRequest.mTarget,
           aRequest.mFields,
           aRequest.mBody,
           base::RemainingMs(aRequest.mDeadline) };
}

auto FromForward(ForwardRequest aForward) -> ServiceRequest
{
  ServiceRequest out;
  out.mService = std::move(aForward.mService);
  out.mRequestId = std::move(aForward.mRequestId);
  out.mMethod = std::move(aForward.mMethod);
  out.mTarget = std::move(aForward.mTarget);
  out.mFields = std::move(aForward.mFields);
  out.mBody = std::move(aForward.mBody);
  out.mDeadline =
    base::MonotonicClock::now() + base::Milliseconds(aForward.mRemainingMs);
  return out;
}

auto ToReply(ServiceOutcome aOutcome) -> ForwardReply
{
  ForwardReply out;
  out.mOutcome = aOutcome.mOutcome;
  out.mStatus = aOutcome.mResponse.mStatus;
  out.mFields = std::move(aOutcome.mResponse.mFields);
  out.mBody = std::move(aOutcome.mResponse.mBody);
  out.mError = base::MessageOf(aOutcome.mError);
  return out;
}

auto FromReply(ForwardReply aReply) -> ServiceOutcome
{
  ServiceOutcome out;
  out.mOutcome = aReply.mOutcome;
  out.mResponse.mStatus = aReply.mStatus;
  out.mResponse.mFields = std::move(aReply.mFields);
  out.mResponse.mBody = std::move(aReply.mBody);
  if (out.mOutcome == Outcome::NotRun) {
    out.mError = base::MakeError(kNoSlot, aReply.mError);
  } else if (out.mOutcome == Outcome::Unknown) {
    out.mError = base::MakeError(kEndpointFailed, aReply.mError);
  }
  return out;
}

} // namespace eelgrasspost::routing
