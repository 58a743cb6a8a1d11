#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasspost::cell {

/** How one filling image disturbs one serving image. */
struct PairPressure
{
  /** Rise of the logarithm of the tail latency, for a worker whose processor
   * the filling image uses whole. */
  double mPressure = 0;
  std::uint32_t mSamples = 0;
};

/**
 * How much filling tasks raise the tail latency of serving tasks beside them.
 * It differs from pair to pair of images by orders of magnitude, so each pair
 * is learned for itself.
 */
struct Interference
{
  std::vector<std::string> mImages;
  /** By the index of the filling image, then of the serving image. */
  std::vector<std::vector<PairPressure>> mPairs;
  /** Tail latency without disturbance, as a share of the target, by image. */
  std::vector<double> mCalmTails;
};

/** Use of the processor by one filling image, as a share of the worker. */
struct ImageUse
{
  std::size_t mImage = 0;
  double mUse = 0;
};

/** The index of an image; a new one gets cautious assumptions. */
auto ImageIndex(Interference& aInterference, const std::string& aImage)
  -> std::size_t;

/** Expected rise of the logarithm of the tail of a serving image. */
auto PressureOn(const Interference& aInterference,
                std::size_t aServing,
                const std::vector<ImageUse>& aUses) -> double;

/** Expected tail of a serving image, as a share of its target. */
auto ExpectedTail(const Interference& aInterference,
                  std::size_t aServing,
                  const std::vector<ImageUse>& aUses) -> double;

/** Takes over what others have learned of a pair, if they saw more of it. */
auto AdoptPair(Interference& aInterference,
               std::size_t aFilling,
               std::size_t aServing,
               PairPressure aPair) -> void;

/** Forgets slowly: disturbance changes, and what is believed harmful is not
 * tried again otherwise. */
auto Forget(Interference& aInterference, double aSeconds) -> void;

/** Learns from one tail latency, given as a share of its target. */
auto LearnTail(Interference& aInterference,
               std::size_t aServing,
               double aTail,
               const std::vector<ImageUse>& aUses) -> void;

} // namespace eelgrasspost::cell
