#pragma once

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** CPU millis that other tasks leave over for best-effort tasks. */
auto LeftoverCpu(const Worker& aWorker) -> double;

/** CPU share, from 0 to 1, at which one more best-effort task keeps all
 * expected tails of the worker within their targets. */
auto AllowedCpuShare(const CellState& aCell,
                     const Worker& aWorker,
                     const ImageUse& aAdded) -> double;

/** Sets the CPU share of each best-effort image on a worker by the
 * interference estimates. */
auto SetEstimatedCpuShares(const CellState& aCell, Worker& aWorker) -> void;

/** The CPU share of an image set by SetEstimatedCpuShares, in percent. */
auto EstimatedCpuShare(const Worker& aWorker, std::size_t aImage) -> int;

/** Updates the interference estimates from a worker's last report. */
auto LearnFromReport(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
  -> void;

} // namespace eelgrasspost::cell
