#include "eelgrasspost/cell/interference.h"

#include <algorithm>
#include <cmath>

namespace eelgrasspost::cell {

namespace {

/** Tail latency without filling tasks, before any was seen. */
constexpr double kAssumedCalmTail = 0.45;
/** A pair of which nothing is known: one task of a tenth of a worker may be
 * tried beside serving tasks, two may not. */
constexpr double kAssumedPressure = 5.0;
/** How fast belief rises after harm, and falls after work without harm. The
 * first is faster: harm costs more than room that is left unused. */
constexpr double kRiseRate = 0.5;
constexpr double kFallRate = 0.05;
constexpr double kCalmRate = 0.05;
/** Tails above the first are harm; below the second they are none. Between
 * them the swing of the serving load explains them. */
constexpr double kHarmfulTail = 0.9;
constexpr double kHarmlessTail = 0.7;
/** Belief falls until no more than this tail is expected of what was seen to
 * be harmless, so that several times as much may be tried next. */
constexpr double kProvenTail = 0.5;
/** Largest error of the logarithm that one sample may show. */
constexpr double kMostMiss = 2.0;
constexpr double kLeastPressure = 0.1;
constexpr double kMostPressure = 40.0;
/** Tails far above the target say no more than that it was missed. */
constexpr double kMostTail = 6.0;
constexpr double kLeastTail = 0.05;
constexpr std::uint32_t kMostSamples = 1000;

} // namespace

auto ImageIndex(Interference& aInterference, const std::string& aImage)
  -> std::size_t
{
  auto& images = aInterference.mImages;
  const auto it = std::find(images.begin(), images.end(), aImage);
  if (it != images.end()) {
    return static_cast<std::size_t>(it - images.begin());
  }
  images.push_back(aImage);
  const auto unknown = PairPressure{ kAssumedPressure, 0 };
  for (auto& row : aInterference.mPairs) {
    row.push_back(unknown);
  }
  aInterference.mPairs.emplace_back(images.size(), unknown);
  aInterference.mCalmTails.push_back(kAssumedCalmTail);
  return images.size() - 1;
}

auto PressureOn(const Interference& aInterference,
                std::size_t aServing,
                const std::vector<ImageUse>& aUses) -> double
{
  auto out = 0.0;
  for (const auto& it : aUses) {
    out += aInterference.mPairs[it.mImage][aServing].mPressure * it.mUse;
  }
  return out;
}

auto ExpectedTail(const Interference& aInterference,
                  std::size_t aServing,
                  const std::vector<ImageUse>& aUses) -> double
{
  return aInterference.mCalmTails[aServing] *
         std::exp(PressureOn(aInterference, aServing, aUses));
}

auto AdoptPair(Interference& aInterference,
               std::size_t aFilling,
               std::size_t aServing,
               PairPressure aPair) -> void
{
  auto& pair = aInterference.mPairs[aFilling][aServing];
  if (aPair.mSamples > pair.mSamples) {
    pair = aPair;
  }
}

auto Forget(Interference& aInterference, double aSeconds) -> void
{
  // Halves the distance to the assumption in about ten seconds.
  constexpr double kForgetRate = 0.07;
  const auto factor = std::exp(-kForgetRate * aSeconds);
  for (auto& row : aInterference.mPairs) {
    for (auto& it : row) {
      if (it.mPressure > kAssumedPressure) {
        it.mPressure =
          kAssumedPressure + (it.mPressure - kAssumedPressure) * factor;
      }
    }
  }
}

auto LearnTail(Interference& aInterference,
               std::size_t aServing,
               double aTail,
               const std::vector<ImageUse>& aUses) -> void
{
  auto& calm = aInterference.mCalmTails[aServing];
  const auto tail = std::clamp(aTail, kLeastTail, kMostTail);
  if (aUses.empty()) {
    constexpr double kHighestCalm = 0.8;
    calm += kCalmRate * (std::min(tail, kHighestCalm) - calm);
    return;
  }
  // Belief changes by factors: what is known to be harmless stays so when a
  // harmful image comes beside it.
  const auto expected = ExpectedTail(aInterference, aServing, aUses);
  const auto isRise = tail > kHarmfulTail && tail > expected;
  const auto proven = std::max(tail, kProvenTail);
  const auto isFall = tail < kHarmlessTail && expected > proven;
  if (!isRise && !isFall) {
    return;
  }
  const auto miss = std::clamp(
    std::log((isRise ? tail : proven) / expected), -kMostMiss, kMostMiss);
  const auto rate = isRise ? kRiseRate : kFallRate;
  const auto whole = PressureOn(aInterference, aServing, aUses);
  for (const auto& it : aUses) {
    auto& pair = aInterference.mPairs[it.mImage][aServing];
    const auto share = pair.mPressure * it.mUse / std::max(whole, kLeastTail);
    pair.mPressure = std::clamp(pair.mPressure * std::exp(rate * miss * share),
                                kLeastPressure,
                                kMostPressure);
    pair.mSamples = std::min(kMostSamples, pair.mSamples + 1);
  }
}

} // namespace eelgrasspost::cell
