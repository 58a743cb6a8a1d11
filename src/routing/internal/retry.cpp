#include "retry.h"

namespace eelgrasspost::routing {

namespace {

constexpr int kMaxAttempts = 3;

} // namespace

auto MayRetry(const RetryContext& aContext,
              RetryBudget& aBudget,
              base::MonotonicTime aNow,
              base::MonotonicTime aDeadline) -> bool
{
  const auto isOver = aContext.mOutcome == Outcome::Answered ||
                      aContext.mAttempts >= kMaxAttempts;
  if (isOver || aNow + aContext.mServiceTime >= aDeadline) {
    return false;
  }
  if (aContext.mOutcome == Outcome::NotRun) {
    return true;
  }
  return aContext.mIdempotent && TrySpend(aBudget, aContext.mRetryPercent);
}

} // namespace eelgrasspost::routing
