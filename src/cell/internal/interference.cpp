#include "eelgrasspost/cell/interference.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrasspost::cell {

namespace {

/** Prior of the tail latency without best-effort tasks, as a share of the
 * target. */
constexpr double kPriorBaselineTail = 0.45;
/** Prior of a pair's pressure. Regressions over the reports of four days put a
 * third of the pairs between 2 and 10 and the others near 0. */
constexpr double kPriorPressure = 1.5;
constexpr double kPriorVariance = 4.0;
/** Variance of the logarithm of one reported tail: the residuals of those
 * regressions have a standard deviation of 0.4 to 0.5. */
constexpr double kReportVariance = 0.15;
/** Prior variance of a worker's offset. */
constexpr double kOffsetPriorVariance = 0.4;
/** Rise of the logarithm that the serving load alone can cause. It can hide the
 * effect of a small use, so the standard deviation of a pair's pressure stays
 * at or above this value divided by the use. */
constexpr double kUndetectableLogRise = 0.06;
/** Weight of a new report in the moving average of the baseline. */
constexpr double kBaselineRate = 0.05;
/** Bound of the residual of the logarithm in one report. */
constexpr double kMaxResidual = 2.0;
constexpr double kMinPressure = 0.2;
constexpr double kMaxPressure = 15.0;
constexpr double kMaxLogOffset = 2.5;
/** Tails far above the target only show that it was missed. */
constexpr double kMaxTail = 6.0;
constexpr double kMinTail = 0.05;

/** Replaces an estimate and keeps its unsent information. */
auto SetEstimate(PairEstimate& aPair, double aPressure, double aVariance)
  -> void
{
  const auto unsent = aPair.mUnsent;
  aPair = MakePairEstimate(aPressure, aVariance);
  aPair.mUnsent = unsent;
}

/** Adds the difference between two estimates to what is unsent. */
auto RecordLearned(PairEstimate& aPair,
                   const PairEstimate& aBefore,
                   double aMinVariance) -> void
{
  auto& unsent = aPair.mUnsent;
  const auto gained = 1.0 / aPair.mVariance - 1.0 / aBefore.mVariance;
  if (gained <= 0) {
    return;
  }
  unsent.mMinVariance = unsent.mPrecision > 0
                          ? std::min(unsent.mMinVariance, aMinVariance)
                          : aMinVariance;
  unsent.mPrecision += gained;
  unsent.mWeightedPressure +=
    aPair.mPressure / aPair.mVariance - aBefore.mPressure / aBefore.mVariance;
}

/** Share of the distance to its prior that an estimate moves in aSeconds. */
auto DecayShare(double aSeconds, double aTimeConstantS) -> double
{
  return 1.0 - std::exp(-aSeconds / aTimeConstantS);
}

} // namespace

auto MakePairEstimate(double aPressure, double aVariance) -> PairEstimate
{
  return { aPressure, aVariance, aPressure + std::sqrt(aVariance) };
}

auto IsLearned(const PairEstimate& aPair) -> bool
{
  constexpr double kMaxShareOfPrior = 0.9;
  return aPair.mVariance < kMaxShareOfPrior * kPriorVariance;
}

auto ImageIndex(Interference& aInterference, const std::string& aImage)
  -> std::size_t
{
  auto& images = aInterference.mImages;
  const auto it = std::find(images.begin(), images.end(), aImage);
  if (it != images.end()) {
    return static_cast<std::size_t>(it - images.begin());
  }
  images.push_back(aImage);
  const auto prior = MakePairEstimate(kPriorPressure, kPriorVariance);
  for (auto& row : aInterference.mPairs) {
    row.push_back(prior);
  }
  aInterference.mPairs.emplace_back(images.size(), prior);
  aInterference.mBaselineTails.push_back(kPriorBaselineTail);
  return images.size() - 1;
}

auto PressureOn(const Interference& aInterference,
                std::size_t aServing,
                const std::vector<ImageUse>& aUses) -> double
{
  auto out = 0.0;
  for (const auto& it : aUses) {
    out += aInterference.mPairs[it.mImage][aServing].mUpperBound * it.mUse *
           it.mCpuShare;
  }
  return out;
}

auto ExpectedTail(const Interference& aInterference,
                  std::size_t aServing,
                  const std::vector<ImageUse>& aUses) -> double
{
  return aInterference.mBaselineTails[aServing] *
         std::exp(PressureOn(aInterference, aServing, aUses));
}

