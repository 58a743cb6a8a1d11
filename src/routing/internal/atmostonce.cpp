#include "atmostonce.h"

#include <xxhash.h>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::routing {

namespace {

using idempotency::ClaimOutcome;
using idempotency::RequestOutcome;

/** Digest that detects the reuse of a key for a different request. */
auto RequestDigest(const ServiceRequest& aRequest) -> std::string
{
  const auto text =
    base::Cat(aRequest.mMethod, " ", aRequest.mTarget, "\n", aRequest.mBody);
  const auto hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

auto ToRequestOutcome(Outcome aOutcome) -> RequestOutcome
{
  switch (aOutcome) {
    case Outcome::Answered:
      return RequestOutcome::Answered;
    case Outcome::NotRun:
      return RequestOutcome::NotRun;
    default:
      return RequestOutcome::Unknown;
  }
}

/** Converts a claim that did not succeed to the outcome for the caller. */
auto OutcomeOfClaim(idempotency::ClaimResult aClaim) -> ServiceOutcome
{
  switch (aClaim.mOutcome) {
    case ClaimOutcome::Recorded:
      return { Outcome::Answered, std::move(aClaim.mResponse), {} };
    case ClaimOutcome::Unknown:
      return { Outcome::Unknown, {}, std::move(aClaim.mError) };
    default:
      return { Outcome::NotRun, {}, std::move(aClaim.mError) };
  }
}

} // namespace

auto RouteAtMostOnce(IRouter& aRouter,
                     idempotency::IIdempotency& aKeys,
                     ServiceRequest aRequest) -> net::Task<ServiceOutcome>
{
  auto wanted = idempotency::ClaimRequest{ aRequest.mService,
                                           aRequest.mIdempotencyKey,
                                           RequestDigest(aRequest),
                                           aRequest.mDeadline };
  auto claim = co_await aKeys.Claim(std::move(wanted));
  if (claim.mOutcome != ClaimOutcome::Claimed) {
    co_return OutcomeOfClaim(std::move(claim));
  }
  auto outcome = co_await aRouter.Route(std::move(aRequest));
  aKeys.Finish(std::move(claim.mHandle),
               ToRequestOutcome(outcome.mOutcome),
               outcome.mResponse);
  co_return outcome;
}

} // namespace eelgrasspost::routing
