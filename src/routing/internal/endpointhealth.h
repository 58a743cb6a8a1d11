#pragma once

#include <cstdint>

#include "eelgrasspost/base/clock.h"

namespace eelgrasspost::routing {

/** Failures of one endpoint in a row, and whether it is left out for them. */
struct EndpointHealth
{
  int mConsecutiveFailures = 0;
  bool mEjected = false;
  /** Ejections since the last success; each doubles the time until a probe. */
  int mEjections = 0;
  base::MonotonicTime mProbeAt{};
};

/** Most endpoints of a service, of those given, that may be left out. */
auto MaxEjected(std::int64_t aEndpoints) -> std::int64_t;

/**
 * Takes a failure in; true when the endpoint is newly left out. That happens
 * only while fewer than MaxEjected() are.
 */
auto ObserveFailure(EndpointHealth& aHealth,
                    std::int64_t aEjected,
                    std::int64_t aEndpoints,
                    base::MonotonicTime aNow) -> bool;

/** Takes a success in; true when the endpoint is taken back. */
auto ObserveSuccess(EndpointHealth& aHealth) -> bool;

/** Whether one request may try an endpoint that is left out; if so, the next
 * probe is put off. */
auto TryProbe(EndpointHealth& aHealth, base::MonotonicTime aNow) -> bool;

} // namespace eelgrasspost::routing
