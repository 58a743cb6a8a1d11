#pragma once

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** Pressure on serving tasks that does no harm: tails are usually at a third
 * to a half of their target. */
inline constexpr double kSafePressure = 0.25;
/** Images with a pressure above this are slowed first. */
inline constexpr double kHeavyPressure = 0.9;

/** Processor millis that are left for filling tasks. */
auto LeftoverCpu(const Worker& aWorker) -> double;

/** Pressure of all filling tasks of a worker, as a share of the target. */
auto PressureOn(const CellState& aCell, const Worker& aWorker) -> double;

/** Pressure that one more task of a step would add. */
auto PressureOf(const CellState& aCell,
                const Worker& aWorker,
                const StepSpec& aSpec) -> double;

/** Pressure of an image, learned or assumed. */
auto PressureOfImage(const CellState& aCell, const std::string& aImage)
  -> double;

/** Learns from the tail latencies in a worker's last report. */
auto LearnPressure(CellState& aCell, const Worker& aWorker) -> void;

} // namespace eelgrasspost::cell
