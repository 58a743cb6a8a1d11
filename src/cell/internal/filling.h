#pragma once

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** Processor millis that are left for filling tasks. */
auto LeftoverCpu(const Worker& aWorker) -> double;

/** What the filling tasks of a worker would use at full speed, by image. */
auto WantedUses(const Worker& aWorker) -> std::vector<ImageUse>;

/** Highest expected tail on a worker beside so much filling work, as a share
 * of the target; 0 when it has no serving tasks. */
auto WorstExpectedTail(const CellState& aCell,
                       const Worker& aWorker,
                       const std::vector<ImageUse>& aUses) -> double;

/** Learns from the tail latencies in a worker's last report. */
auto LearnFromReport(CellState& aCell, const Worker& aWorker) -> void;

} // namespace eelgrasspost::cell
