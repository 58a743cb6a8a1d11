#include "retry.h"

namespace eelgrasspost::routing {

namespace {

constexpr int kMaxAttempts = 3;

} // namespace

auto MayRetry(const RetryContext& aView,
              RetryBudget& aBudget,
              base::MonotonicTime aNow,
              base::MonotonicTime aDeadline) -> bool
{
  const auto isOver =
    aView.mOutcome == Outcome::Answered || aView.mAttempts >= kMaxAttempts;
  if (isOver || aNow + aView.mServiceTime >= aDeadline) {
    return false;
  }
  if (aView.mOutcome == Outcome::NotRun) {
    return true;
  }
  return aView.mIdempotent && TrySpend(aBudget, aView.mRetryPercent);
}

} // namespace eelgrasspost::routing
