#pragma once

#include <span>

#include "eelgrasspost/routing/routingtypes.h"
#include "routingplan.h"

namespace eelgrasspost::routing {

/** The peer with free slots that the policy chooses, if any. */
auto ChoosePeer(std::span<const PlannedPeer> aPeers,
                ChoicePolicy aPolicy,
                std::uint64_t aRandom,
                base::MonotonicTime aNow) -> const PlannedPeer*;

/** The less loaded of two random peers whose queue has room by what is known,
 * if any. */
auto ChoosePeerWithQueueRoom(std::span<const PlannedPeer> aPeers,
                             std::uint64_t aRandom,
                             base::MonotonicTime aNow) -> const PlannedPeer*;

/** Time until a request forwarded to a peer would get a slot. */
auto ExpectedWaitAt(const PeerState& aPeer, base::Microseconds aServiceTime)
  -> base::Microseconds;

/** Takes in what a peer said of its load in its last heartbeat. */
auto UpdateFromHeartbeat(PeerState& aPeer, const membership::Member& aMember)
  -> void;

} // namespace eelgrasspost::routing
