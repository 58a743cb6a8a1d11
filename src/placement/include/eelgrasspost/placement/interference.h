#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "eelgrasspost/placement/placementtypes.h"

namespace eelgrasspost::placement {

/** One lagging report: a service's latency on a worker and what ran beside. */
struct LatencySample
{
  std::string mService;
  /** Slots in use when it was measured, as a share of all in percent; samples
   * are compared only at like load. */
  std::int64_t mLoadPercent = 0;
  double mLatencyMs = 0;
  /** Jobs whose tasks ran beside the service. */
  std::vector<std::string> mJobs;
  /** When it was measured, not when it came in. */
  base::MonotonicTime mMeasuredAt;
};

struct InterferencePolicy
{
  /** Time in which the weight of a sample halves. */
  base::Milliseconds mHalfLife{ 60000 };
  /** Weight of samples, on both sides, below which nothing is concluded. */
  double mMinWeight = 3.0;
  /** Slowdowns at which a pair is held disturbing, and harmless again. */
  double mHighSlowdown = 1.3;
  double mLowSlowdown = 1.1;
  /** Share of its processors that a throttled task keeps. */
  int mThrottlePercent = 50;
  /** Time that throttling gets to help before an eviction is considered. */
  base::Milliseconds mThrottleObservation{ 10000 };
};

/** What is done about a disturbing pair. */
enum class Mitigation : std::uint8_t
{
  None,
  Throttle,
  Evict,
};

inline constexpr auto kMitigationNames = std::array{
  base::EnumName<Mitigation>{ Mitigation::None, "none" },
  base::EnumName<Mitigation>{ Mitigation::Throttle, "throttle" },
  base::EnumName<Mitigation>{ Mitigation::Evict, "evict" },
};

/** A decayed mean. */
struct DecayedMean
{
  double mSum = 0;
  double mWeight = 0;
  base::MonotonicTime mAt;

  auto Add(double aValue, base::MonotonicTime aAt, base::Milliseconds aHalfLife)
    -> void;
  auto WeightAt(base::MonotonicTime aNow, base::Milliseconds aHalfLife) const
    -> double;
  auto Mean() const -> double { return mWeight > 0 ? mSum / mWeight : 0; }
};

/**
 * Learns which pairs of service and job disturb each other, by comparing the
 * service's latency with the job beside it and without any, at like load. The
 * number of pairs is bounded; the lightest are forgotten first.
 */
class InterferenceTracker
{
public:
  explicit InterferenceTracker(InterferencePolicy aPolicy);

  auto Add(const LatencySample& aSample) -> void;
  /** Slowdown of a service by a job; 1 while too little is known. */
  auto Slowdown(const std::string& aService,
                const std::string& aJob,
                base::MonotonicTime aNow) const -> double;
  /** What to do now; keeps the hysteresis, so call it at each tick. */
  auto Decide(const std::string& aService,
              const std::string& aJob,
              base::MonotonicTime aNow) -> Mitigation;

private:
  struct PairState
  {
    /** By load bucket. */
    std::map<std::int64_t, DecayedMean> mColocated;
    Mitigation mMitigation = Mitigation::None;
    base::MonotonicTime mSince;
  };
  struct PairKey
  {
    std::string mService;
    std::string mJob;
    auto operator<=>(const PairKey&) const = default;
  };

  auto RemoveLightestPair(base::MonotonicTime aNow) -> void;

  InterferencePolicy mPolicy;
  std::map<std::string, std::map<std::int64_t, DecayedMean>> mBaselines;
  std::map<PairKey, PairState> mPairs;
};

} // namespace eelgrasspost::placement
