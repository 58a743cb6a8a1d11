#pragma once

#include <cstdint>

#include "eelgrasspost/base/clock.h"

namespace eelgrasspost::routing {

/** Consecutive failures of an endpoint and whether it is ejected, that is,
 * temporarily excluded from routing. */
struct EndpointHealth
{
  int mConsecutiveFailures = 0;
  bool mEjected = false;
  /** Probes scheduled since the last success; each doubles the delay of the
   * next one. */
  int mScheduledProbes = 0;
  base::MonotonicTime mProbeAt{};
};

/** How many of the endpoints of a service may be ejected at the same time. */
auto MaxEjected(std::int64_t aEndpoints) -> std::int64_t;

/**
 * Records a failure. Returns true if it ejects the endpoint, which requires
 * that fewer than MaxEjected() endpoints are ejected.
 */
auto ObserveFailure(EndpointHealth& aHealth,
                    std::int64_t aEjected,
                    std::int64_t aEndpoints,
                    base::MonotonicTime aNow) -> bool;

/** Records a success. Returns true if it ends an ejection. */
auto ObserveSuccess(EndpointHealth& aHealth) -> bool;

/** Whether a request may probe an ejected endpoint now; if so, schedules the
 * next probe. */
auto TryProbe(EndpointHealth& aHealth, base::MonotonicTime aNow) -> bool;

} // namespace eelgrasspost::routing
