#include "peeridentity.h"

#include <algorithm>

namespace eelgrasspost::dispatch {

namespace {

/** A single late datagram must not pass for a restart. */
constexpr std::uint32_t kConfirmingHeartbeats = 2;

auto Follow(PeerIdentity& aIdentity,
            std::uint64_t aIncarnation,
            base::BootTime aNow) -> HeartbeatSource
{
  const auto isKnown = aIncarnation > 0 && aIncarnation == aIdentity.mLatest;
  if (!isKnown) {
    aIdentity.mSeenAt = aNow;
  }
  aIdentity.mLatest = std::max(aIdentity.mLatest, aIncarnation);
  aIdentity.mIsHeard = true;
  aIdentity.mHeard = aIncarnation;
  aIdentity.mUnregistered = 0;
  return HeartbeatSource::Later;
}

auto NoteUnregistered(PeerIdentity& aIdentity, base::BootTime aNow)
  -> HeartbeatSource
{
  if (aIdentity.mIsHeard && aIdentity.mHeard == 0) {
    return HeartbeatSource::Known;
  }
  if (!aIdentity.mIsHeard) {
    return Follow(aIdentity, 0, aNow);
  }
  ++aIdentity.mUnregistered;
  if (aIdentity.mUnregistered < kConfirmingHeartbeats) {
    return HeartbeatSource::Unproved;
  }
  aIdentity.mEnded = std::max(aIdentity.mEnded, aIdentity.mHeard);
  return Follow(aIdentity, 0, aNow);
}

} // namespace

auto NoteHeartbeat(PeerIdentity& aIdentity,
                   std::uint64_t aIncarnation,
                   bool aIsSilent,
                   base::BootTime aNow) -> HeartbeatSource
{
  if (aIncarnation == 0) {
    return NoteUnregistered(aIdentity, aNow);
  }
  if (aIncarnation < aIdentity.mLatest) {
    // The number of the row may have been lost with the row.
    const auto isInRow = aIncarnation == aIdentity.mInRow;
    if (!isInRow || !aIsSilent) {
      return HeartbeatSource::Earlier;
    }
    aIdentity.mLatest = 0;
  }
  if (aIdentity.mIsHeard && aIncarnation == aIdentity.mHeard) {
    aIdentity.mUnregistered = 0;
    return HeartbeatSource::Known;
  }
  return Follow(aIdentity, aIncarnation, aNow);
}

auto NoteRow(PeerIdentity& aIdentity,
             std::uint64_t aIncarnation,
             base::BootTime aNow) -> bool
{
  aIdentity.mInRow = aIncarnation;
  if (aIncarnation < aIdentity.mLatest) {
    return false;
  }
  if (aIncarnation > aIdentity.mLatest) {
    aIdentity.mLatest = aIncarnation;
    aIdentity.mSeenAt = aNow;
  }
  return true;
}

auto HasEnded(const PeerIdentity& aIdentity, std::uint64_t aIncarnation) -> bool
{
  return aIncarnation < aIdentity.mLatest || aIncarnation <= aIdentity.mEnded;
}

auto PresentIncarnation(const PeerIdentity& aIdentity) -> std::uint64_t
{
  const auto isUnregistered = aIdentity.mIsHeard && aIdentity.mHeard == 0;
  return isUnregistered ? 0 : aIdentity.mLatest;
}

} // namespace eelgrasspost::dispatch
