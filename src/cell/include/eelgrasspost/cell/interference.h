#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasspost::cell {

/** Information about a pair, in the form in which independent sources can be
 * added up. */
struct PairInformation
{
  /** Inverse of the variance, and the pressure times that. */
  double mPrecision = 0;
  double mWeightedPressure = 0;
  /** Smallest variance that the observations can justify. */
  double mMinVariance = 0;
};

/** Estimate of how much one best-effort image raises the tail latency of one
 * serving image. */
struct PairEstimate
{
  /** Rise of the logarithm of the tail latency when the best-effort image uses
   * all CPU of the worker. */
  double mPressure = 0;
  double mVariance = 0;
  /** The pressure plus one standard deviation, by which tasks are placed. */
  double mUpperBound = 0;
  /** Learned from reports here, and not yet sent to other cells. */
  PairInformation mUnsent{};
};

/** Rise of the logarithm of all tail latencies of one worker that its
 * best-effort tasks do not explain: the worker itself is slow, or its serving
 * load varies. */
struct WorkerTailOffset
{
  double mLogOffset = 0;
  double mVariance = 0;
};

/**
 * Estimates how much best-effort tasks raise the tail latency of serving tasks
 * on the same worker. The effect differs between pairs of images by orders of
 * magnitude, so each pair has its own estimate, updated by a Kalman filter
 * without covariances.
 */
struct Interference
{
  std::vector<std::string> mImages;
  /** By the index of the best-effort image, then of the serving image. */
  std::vector<std::vector<PairEstimate>> mPairs;
  /** Tail latency without interference, as a share of the target, by image. */
  std::vector<double> mBaselineTails;
};

/** CPU use of one best-effort image, as a share of the worker's CPU. */
struct ImageUse
{
  std::size_t mImage = 0;
  double mUse = 0;
  /** CPU share that the image is allowed, from 0 to 1. */
  double mCpuShare = 1;
};

auto MakePairEstimate(double aPressure, double aVariance) -> PairEstimate;

/** Whether a pair's estimate is more certain than that of a new pair. */
auto IsLearned(const PairEstimate& aPair) -> bool;

/** The index of an image; a new one gets the prior estimates. */
auto ImageIndex(Interference& aInterference, const std::string& aImage)
  -> std::size_t;

/** Upper bound of the rise of the logarithm of a serving image's tail. */
auto PressureOn(const Interference& aInterference,
                std::size_t aServing,
                const std::vector<ImageUse>& aUses) -> double;

/** Upper bound of a serving image's tail, as a share of its target. */
auto ExpectedTail(const Interference& aInterference,
                  std::size_t aServing,
                  const std::vector<ImageUse>& aUses) -> double;

/** Adopts another cell's estimate of a pair if its variance is lower. */
auto AdoptPairEstimate(Interference& aInterference,
                       std::size_t aBestEffort,
                       std::size_t aServing,
                       PairEstimate aPair) -> void;

/** Returns what was learned about a pair since the last call. */
auto TakeUnsent(Interference& aInterference,
                std::size_t aBestEffort,
                std::size_t aServing) -> PairInformation;

/** Adds what another cell has learned about a pair from its own reports. */
auto AddInformation(Interference& aInterference,
                    std::size_t aBestEffort,
                    std::size_t aServing,
                    const PairInformation& aInformation) -> void;

/** Moves the estimates towards their priors as time passes. Interference
 * changes, and a pair that is estimated as harmful would never be tried
 * again. */
auto Decay(Interference& aInterference, double aSeconds) -> void;
auto Decay(WorkerTailOffset& aOffset, double aSeconds) -> void;

/** Updates the estimates from a serving image's tail latency on a worker, as a
 * share of its target. */
auto LearnTail(Interference& aInterference,
               WorkerTailOffset& aOffset,
               std::size_t aServing,
               double aTail,
               const std::vector<ImageUse>& aUses) -> void;

} // namespace eelgrasspost::cell
