#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** Whether a worker is in a failure domain that is being evacuated: its runs go
 * on, but nothing is started on it. */
auto IsEvacuated(const CellState& aCell, const Worker& aWorker) -> bool;

/** Sets the failure domains that are being evacuated. Capacity that is reserved
 * on their workers is released, so that the tasks reserve it elsewhere. */
auto SetEvacuatedDomains(CellState& aCell, DomainSet aDomains) -> void;

/** Whether an evacuation leaves the cell no worker that could start anything,
 * however little runs there. */
auto IsClosed(const CellState& aCell) -> bool;

/** What an evacuation means for a cell, for the log and the metrics. */
struct EvacuationSummary
{
  std::size_t mWorkers = 0;
  /** Runs that go on on these workers. */
  std::size_t mRuns = 0;
  std::size_t mWaitingTasks = 0;
  /** Tasks that found no worker while some were being evacuated. */
  std::uint64_t mHeldBackStarts = 0;
};
auto SummarizeEvacuation(const CellState& aCell) -> EvacuationSummary;

} // namespace eelgrasspost::cell
