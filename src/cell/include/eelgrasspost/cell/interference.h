#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasspost::cell {

/** Belief about how one filling image disturbs one serving image. */
struct PairEstimate
{
  /** Rise of the logarithm of the tail latency, for a worker whose processor
   * the filling image uses whole. */
  double mPressure = 0;
  double mVariance = 0;
  /** The pressure by which room is given: one standard deviation more. */
  double mUpperBound = 0;
};

/** Rise of the logarithm of all tails of one worker that its filling tasks do
 * not explain: the worker itself is slow, or its serving load swings. */
struct WorkerTailOffset
{
  double mLogOffset = 0;
  double mVariance = 0;
};

/**
 * How much filling tasks raise the tail latency of serving tasks beside them.
 * It differs from pair to pair of images by orders of magnitude, so each pair
 * is learned for itself, by a Kalman filter without covariances.
 */
struct Interference
{
  std::vector<std::string> mImages;
  /** By the index of the filling image, then of the serving image. */
  std::vector<std::vector<PairEstimate>> mPairs;
  /** Tail latency without disturbance, as a share of the target, by image. */
  std::vector<double> mBaselineTails;
};

/** Use of the processor by one filling image, as a share of the worker. */
struct ImageUse
{
  std::size_t mImage = 0;
  double mUse = 0;
  /** Share of its speed that the image is let have. */
  double mCpuShare = 1;
};

/** A belief with its cautious bound. */
auto MakePairEstimate(double aPressure, double aVariance) -> PairEstimate;

/** Whether a pair is known better than a new one. */
auto IsLearned(const PairEstimate& aPair) -> bool;

/** The index of an image; a new one gets cautious assumptions. */
auto ImageIndex(Interference& aInterference, const std::string& aImage)
  -> std::size_t;

/** Cautious rise of the logarithm of the tail of a serving image. */
auto PressureOn(const Interference& aInterference,
                std::size_t aServing,
                const std::vector<ImageUse>& aUses) -> double;

/** Cautious tail of a serving image, as a share of its target. */
auto ExpectedTail(const Interference& aInterference,
                  std::size_t aServing,
                  const std::vector<ImageUse>& aUses) -> double;

/** Takes over what others have learned of a pair, if they are surer of it. */
auto AdoptPairEstimate(Interference& aInterference,
                       std::size_t aFilling,
                       std::size_t aServing,
                       PairEstimate aPair) -> void;

/** Beliefs become less certain with time: disturbance changes, and what is
 * believed harmful is not tried again otherwise. */
auto Decay(Interference& aInterference, double aSeconds) -> void;
auto Decay(WorkerTailOffset& aRise, double aSeconds) -> void;

/** Learns from the tail latency, as a share of its target, that a serving
 * image has on a worker. */
auto LearnTail(Interference& aInterference,
               WorkerTailOffset& aRise,
               std::size_t aServing,
               double aTail,
               const std::vector<ImageUse>& aUses) -> void;

} // namespace eelgrasspost::cell
