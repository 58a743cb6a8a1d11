#pragma once

#include <random>
#include <string>
#include <vector>

#include "eelgrasspost/membership/membershiptypes.h"
#include "eelgrasspost/ownership/ownershipmodule.h"

namespace eelgrasspost::ownership {

/** Holder name of an entry's process in fencing tokens: "id/incarnation". */
auto HolderName(const membership::MemberIdentity& aEntry) -> std::string;

/** A process of an entry, parsed from the holder name of a token. */
struct Holder
{
  std::string mEntry;
  std::uint64_t mIncarnation = 0;
};

auto ParseHolder(std::string_view aName) -> Holder;

/** State of the process that holds a worker's highest token. */
enum class HolderState
{
  /** The worker has no holder. */
  None,
  /** This process. */
  Self,
  /** Alive or suspect. */
  Present,
  Leaving,
  /** Dead, replaced by a newer process, or never heard from. */
  Gone,
};

auto ClassifyHolder(const platform::FencingToken& aHighest,
                    const membership::MemberIdentity& aSelf,
                    const membership::MemberView& aMembers) -> HolderState;

/** Inputs of the decision to claim a worker. */
struct ClaimConditions
{
  HolderState mHolder = HolderState::None;
  base::Milliseconds mUptime{ 0 };
  /** Time since the holder was first seen leaving or gone. */
  base::Milliseconds mHolderGoneFor{ 0 };
  /** Time for which a present holder has kept the worker, and the number of
   * times this entry has lost it. */
  base::Milliseconds mHolderPresentFor{ 0 };
  int mLosses = 0;
  /** Whether the worker refuses lower tokens. */
  bool mSupportsFencing = true;
};

/** Whether the entry that should own a worker may claim it now. A holder that
 * is present keeps the worker until it hands it over. If it never does, because
 * it released the worker or sees other members, the worker is claimed after a
 * long wait that doubles with each loss. */
auto MayClaim(const ClaimConditions& aConditions,
              const OwnershipOptions& aOptions) -> bool;

/** Creates the lease after a successful claim. Each request in the report
 * occupies a slot until a later report does not list it. */
auto MakeLease(const platform::VmRecord& aWorker,
               const platform::FencingToken& aToken,
               const platform::WorkerReport& aReport) -> WorkerLeasePtr;

/** Expiry of a lease whose renewal was sent at aSentAt; holder's clock. */
auto LeaseExpiry(base::MonotonicTime aSentAt, const OwnershipOptions& aOptions)
  -> base::MonotonicTime;

/** A higher token of the same holder, which fences requests sent under lower
 * tokens. */
struct FencePlan
{
  platform::FencingToken mToken;
  /** Unknown attempts sent before the plan was made, under lower tokens. */
  std::vector<std::string> mAttempts;
};

auto PlanFence(const WorkerLease& aLease) -> FencePlan;

/** Effect of a worker's response on a lease. */
enum class RenewalOutcome
{
  Renewed,
  /** A claim of this holder whose response was lost has taken effect, or the
   * claim replaced another holder's token. The lease must be created anew from
   * the report. */
  Reclaimed,
  Fenced,
  WorkerRestarted,
};

/** Applies a report that the worker returned to a renewal. */
auto ApplyReport(WorkerLease& aLease, const platform::WorkerReport& aReport)
  -> RenewalOutcome;

/** Applies the report that the worker returned to a fencing claim. */
auto ApplyFenceReport(WorkerLease& aLease,
                      const FencePlan& aPlan,
                      const platform::WorkerReport& aReport) -> RenewalOutcome;

/** Delay before a lost worker may be claimed again. */
struct ClaimBackoff
{
  int mLosses = 0;
  base::MonotonicTime mUntil;
};

/** Doubles the delay with each loss and adds jitter. */
auto AddLoss(ClaimBackoff& aBackoff,
             base::MonotonicTime aNow,
             std::mt19937_64& aRandom) -> void;

} // namespace eelgrasspost::ownership
