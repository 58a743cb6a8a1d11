#pragma once

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/routing/routingtypes.h"
#include "retrybudget.h"

namespace eelgrasspost::routing {

/** What the decision to try a request again is made from. */
struct RetryContext
{
  Outcome mOutcome = Outcome::NotRun;
  bool mIdempotent = false;
  int mAttempts = 1;
  std::int64_t mRetryPercent = 0;
  /** Recent mean time of a request. */
  base::Microseconds mServiceTime{ 0 };
};

/**
 * Whether to try again now. A request that was not run may always be tried
 * again; one that may have run only when it is idempotent and the budget
 * allows it.
 */
auto MayRetry(const RetryContext& aView,
              RetryBudget& aBudget,
              base::MonotonicTime aNow,
              base::MonotonicTime aDeadline) -> bool;

} // namespace eelgrasspost::routing
