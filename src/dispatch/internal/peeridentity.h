#pragma once

#include <cstdint>

#include "eelgrasspost/base/bootclock.h"
#include "eelgrasspost/base/clock.h"

namespace eelgrasspost::dispatch {

/** Which processes of one name are known. Each process registers an incarnation
 * in the store that is higher than all before; 0 stands for one that has not
 * registered yet. Incarnations are compared only if both are registered. */
struct PeerIdentity
{
  /** Whether any process has been heard. */
  bool mIsHeard = false;
  /** Incarnation of the process that is heard. */
  std::uint64_t mHeard = 0;
  /** The highest incarnation that is known. */
  std::uint64_t mLatest = 0;
  /** That of the row that was read last. */
  std::uint64_t mInRow = 0;
  /** Processes up to this one have ended. */
  std::uint64_t mEnded = 0;
  /** Consecutive heartbeats of a process that has not registered, while a
   * registered one is known. */
  std::uint32_t mUnregistered = 0;
  /** When the present process was first known. */
  base::BootTime mSeenAt{};
};

/** From which process of a name a heartbeat comes. */
enum class HeartbeatSource
{
  /** The process that is heard. */
  Known,
  /** A later process; it is heard from now on. */
  Later,
  /** A process that has ended; the heartbeat arrived late. */
  Earlier,
  /** Not proved; the next heartbeats will tell. */
  Unproved,
};

/** aIsSilent: nothing has been heard for the time after which an entry is
 * considered dead. */
auto NoteHeartbeat(PeerIdentity& aIdentity,
                   std::uint64_t aIncarnation,
                   bool aIsSilent,
                   base::BootTime aNow) -> HeartbeatSource;

/** Records the incarnation that the entry's row names. Returns whether it is
 * that of the latest process. */
auto NoteRow(PeerIdentity& aIdentity,
             std::uint64_t aIncarnation,
             base::BootTime aNow) -> bool;

/** Whether the process with a registered incarnation has ended. */
auto HasEnded(const PeerIdentity& aIdentity, std::uint64_t aIncarnation)
  -> bool;

/** The incarnation under which the process that is heard can hold cells; 0 if
 * it has not registered. */
auto PresentIncarnation(const PeerIdentity& aIdentity) -> std::uint64_t;

} // namespace eelgrasspost::dispatch
