#pragma once

#include <atomic>
#include <cstdint>

namespace eelgrasspost::routing {

/** Retries saved up at most, and at hand before the first success. */
inline constexpr std::int64_t kMaxSavedRetries = 10;

/** Allows retries as a percentage of recent successes; safe from any thread. */
struct RetryBudget
{
  /** In hundredths of a retry. */
  std::atomic<std::int64_t> mHundredths{ kMaxSavedRetries * 100 };
};

/** Notes one success; each earns a percentage of a retry. */
auto Earn(RetryBudget& aBudget, std::int64_t aPercent) -> void;

/** Takes one retry; never when the percentage is 0. */
auto TrySpend(RetryBudget& aBudget, std::int64_t aPercent) -> bool;

} // namespace eelgrasspost::routing
