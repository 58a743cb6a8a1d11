#include "endpointhealth.h"

#include <algorithm>

namespace eelgrasspost::routing {

namespace {

constexpr int kConsecutiveFailuresToEject = 5;
constexpr std::int64_t kMaxEjectedPercent = 34;
constexpr std::int64_t kPercent = 100;
constexpr auto kFirstProbeDelay = base::Milliseconds(1000);
constexpr int kMaxDoublings = 5;

auto ScheduleNextProbe(EndpointHealth& aHealth, base::MonotonicTime aNow)
  -> void
{
  const auto doublings = std::min(aHealth.mScheduledProbes, kMaxDoublings);
  aHealth.mProbeAt = aNow + kFirstProbeDelay * (1 << doublings);
  ++aHealth.mScheduledProbes;
}

} // namespace

auto MaxEjected(std::int64_t aEndpoints) -> std::int64_t
{
  return aEndpoints * kMaxEjectedPercent / kPercent;
}

auto ObserveFailure(EndpointHealth& aHealth,
                    std::int64_t aEjected,
                    std::int64_t aEndpoints,
                    base::MonotonicTime aNow) -> bool
{
  ++aHealth.mConsecutiveFailures;
  if (aHealth.mEjected ||
      aHealth.mConsecutiveFailures < kConsecutiveFailuresToEject ||
      aEjected >= MaxEjected(aEndpoints)) {
    return false;
  }
  aHealth.mEjected = true;
  ScheduleNextProbe(aHealth, aNow);
  return true;
}

auto ObserveSuccess(EndpointHealth& aHealth) -> bool
{
  const auto wasEjected = aHealth.mEjected;
  aHealth = EndpointHealth();
  return wasEjected;
}

auto TryProbe(EndpointHealth& aHealth, base::MonotonicTime aNow) -> bool
{
  if (!aHealth.mEjected || aNow < aHealth.mProbeAt) {
    return false;
  }
  ScheduleNextProbe(aHealth, aNow);
  return true;
}

} // namespace eelgrasspost::routing
