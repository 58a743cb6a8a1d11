#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "eelgrasspost/placement/placementtypes.h"

namespace eelgrasspost::placement {

/** A delayed measurement of a service's latency on a worker, with the
 * co-located jobs. */
struct LatencySample
{
  std::string mService;
  /** Percentage of the slots in use at the time of the measurement. Only
   * samples at similar load are compared. */
  std::int64_t mLoadPercent = 0;
  double mLatencyMs = 0;
  /** Jobs with tasks on the same worker. */
  std::vector<std::string> mJobs;
  /** Time of the measurement, not of its arrival. */
  base::MonotonicTime mMeasuredAt;
};

struct InterferencePolicy
{
  /** Half-life of the weight of a sample. */
  base::Milliseconds mHalfLife{ 60000 };
  /** Minimum weight of the samples, both with and without the job, to conclude
   * anything. */
  double mMinWeight = 3.0;
  /** Hysteresis: mitigation starts at the high slowdown and ends at the low
   * one. */
  double mHighSlowdown = 1.3;
  double mLowSlowdown = 1.1;
  /** CPU share that a throttled task keeps. */
  int mThrottlePercent = 50;
  /** Time for throttling to take effect before an eviction is considered. */
  base::Milliseconds mThrottleObservation{ 10000 };
};

/** Action against a job that slows a service down. */
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

/** Mean with exponentially decaying weights. */
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
 * Learns which jobs slow down which services, by comparing a service's latency
 * with the job on the same worker to its latency without any job, at similar
 * load. The number of pairs is bounded; the pair with the least sample weight
 * is removed first.
 */
class InterferenceTracker
{
public:
  explicit InterferenceTracker(InterferencePolicy aPolicy);

  auto Add(const LatencySample& aSample) -> void;
  /** Slowdown factor of a service by a job; 1 while there are too few samples.
   */
  auto Slowdown(const std::string& aService,
                const std::string& aJob,
                base::MonotonicTime aNow) const -> double;
  /** Returns the mitigation to apply now. Updates the state of the hysteresis,
   * so it must be called at each tick. */
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
