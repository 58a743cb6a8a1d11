#include "limiter.h"

#include <algorithm>

namespace eelgrasspost::routing {

namespace {

constexpr double kSampleWeight = 1.0 / 16;
/** Keeps a single outlier from moving the average across a threshold. */
constexpr double kMaxSample = 8.0;
constexpr double kShrinkAboveSlowdown = 1.5;
constexpr double kGrowBelowSlowdown = 1.2;
constexpr double kShrinkFactor = 0.8;
constexpr auto kChangeInterval = base::Milliseconds(200);

} // namespace

auto ObserveSlowdown(LimiterState& aState,
                     double aSlowdown,
                     std::int64_t aSlots,
                     base::MonotonicTime aNow) -> void
{
  const auto slots = static_cast<double>(aSlots);
  if (aState.mLimit <= 0) {
    aState.mLimit = slots;
  }
  const auto sample = std::min(aSlowdown, kMaxSample);
  aState.mSlowdown += (sample - aState.mSlowdown) * kSampleWeight;
  if (aNow - aState.mChangedAt < kChangeInterval) {
    return;
  }
  if (aState.mSlowdown > kShrinkAboveSlowdown) {
    const auto share = std::max(1.0, slots / aState.mSlowdown);
    const auto lower = std::max(share, aState.mLimit * kShrinkFactor);
    aState.mLimit = std::min(aState.mLimit, lower);
    aState.mChangedAt = aNow;
  } else if (aState.mSlowdown < kGrowBelowSlowdown && aState.mLimit < slots) {
    aState.mLimit = std::min(slots, aState.mLimit + 1.0);
    aState.mChangedAt = aNow;
  }
}

auto CurrentLimit(const LimiterState& aState, std::int64_t aSlots)
  -> std::int64_t
{
  if (aState.mLimit <= 0) {
    return aSlots;
  }
  const auto whole = static_cast<std::int64_t>(aState.mLimit);
  return std::clamp<std::int64_t>(whole, 1, aSlots);
}

} // namespace eelgrasspost::routing
