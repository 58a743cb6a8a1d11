#pragma once

#include <vector>

#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** Counts of waiting jobs in one datagram, besides those of the same queue in
 * other cells. */
inline constexpr std::size_t kMaxPendingPerPart = 256;

/** Splits a heartbeat with many counts of waiting jobs into parts, each of
 * which is a heartbeat of its own and holds the counts of a range of queues. */
auto SplitHeartbeat(Heartbeat aHeartbeat) -> std::vector<Heartbeat>;

} // namespace eelgrasspost::dispatch
