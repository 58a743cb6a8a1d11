#include "interference.h"

#include <algorithm>

namespace eelgrasspost::cell {

namespace {

/** Share of its reserved processor time that a serving task uses. */
constexpr double kServingUse = 0.5;
/** Tail latency without filling tasks, as a share of the target. */
constexpr double kCalmTail = 0.5;
/** An image of which nothing is known is taken for a heavy one. */
constexpr double kAssumedPressure = 2.5;
/** Step of one sample; samples of one report weigh together. */
constexpr double kLearningRate = 0.25;
constexpr double kMostPressure = 12.0;
/** Tails far above the target say no more than that it was missed. */
constexpr double kMostTail = 3.0;
/** Keeps steps small when filling tasks hardly ran. */
constexpr double kSmallUse = 0.01;

} // namespace

auto LeftoverCpu(const Worker& aWorker) -> double
{
  const auto serving = static_cast<double>(aWorker.mServingCpuMillis);
  const auto reserved = static_cast<double>(aWorker.mUsed.mCpuMillis);
  return static_cast<double>(aWorker.mRecord.mCapacity.mCpuMillis) -
         (reserved - serving) - serving * kServingUse;
}

auto PressureOfImage(const CellState& aCell, const std::string& aImage)
  -> double
{
  const auto it = aCell.mPressures.find(aImage);
  return it == aCell.mPressures.end() ? kAssumedPressure : it->second.mPressure;
}

auto PressureOn(const CellState& aCell, const Worker& aWorker) -> double
{
  auto out = 0.0;
  for (const auto& [name, run] : aWorker.mRuns) {
    if (run.mIsFilling) {
      out += PressureOfImage(aCell, run.mImage) *
             static_cast<double>(run.mNeed.mCpuMillis);
    }
  }
  return out / static_cast<double>(
                 std::max<std::int64_t>(1, aWorker.mRecord.mCapacity.mCpuMillis));
}

auto PressureOf(const CellState& aCell,
                const Worker& aWorker,
                const StepSpec& aSpec) -> double
{
  return PressureOfImage(aCell, aSpec.mImage) *
         static_cast<double>(aSpec.mNeed.mCpuMillis) /
         static_cast<double>(
           std::max<std::int64_t>(1, aWorker.mRecord.mCapacity.mCpuMillis));
}

auto LearnPressure(CellState& aCell, const Worker& aWorker) -> void
{
  const auto capacity = static_cast<double>(
    std::max<std::int64_t>(1, aWorker.mRecord.mCapacity.mCpuMillis));
  auto tail = 0.0;
  auto samples = 0;
  std::map<std::string, double> uses;
  for (const auto& [name, run] : aWorker.mRuns) {
    if (run.mPhase != RunPhase::Running) {
      continue;
    }
    if (run.mIsFilling) {
      uses[run.mImage] += run.mLoad / capacity;
    } else if (run.mTargetTailMs > 0 && run.mPercent >= 100) {
      tail += std::min(kMostTail,
                       run.mLoad / static_cast<double>(run.mTargetTailMs));
      ++samples;
    }
  }
  if (samples == 0 || uses.empty()) {
    return;
  }
  auto expected = 0.0;
  auto squares = kSmallUse;
  for (const auto& [image, use] : uses) {
    expected += PressureOfImage(aCell, image) * use;
    squares += use * use;
  }
  const auto miss = tail / samples - kCalmTail - expected;
  for (const auto& [image, use] : uses) {
    auto& pressure = aCell.mPressures
                       .try_emplace(image, ImagePressure{ kAssumedPressure, 0 })
                       .first->second;
    const auto step = kLearningRate * miss * use / squares;
    pressure.mPressure =
      std::clamp(pressure.mPressure + step, 0.0, kMostPressure);
    ++pressure.mSamples;
  }
}

} // namespace eelgrasspost::cell
