#pragma once

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/routing/routingtypes.h"
#include "retrybudget.h"

namespace eelgrasspost::routing {

/** Inputs of the decision to retry a request. */
struct RetryContext
{
  Outcome mOutcome = Outcome::NotRun;
  bool mIdempotent = false;
  int mAttempts = 1;
  std::int64_t mRetryPercent = 0;
  /** Moving average of the time of a request. */
  base::Microseconds mServiceTime{ 0 };
};

/**
 * Whether to retry now. A request that was not run may be retried while
 * attempts and time are left; one that may have run must also be idempotent
 * and within the retry budget.
 */
auto MayRetry(const RetryContext& aContext,
              RetryBudget& aBudget,
              base::MonotonicTime aNow,
              base::MonotonicTime aDeadline) -> bool;

} // namespace eelgrasspost::routing
