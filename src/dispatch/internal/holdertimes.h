#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

using base::Milliseconds;

/** A holder that has not confirmed its claim with the store for this time sends
 * no orders and renews no leases; longer than usual outages of the store. */
inline constexpr auto kConfirmationTimeout = Milliseconds(10000);
/** A holder to which neither the store nor most of its workers have replied for
 * this time sends no orders and renews no leases either: a later holder that
 * most workers follow need not wait longer for it. */
inline constexpr auto kIsolationTimeout = Milliseconds(2500);
/** A holder reads the row of its cell if its claim was not confirmed in another
 * way for this time. */
inline constexpr auto kClaimCheckDelay = Milliseconds(1700);
inline constexpr auto kClaimCheckInterval = Milliseconds(400);
/** About twice the time that a slow store takes for a read. */
inline constexpr auto kClaimReadTimeout = Milliseconds(800);
/** Added to the end of a lease before it is considered expired. */
inline constexpr auto kLeaseMargin = Milliseconds(150);
/** Workers reply to orders within a few ms; a lost reply must not delay a task
 * for long. */
inline constexpr auto kOrderTimeout = Milliseconds(500);
/** Time for which leases are granted, unless workers grant less. The tasks of a
 * lost worker start again after it; a takeover has to be complete within it.
 * All entries must use the same, as the next holder of a cell relies on it. */
inline constexpr auto kLeaseTime = Milliseconds(4000);
/** Longest time that a renewal waits for a run to end. */
inline constexpr std::int64_t kRenewalWaitMs = 750;
/** Workers with best-effort tasks are polled twice a second, as the load
 * figures of serving tasks cover the last half second. */
inline constexpr std::int64_t kBestEffortPollWaitMs = 500;
/** Tails are reported for the last half second. */
inline constexpr auto kTailReportDelay = Milliseconds(500);
/** Part of the time for which a serving task may be over its target in which a
 * worker has to report, so that a pause takes effect in time. */
inline constexpr std::int64_t kUnreportedPartOfHarm = 3;
/** A worker replies at once while it lists unacknowledged ends; the interval is
 * about half of the time until they are stored. */
inline constexpr auto kUnstoredEndsPollInterval = Milliseconds(45);
/** A write without a reply is applied within 12 s or never; with a margin. */
inline constexpr auto kMaxWriteDelay = Milliseconds(13000);
/** The same for an order to a worker. */
inline constexpr auto kMaxOrderDelay = Milliseconds(13000);
inline constexpr auto kRetryInterval = Milliseconds(200);
/** Ends that arrive within this time are stored in one transaction. */
inline constexpr auto kFlushDelay = Milliseconds(80);
inline constexpr auto kUrgentFlushDelay = Milliseconds(2);
/** Placement of new long-running jobs is delayed for two heartbeats with the
 * cells' status, a tick and the transaction of a migration. */
inline constexpr auto kPlacementDelay = Milliseconds(500);
/** How long the store may delay the reply to a call of the workers' feed.
 * Short, as an unanswered call must fail before the list of workers is
 * outdated; in deployments of many workers heartbeats end the wait sooner. */
inline constexpr auto kWorkerFeedWait = Milliseconds(1000);
inline constexpr auto kTickInterval = Milliseconds(200);

/** Fencing tokens of one claim. Each new incarnation of a worker gets the next
 * one, as it has seen no token and would execute late orders to its
 * predecessor. */
inline constexpr std::uint64_t kTokensPerVersion = 65536;

/** Upper bound of the local duration of a time span on a worker's clock, which
 * may run up to 2% slow. */
inline auto MaxLocalDuration(Milliseconds aSpan) -> Milliseconds
{
  constexpr std::int64_t kPercent = 100;
  constexpr std::int64_t kSlowestPercent = 97;
  return Milliseconds(aSpan.count() * kPercent / kSlowestPercent);
}

/** Time for which holders grant leases. */
inline auto LeaseTime(const DispatchSettings& aSettings) -> Milliseconds
{
  return std::min(kLeaseTime, Milliseconds(aSettings.mLeaseMs));
}

/** Returns the name of a store partition. */
auto PartitionName(std::uint32_t aPartition) -> std::string;

} // namespace eelgrasspost::dispatch
