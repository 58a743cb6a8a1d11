#include "eelgrasspost/placement/interference.h"

#include <algorithm>
#include <cmath>

namespace eelgrasspost::placement {

namespace {

/** Loads are similar if they fall into the same bucket of this width. */
constexpr std::int64_t kLoadBucketPercent = 25;
constexpr std::size_t kMaxPairs = 4096;

auto Decay(base::MonotonicTime aFrom,
           base::MonotonicTime aTo,
           base::Milliseconds aHalfLife) -> double
{
  const auto passed = std::chrono::duration<double, std::milli>(aTo - aFrom);
  const auto halfLives =
    passed.count() / static_cast<double>(aHalfLife.count());
  return std::exp2(-std::max(0.0, halfLives));
}

/** Next mitigation of a pair with the given slowdown. */
auto NextMitigation(Mitigation aCurrent,
                    double aSlowdown,
                    base::MonotonicTime aSince,
                    const InterferencePolicy& aPolicy,
                    base::MonotonicTime aNow) -> Mitigation
{
  if (aSlowdown <= aPolicy.mLowSlowdown) {
    return Mitigation::None;
  }
  if (aCurrent == Mitigation::None) {
    return aSlowdown >= aPolicy.mHighSlowdown ? Mitigation::Throttle
                                              : Mitigation::None;
  }
  const auto isObservationOver = aNow - aSince >= aPolicy.mThrottleObservation;
  if (aCurrent == Mitigation::Throttle && isObservationOver &&
      aSlowdown >= aPolicy.mHighSlowdown) {
    return Mitigation::Evict;
  }
  return aCurrent;
}

} // namespace

auto DecayedMean::Add(double aValue,
                      base::MonotonicTime aAt,
                      base::Milliseconds aHalfLife) -> void
{
  if (mWeight > 0 && aAt < mAt) {
    const auto share = Decay(aAt, mAt, aHalfLife);
    mSum += aValue * share;
    mWeight += share;
    return;
  }
  const auto keep = mWeight > 0 ? Decay(mAt, aAt, aHalfLife) : 0.0;
  mSum = mSum * keep + aValue;
  mWeight = mWeight * keep + 1;
  mAt = aAt;
}

auto DecayedMean::WeightAt(base::MonotonicTime aNow,
                           base::Milliseconds aHalfLife) const -> double
{
  return mWeight * Decay(mAt, aNow, aHalfLife);
}

InterferenceTracker::InterferenceTracker(InterferencePolicy aPolicy)
  : mPolicy(aPolicy)
{
}

auto InterferenceTracker::Add(const LatencySample& aSample) -> void
{
  const auto bucket = aSample.mLoadPercent / kLoadBucketPercent;
  if (aSample.mJobs.empty()) {
    mBaselines[aSample.mService][bucket].Add(
      aSample.mLatencyMs, aSample.mMeasuredAt, mPolicy.mHalfLife);
    return;
  }
  for (const auto& job : aSample.mJobs) {
    auto& pair = mPairs[{ aSample.mService, job }];
    pair.mColocated[bucket].Add(
      aSample.mLatencyMs, aSample.mMeasuredAt, mPolicy.mHalfLife);
  }
  if (mPairs.size() > kMaxPairs) {
    RemoveLightestPair(aSample.mMeasuredAt);
  }
}

auto InterferenceTracker::RemoveLightestPair(base::MonotonicTime aNow) -> void
{
  const auto weight = [&](const auto& aEntry) {
    double sum = 0;
    for (const auto& [bucket, mean] : aEntry.second.mColocated) {
      sum += mean.WeightAt(aNow, mPolicy.mHalfLife);
    }
    return sum;
  };
  mPairs.erase(std::ranges::min_element(mPairs, {}, weight));
}

auto InterferenceTracker::Slowdown(const std::string& aService,
                                   const std::string& aJob,
                                   base::MonotonicTime aNow) const -> double
{
  const auto baseline = mBaselines.find(aService);
  const auto pair = mPairs.find({ aService, aJob });
  if (baseline == mBaselines.end() || pair == mPairs.end()) {
    return 1.0;
  }
  double sum = 0;
  double weight = 0;
  for (const auto& [bucket, colocated] : pair->second.mColocated) {
    const auto baselineMean = baseline->second.find(bucket);
    if (baselineMean == baseline->second.end() ||
        baselineMean->second.Mean() <= 0) {
      continue;
    }
    const auto both =
      std::min(colocated.WeightAt(aNow, mPolicy.mHalfLife),
               baselineMean->second.WeightAt(aNow, mPolicy.mHalfLife));
    sum += both * colocated.Mean() / baselineMean->second.Mean();
    weight += both;
  }
  return weight >= mPolicy.mMinWeight ? sum / weight : 1.0;
}

auto InterferenceTracker::Decide(const std::string& aService,
                                 const std::string& aJob,
                                 base::MonotonicTime aNow) -> Mitigation
{
  const auto it = mPairs.find({ aService, aJob });
  if (it == mPairs.end()) {
    return Mitigation::None;
  }
  auto& pair = it->second;
  const auto next = NextMitigation(pair.mMitigation,
                                   Slowdown(aService, aJob, aNow),
                                   pair.mSince,
                                   mPolicy,
                                   aNow);
  if (next != pair.mMitigation) {
    pair.mMitigation = next;
    pair.mSince = aNow;
  }
  return next;
}

} // namespace eelgrasspost::placement
