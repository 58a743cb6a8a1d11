#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** The waiting jobs of a cell, as its holder reported them last. */
struct CellPending
{
  /** Version of the cell's row by which that holder had claimed the cell. */
  std::uint64_t mToken = 0;
  MonotonicTime mReportedAt{};
  /** Number of waiting jobs by the hash of their queue. */
  std::map<std::uint64_t, std::uint32_t> mCounts;
};

/** By cell. Counts are kept while a cell has no holder that can be heard, as
 * its jobs go on waiting. */
using PendingCounts = std::map<std::string, CellPending>;

/** Records the counts of a heartbeat, or of a part of it; those of other queues
 * stay. A holder that takes its cell over does
 * not know all jobs yet; the counts of the previous one stay. */
auto RecordPending(PendingCounts& aCounts,
                   const Heartbeat& aHeartbeat,
                   MonotonicTime aNow = base::MonotonicClock::now()) -> void;

/** The jobs of a queue that wait in other cells than the given ones. */
auto CountPending(const PendingCounts& aCounts,
                  const std::set<std::string>& aExcludedCells,
                  std::uint64_t aQueueHash) -> std::uint64_t;

} // namespace eelgrasspost::dispatch
