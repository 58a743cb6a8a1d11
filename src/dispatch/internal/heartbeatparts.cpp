#include "heartbeatparts.h"

#include <algorithm>
#include <iterator>

namespace eelgrasspost::dispatch {

auto SplitHeartbeat(Heartbeat aHeartbeat) -> std::vector<Heartbeat>
{
  auto pending = std::move(aHeartbeat.mPending);
  aHeartbeat.mPending.clear();
  std::sort(pending.begin(),
            pending.end(),
            [](const PendingCount& aLeft, const PendingCount& aRight) {
              return aLeft.mQueueHash < aRight.mQueueHash;
            });
  std::vector<Heartbeat> out;
  auto it = pending.begin();
  do {
    auto part = aHeartbeat;
    const auto left = static_cast<std::size_t>(pending.end() - it);
    auto end =
      it + static_cast<std::ptrdiff_t>(std::min(left, kMaxPendingPerPart));
    // The counts of a queue stay together.
    while (end != pending.end() &&
           end->mQueueHash == std::prev(end)->mQueueHash) {
      ++end;
    }
    part.mPending.assign(it, end);
    part.mFirstQueueHash = out.empty() ? 0 : it->mQueueHash;
    if (end != pending.end()) {
      part.mLastQueueHash = end->mQueueHash - 1;
    }
    out.push_back(std::move(part));
    aHeartbeat.mEstimates.clear();
    it = end;
  } while (it != pending.end());
  return out;
}

} // namespace eelgrasspost::dispatch
