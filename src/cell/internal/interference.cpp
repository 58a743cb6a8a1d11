#include "eelgrasspost/cell/interference.h"

#include <algorithm>
#include <cmath>

namespace eelgrasspost::cell {

namespace {

/** Tail latency without filling tasks, before any was seen. */
constexpr double kAssumedCalmTail = 0.45;
/** A pair of which nothing is known: regressions over the reports of four
 * days put a third of the pairs between 2 and 10 and the others near 0. */
constexpr double kAssumedPressure = 1.5;
constexpr double kAssumedVariance = 4.0;
/** Variance of the logarithm of one reported tail: the residuals of those
 * regressions have a standard deviation of 0.4 to 0.5. */
constexpr double kReportVariance = 0.15;
/** The same for what concerns one worker only, before anything was seen. */
constexpr double kRiseVariance = 0.4;
/** Rise by serving load alone: what a small use may hide. A pair seen at a use
 * is known no better than this, divided by the use. */
constexpr double kHiddenRise = 0.06;
constexpr double kCalmRate = 0.05;
/** Largest error of the logarithm that one sample may show. */
constexpr double kMostMiss = 2.0;
constexpr double kLeastPressure = 0.2;
constexpr double kMostPressure = 15.0;
constexpr double kMostRise = 2.5;
/** Tails far above the target say no more than that it was missed. */
constexpr double kMostTail = 6.0;
constexpr double kLeastTail = 0.05;

/** Share of the way to the assumption that belief goes in a time. */
auto ForgottenShare(double aSeconds, double aTimeConstantS) -> double
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
  constexpr double kWorthTelling = 0.9;
  return aPair.mVariance < kWorthTelling * kAssumedVariance;
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
  const auto unknown = MakePairEstimate(kAssumedPressure, kAssumedVariance);
  for (auto& row : aInterference.mPairs) {
    row.push_back(unknown);
  }
  aInterference.mPairs.emplace_back(images.size(), unknown);
  aInterference.mBaselineTails.push_back(kAssumedCalmTail);
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
                       std::size_t aFilling,
                       std::size_t aServing,
                       PairEstimate aPair) -> void
{
  auto& pair = aInterference.mPairs[aFilling][aServing];
  if (aPair.mVariance < pair.mVariance) {
    pair = MakePairEstimate(aPair.mPressure, aPair.mVariance);
  }
}

auto Decay(Interference& aInterference, double aSeconds) -> void
{
  // Most pairs keep their size over a day of 40 s, some change by half.
  constexpr double kPressureTimeS = 300.0;
  constexpr double kVarianceTimeS = 200.0;
  const auto share = ForgottenShare(aSeconds, kPressureTimeS);
  const auto varianceShare = ForgottenShare(aSeconds, kVarianceTimeS);
  for (auto& row : aInterference.mPairs) {
    for (auto& it : row) {
      it = MakePairEstimate(
        it.mPressure + share * (kAssumedPressure - it.mPressure),
        it.mVariance + varianceShare * (kAssumedVariance - it.mVariance));
    }
  }
}

auto Decay(WorkerTailOffset& aRise, double aSeconds) -> void
{
  // A worker is slow, and a serving load high, for some seconds.
  constexpr double kRiseTimeS = 4.0;
  const auto share = ForgottenShare(aSeconds, kRiseTimeS);
  aRise.mLogOffset -= share * aRise.mLogOffset;
  aRise.mVariance += share * (kRiseVariance - aRise.mVariance);
}

auto LearnTail(Interference& aInterference,
               WorkerTailOffset& aRise,
               std::size_t aServing,
               double aTail,
               const std::vector<ImageUse>& aUses) -> void
{
  auto& calm = aInterference.mBaselineTails[aServing];
  const auto tail = std::clamp(aTail, kLeastTail, kMostTail);
  if (aUses.empty()) {
    constexpr double kHighestCalm = 0.8;
    calm += kCalmRate * (std::min(tail, kHighestCalm) - calm);
  }
  auto expected = std::log(calm) + aRise.mLogOffset;
  auto variance = kReportVariance + aRise.mVariance;
  for (const auto& it : aUses) {
    const auto& pair = aInterference.mPairs[it.mImage][aServing];
    expected += pair.mPressure * it.mUse;
    variance += pair.mVariance * it.mUse * it.mUse;
  }
  const auto miss =
    std::clamp(std::log(tail) - expected, -kMostMiss, kMostMiss) / variance;
  aRise.mLogOffset =
    std::clamp(aRise.mLogOffset + aRise.mVariance * miss, 0.0, kMostRise);
  aRise.mVariance -= aRise.mVariance * aRise.mVariance / variance;
  for (const auto& it : aUses) {
    auto& pair = aInterference.mPairs[it.mImage][aServing];
    const auto gain = pair.mVariance * it.mUse;
    const auto pressure =
      std::clamp(pair.mPressure + gain * miss, kLeastPressure, kMostPressure);
    const auto hidden = kHiddenRise / std::max(it.mUse, kLeastTail);
    const auto least = std::min(pair.mVariance, hidden * hidden);
    pair = MakePairEstimate(
      pressure, std::max(least, pair.mVariance - gain * gain / variance));
  }
}

} // namespace eelgrasspost::cell
