#include "retrybudget.h"

#include <algorithm>

namespace eelgrasspost::routing {

namespace {

constexpr std::int64_t kOneRetry = 100;

} // namespace

auto Earn(RetryBudget& aBudget, std::int64_t aPercent) -> void
{
  constexpr auto kMost = kSavedRetries * kOneRetry;
  auto saved = aBudget.mHundredths.load(std::memory_order_relaxed);
  while (saved < kMost) {
    const auto next = std::min(kMost, saved + aPercent);
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
  while (saved >= kOneRetry) {
    if (aBudget.mHundredths.compare_exchange_weak(saved, saved - kOneRetry)) {
      return true;
    }
  }
  return false;
}

} // namespace eelgrasspost::routing
