#pragma once

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** Processor millis that are left for filling tasks. */
auto LeftoverCpu(const Worker& aWorker) -> double;

/** Highest expected tail on a worker with one more filling task, as a share of
 * the target; 0 when it has no serving tasks. */
auto WorstExpectedTail(const CellState& aCell,
                       const Worker& aWorker,
                       const ImageUse& aMore) -> double;

/** Learns from the tail latencies in a worker's last report. */
auto LearnFromReport(CellState& aCell, Worker& aWorker, MonotonicTime aNow)
  -> void;

} // namespace eelgrasspost::cell
