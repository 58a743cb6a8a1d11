#pragma once

#include <atomic>
#include <cstdint>

namespace eelgrasspost::routing {

/** Upper limit of the budget and its initial value, in retries. */
inline constexpr std::int64_t kMaxSavedRetries = 10;

/** Limits retries to a percentage of successful requests. Thread-safe. */
struct RetryBudget
{
  /** Available budget in hundredths of a retry. */
  std::atomic<std::int64_t> mHundredths{ kMaxSavedRetries * 100 };
};

/** Adds a percentage of one retry to the budget for a success. */
auto Earn(RetryBudget& aBudget, std::int64_t aPercent) -> void;

/** Takes one retry from the budget if it suffices; a percentage of 0 forbids
 * retries. */
auto TrySpend(RetryBudget& aBudget, std::int64_t aPercent) -> bool;

} // namespace eelgrasspost::routing
