#include "peerchoice.h"

#include <algorithm>

#include "choice.h"

namespace eelgrasspost::routing {

namespace {

/** Estimated load of a peer; a peer in backoff has no free slots. */
auto LoadOf(const PlannedPeer& aPeer,
            base::MonotonicTime aNow,
            std::int64_t aQueuePlaces) -> CandidateLoad
{
  const auto& state = *aPeer.mState;
  if (state.mBackoffUntil.load(std::memory_order_relaxed) > aNow) {
    return {};
  }
  return { state.Load(), state.mSlots.load() + aQueuePlaces };
}

/** Load that the peer reported, without the correction by PeerState::Load(). */
auto ReportedLoadOf(const PlannedPeer& aPeer) -> CandidateLoad
{
  const auto& state = *aPeer.mState;
  return { state.mUsed.load(), state.mSlots.load() };
}

} // namespace

auto ChoosePeer(std::span<const PlannedPeer> aPeers,
                ChoicePolicy aPolicy,
                std::uint64_t aRandom,
                base::MonotonicTime aNow) -> const PlannedPeer*
{
  const auto loadOf = [&](std::size_t aIndex) {
    if (aPolicy == ChoicePolicy::TwoChoices) {
      return LoadOf(aPeers[aIndex], aNow, 0);
    }
    return ReportedLoadOf(aPeers[aIndex]);
  };
  const auto n = Choose(aPolicy, aPeers.size(), aRandom, loadOf);
  return n ? &aPeers[*n] : nullptr;
}

auto ChoosePeerWithQueueRoom(std::span<const PlannedPeer> aPeers,
                             std::uint64_t aRandom,
                             base::MonotonicTime aNow) -> const PlannedPeer*
{
  const auto loadOf = [&](std::size_t aIndex) {
    const auto slots = aPeers[aIndex].mState->mSlots.load();
    return LoadOf(aPeers[aIndex], aNow, MaxQueueLength(slots, slots));
  };
  const auto n =
    Choose(ChoicePolicy::TwoChoices, aPeers.size(), aRandom, loadOf);
  return n ? &aPeers[*n] : nullptr;
}

auto ExpectedWaitAt(const PeerState& aPeer, base::Microseconds aServiceTime)
  -> base::Microseconds
{
  const auto slots = aPeer.mSlots.load();
  const auto waiting = aPeer.Load() - slots;
  if (slots <= 0 || waiting < 0) {
    return base::Microseconds(0);
  }
  return aServiceTime * (waiting + 1) / slots;
}

auto UpdateFromHeartbeat(PeerState& aPeer, const membership::Member& aMember)
  -> void
{
  if (aMember.mHeartbeat == aPeer.mHeartbeat) {
    return;
  }
  aPeer.mHeartbeat = aMember.mHeartbeat;
  aPeer.mInFlightAtHeartbeat = aPeer.mInFlight.load();
  aPeer.mSlots = aMember.mLoad.mSlots;
  aPeer.mUsed = aMember.mLoad.mUsedSlots;
  aPeer.mQueued = aMember.mLoad.mQueued;
}

} // namespace eelgrasspost::routing
