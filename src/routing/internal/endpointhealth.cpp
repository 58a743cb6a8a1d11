#include "endpointhealth.h"

#include <algorithm>

namespace eelgrasspost::routing {

namespace {

constexpr int kFailuresToEject = 5;
constexpr std::int64_t kMostEjectedPercent = 34;
constexpr std::int64_t kPercent = 100;
constexpr auto kFirstProbe = base::Milliseconds(1000);
constexpr int kMostDoublings = 5;

auto PutOffProbe(EndpointHealth& aHealth, base::MonotonicTime aNow) -> void
{
  const auto doublings = std::min(aHealth.mEjections, kMostDoublings);
  aHealth.mProbeAt = aNow + kFirstProbe * (1 << doublings);
  ++aHealth.mEjections;
}

} // namespace

auto MostEjected(std::int64_t aEndpoints) -> std::int64_t
{
  return aEndpoints * kMostEjectedPercent / kPercent;
}

auto ObserveFailure(EndpointHealth& aHealth,
                    std::int64_t aEjected,
                    std::int64_t aEndpoints,
                    base::MonotonicTime aNow) -> bool
{
  ++aHealth.mFailuresInRow;
  if (aHealth.mEjected || aHealth.mFailuresInRow < kFailuresToEject ||
      aEjected >= MostEjected(aEndpoints)) {
    return false;
  }
  aHealth.mEjected = true;
  PutOffProbe(aHealth, aNow);
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
  PutOffProbe(aHealth, aNow);
  return true;
}

} // namespace eelgrasspost::routing
