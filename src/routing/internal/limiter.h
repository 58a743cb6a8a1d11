#pragma once

#include <cstdint>

#include "eelgrasspost/base/clock.h"

namespace eelgrasspost::routing {

/** Slots of one worker that may be used at present. */
struct LimiterState
{
  double mLimit = 0;
  /** Recent time of requests over the mean of their service on all workers. */
  double mSlowdown = 1.0;
  base::MonotonicTime mChangedAt{};
};

/**
 * Takes one answered request in. A worker that is much slower than the
 * service's other workers, as beside a noisy neighbour, loses slots
 * multiplicatively, down to the share that its speed is of the mean, and gains
 * them back one at a time; between the two bounds nothing changes.
 */
auto ObserveSlowdown(LimiterState& aState,
                     double aSlowdown,
                     std::int64_t aSlots,
                     base::MonotonicTime aNow) -> void;

/** Whole slots that may be used: at least one, at most all. */
auto CurrentLimit(const LimiterState& aState, std::int64_t aSlots)
  -> std::int64_t;

} // namespace eelgrasspost::routing
