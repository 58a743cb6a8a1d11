#include "retry.h"

namespace eelgrasspost::routing {

namespace {

constexpr int kMostAttempts = 3;

} // namespace

auto MayRetry(const RetryView& aView,
              RetryBudget& aBudget,
              base::MonotonicTime aNow,
              base::MonotonicTime aDeadline) -> bool
{
  const auto isOver =
    aView.mOutcome == Outcome::Answered || aView.mAttempts >= kMostAttempts;
  if (isOver || aNow + aView.mServiceTime >= aDeadline) {
    return false;
  }
  if (aView.mOutcome == Outcome::NotRun) {
    return true;
  }
  return aView.mIdempotent && TrySpend(aBudget, aView.mRetryPercent);
}

} // namespace eelgrasspost::routing
