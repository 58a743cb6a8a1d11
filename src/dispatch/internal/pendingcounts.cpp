#include "pendingcounts.h"

namespace eelgrasspost::dispatch {

auto RecordPending(PendingCounts& aCounts,
                   const Heartbeat& aHeartbeat,
                   MonotonicTime aNow) -> void
{
  for (std::size_t i = 0; i < aHeartbeat.mCells.size(); ++i) {
    const auto& status = aHeartbeat.mCells[i];
    auto& known = aCounts[status.mName];
    const auto isNewer = status.mToken > known.mToken;
    if (status.mToken < known.mToken || (isNewer && !status.mIsActive)) {
      continue;
    }
    known.mToken = status.mToken;
    known.mReportedAt = aNow;
    known.mCounts.erase(known.mCounts.lower_bound(aHeartbeat.mFirstQueueHash),
                        known.mCounts.upper_bound(aHeartbeat.mLastQueueHash));
    for (const auto& it : aHeartbeat.mPending) {
      if (it.mCell == i) {
        known.mCounts[it.mQueueHash] = it.mCount;
      }
    }
  }
}

auto CountPending(const PendingCounts& aCounts,
                  const std::set<std::string>& aExcludedCells,
                  std::uint64_t aQueueHash) -> std::uint64_t
{
  std::uint64_t out = 0;
  for (const auto& [cell, it] : aCounts) {
    if (aExcludedCells.contains(cell)) {
      continue;
    }
    const auto found = it.mCounts.find(aQueueHash);
    out += found == it.mCounts.end() ? 0 : found->second;
  }
  return out;
}

} // namespace eelgrasspost::dispatch
