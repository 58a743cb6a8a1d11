#pragma once

#include <cstdint>

#include "eelgrasspost/base/clock.h"

namespace eelgrasspost::routing {

/** State of the concurrency limit of one worker. */
struct LimiterState
{
  /** Slots that may be used; 0 before the first response. */
  double mLimit = 0;
  /** Moving average of the time of a request divided by the average of its
   * service on all workers. */
  double mSlowdown = 1.0;
  base::MonotonicTime mChangedAt{};
};

/**
 * Updates the limit after a response (additive increase, multiplicative
 * decrease). The limit of a worker that is much slower than the service's other
 * workers, for example because of a noisy neighbor, is decreased down to
 * slots / slowdown, and increased by one slot at a time once the slowdown is
 * low again. Between the two thresholds the limit does not change.
 */
auto ObserveSlowdown(LimiterState& aState,
                     double aSlowdown,
                     std::int64_t aSlots,
                     base::MonotonicTime aNow) -> void;

/** Number of slots that may be used, between 1 and all. */
auto CurrentLimit(const LimiterState& aState, std::int64_t aSlots)
  -> std::int64_t;

} // namespace eelgrasspost::routing
