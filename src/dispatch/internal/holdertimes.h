#pragma once

#include <cstdint>
#include <string>

#include "eelgrasspost/base/clock.h"

namespace eelgrasspost::dispatch {

using base::Milliseconds;

/** Without a sign of the store for so long that nobody else holds the cell, a
 * holder neither starts nor renews anything: longer than the store is usually
 * away. */
inline constexpr auto kConfirmationTimeout = Milliseconds(10000);
/** Added to the end of a lease before it counts as lapsed. */
inline constexpr auto kLeaseMargin = Milliseconds(150);
/** An answer of a worker to an order comes within a few ms; a lost one should
 * not hold a task up for long. */
inline constexpr auto kOrderTimeout = Milliseconds(500);
/** Longest wait of a renewal for an end. */
inline constexpr std::int64_t kRenewalWaitMs = 1500;
/** A worker that was not heard for so long is not renewed: a renewal is sent
 * again as soon as the one before is answered. */
inline constexpr auto kRenewalSilence = Milliseconds(1000);
/** Serving tasks beside filling ones are looked at twice a second, as their
 * figures are of the last half second. */
inline constexpr std::int64_t kBestEffortPollWaitMs = 500;
/** A worker answers at once while it lists ends that are not acknowledged: the
 * pause is about half of the time until they are stored. */
inline constexpr auto kUnstoredEndsPollInterval = Milliseconds(45);
inline constexpr auto kRetryPause = Milliseconds(200);
/** Ends of so long are stored together. */
inline constexpr auto kFlushDelay = Milliseconds(80);
inline constexpr auto kUrgentFlushDelay = Milliseconds(2);
/** New lasting jobs wait so long for their place: two heartbeats that tell the
 * cells' room, a tick and a transaction that moves a job. */
inline constexpr auto kPlacementDelay = Milliseconds(500);
inline constexpr auto kTickInterval = Milliseconds(200);

/** Workers' clocks may run 2% slow: how long a span of theirs may take. */
inline auto MaxLocalDuration(Milliseconds aSpan) -> Milliseconds
{
  constexpr std::int64_t kPercent = 100;
  constexpr std::int64_t kSlowestPercent = 97;
  return Milliseconds(aSpan.count() * kPercent / kSlowestPercent);
}

/** Name of a part of the store. */
auto PartitionName(std::uint32_t aPartition) -> std::string;

} // namespace eelgrasspost::dispatch
