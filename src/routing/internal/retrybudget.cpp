#include "retrybudget.h"

#include <algorithm>

namespace eelgrasspost::routing {

namespace {

constexpr std::int64_t kHundredthsPerRetry = 100;

} // namespace

auto Earn(RetryBudget& aBudget, std::int64_t aPercent) -> void
{
  constexpr auto kMaxHundredths = kMaxSavedRetries * kHundredthsPerRetry;
  auto saved = aBudget.mHundredths.load(std::memory_order_relaxed);
  while (saved < kMaxHundredths) {
    const auto next = std::min(kMaxHundredths, saved + aPercent);
    if (aBudget.mHundredths.compare_exchange_weak(saved, next)) {
      return;
    }
  }
}

auto TrySpend(RetryBudget& aBudget, std::int64_t aPercent) -> bool
{
  if (aPercent <= 0) {
    return false;
  }
  auto saved = aBudget.mHundredths.load(std::memory_order_relaxed);
  while (saved >= kHundredthsPerRetry) {
    if (aBudget.mHundredths.compare_exchange_weak(
          saved, saved - kHundredthsPerRetry)) {
      return true;
    }
  }
  return false;
}

} // namespace eelgrasspost::routing
