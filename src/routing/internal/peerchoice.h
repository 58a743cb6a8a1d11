#pragma once

#include <span>

#include "eelgrasspost/routing/routingtypes.h"
#include "routingplan.h"

namespace eelgrasspost::routing {

/** Chooses a peer with free slots by the policy, if there is one. */
auto ChoosePeer(std::span<const PlannedPeer> aPeers,
                ChoicePolicy aPolicy,
                std::uint64_t aRandom,
                base::MonotonicTime aNow) -> const PlannedPeer*;

/** Chooses the less loaded of two random peers that, by their known load, have
 * room in their queue, if there is one. */
auto ChoosePeerWithQueueRoom(std::span<const PlannedPeer> aPeers,
                             std::uint64_t aRandom,
                             base::MonotonicTime aNow) -> const PlannedPeer*;

/** Expected time until a request forwarded to a peer gets a slot. */
auto ExpectedWaitAt(const PeerState& aPeer, base::Microseconds aServiceTime)
  -> base::Microseconds;

/** Updates the load of a peer from its last heartbeat. */
auto UpdateFromHeartbeat(PeerState& aPeer, const membership::Member& aMember)
  -> void;

} // namespace eelgrasspost::routing
