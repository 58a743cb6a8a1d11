#include "atmostonce.h"

#include <xxhash.h>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::routing {

namespace {

using idempotency::ClaimVerdict;
using idempotency::RunEnd;

/** Digest that detects the reuse of a key for a different request. */
auto RequestDigest(const ServiceRequest& aRequest) -> std::string
{
  const auto text =
    base::Cat(aRequest.mMethod, " ", aRequest.mTarget, "\n", aRequest.mBody);
  const auto hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

auto ToRunEnd(Outcome aOutcome) -> RunEnd
{
  switch (aOutcome) {
    case Outcome::Answered:
      return RunEnd::Answered;
    case Outcome::NotRun:
      return RunEnd::NotRun;
    default:
      return RunEnd::Unknown;
  }
}

/** Converts a claim that did not succeed to the outcome for the caller. */
auto OutcomeOfClaim(idempotency::ClaimResult aClaim) -> ServiceOutcome
{
  switch (aClaim.mVerdict) {
    case ClaimVerdict::Recorded:
      return { Outcome::Answered, std::move(aClaim.mAnswer), {} };
    case ClaimVerdict::Unknown:
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
  auto wanted = idempotency::KeyClaim{ aRequest.mService,
                                       aRequest.mIdempotencyKey,
                                       RequestDigest(aRequest),
                                       aRequest.mDeadline };
  auto claim = co_await aKeys.Claim(std::move(wanted));
  if (claim.mVerdict != ClaimVerdict::Claimed) {
    co_return OutcomeOfClaim(std::move(claim));
  }
  auto outcome = co_await aRouter.Route(std::move(aRequest));
  aKeys.Finish(
    std::move(claim.mTicket), ToRunEnd(outcome.mOutcome), outcome.mResponse);
  co_return outcome;
}

} // namespace eelgrasspost::routing