auto AdoptPairEstimate(Interference& aInterference,
                       std::size_t aBestEffort,
                       std::size_t aServing,
                       PairEstimate aPair) -> void
{
  auto& pair = aInterference.mPairs[aBestEffort][aServing];
  // The comparison is false for values that are not numbers.
  const auto isValid = aPair.mPressure >= kMinPressure &&
                       aPair.mPressure <= kMaxPressure && aPair.mVariance > 0;
  if (isValid && aPair.mVariance < pair.mVariance) {
    SetEstimate(pair, aPair.mPressure, aPair.mVariance);
  }
}

auto TakeUnsent(Interference& aInterference,
                std::size_t aBestEffort,
                std::size_t aServing) -> PairInformation
{
  return std::exchange(aInterference.mPairs[aBestEffort][aServing].mUnsent, {});
}

auto AddInformation(Interference& aInterference,
                    std::size_t aBestEffort,
                    std::size_t aServing,
                    const PairInformation& aInformation) -> void
{
  const auto isValid = aInformation.mPrecision > 0 &&
                       std::isfinite(aInformation.mPrecision) &&
                       std::isfinite(aInformation.mWeightedPressure) &&
                       aInformation.mMinVariance > 0;
  if (!isValid) {
    return;
  }
  auto& pair = aInterference.mPairs[aBestEffort][aServing];
  const auto precision = 1.0 / pair.mVariance + aInformation.mPrecision;
  const auto pressure =
    (pair.mPressure / pair.mVariance + aInformation.mWeightedPressure) /
    precision;
  const auto minVariance = std::min(pair.mVariance, aInformation.mMinVariance);
  SetEstimate(pair,
              std::clamp(pressure, kMinPressure, kMaxPressure),
              std::max(minVariance, 1.0 / precision));
}

auto Decay(Interference& aInterference, double aSeconds) -> void
{
  // In benchmark runs with 40 s of traffic most pairs keep their pressure; some
  // change by half.
  constexpr double kPressureTimeConstantS = 300.0;
  constexpr double kVarianceTimeConstantS = 200.0;
  const auto share = DecayShare(aSeconds, kPressureTimeConstantS);
  const auto varianceShare = DecayShare(aSeconds, kVarianceTimeConstantS);
  for (auto& row : aInterference.mPairs) {
    for (auto& it : row) {
      SetEstimate(it,
                  it.mPressure + share * (kPriorPressure - it.mPressure),
                  it.mVariance +
                    varianceShare * (kPriorVariance - it.mVariance));
    }
  }
}

auto Decay(WorkerTailOffset& aOffset, double aSeconds) -> void
{
  // Slow workers and peaks of the serving load last for some seconds.
  constexpr double kOffsetTimeConstantS = 4.0;
  const auto share = DecayShare(aSeconds, kOffsetTimeConstantS);
  aOffset.mLogOffset -= share * aOffset.mLogOffset;
  aOffset.mVariance += share * (kOffsetPriorVariance - aOffset.mVariance);
}

auto LearnTail(Interference& aInterference,
               WorkerTailOffset& aOffset,
               std::size_t aServing,
               double aTail,
               const std::vector<ImageUse>& aUses) -> void
{
  auto& baseline = aInterference.mBaselineTails[aServing];
  const auto tail = std::clamp(aTail, kMinTail, kMaxTail);
  if (aUses.empty()) {
    constexpr double kMaxBaseline = 0.8;
    baseline += kBaselineRate * (std::min(tail, kMaxBaseline) - baseline);
  }
  auto expected = std::log(baseline) + aOffset.mLogOffset;
  auto variance = kReportVariance + aOffset.mVariance;
  for (const auto& it : aUses) {
    const auto& pair = aInterference.mPairs[it.mImage][aServing];
    expected += pair.mPressure * it.mUse;
    variance += pair.mVariance * it.mUse * it.mUse;
  }
  const auto weightedResidual =
    std::clamp(std::log(tail) - expected, -kMaxResidual, kMaxResidual) /
    variance;
  aOffset.mLogOffset =
    std::clamp(aOffset.mLogOffset + aOffset.mVariance * weightedResidual,
               0.0,
               kMaxLogOffset);
  aOffset.mVariance -= aOffset.mVariance * aOffset.mVariance / variance;
  for (const auto& it : aUses) {
    auto& pair = aInterference.mPairs[it.mImage][aServing];
    const auto gain = pair.mVariance * it.mUse;
    const auto pressure = std::clamp(
      pair.mPressure + gain * weightedResidual, kMinPressure, kMaxPressure);
    const auto undetectable =
      kUndetectableLogRise / std::max(it.mUse, kMinTail);
    const auto minVariance =
      std::min(pair.mVariance, undetectable * undetectable);
    const auto before = pair;
    SetEstimate(pair,
                pressure,
                std::max(minVariance, pair.mVariance - gain * gain / variance));
    RecordLearned(pair, before, undetectable * undetectable);
  }
}

} // namespace eelgrasspost::cell
