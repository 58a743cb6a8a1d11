#pragma once

#include <random>
#include <string>
#include <vector>

#include "eelgrasspost/membership/membershiptypes.h"
#include "eelgrasspost/ownership/ownershipmodule.h"

namespace eelgrasspost::ownership {

/** The name under which an entry's process holds tokens. */
auto HolderName(const membership::MemberIdentity& aEntry) -> std::string;

/** A process as a token names it. */
struct Holder
{
  std::string mEntry;
  std::uint64_t mIncarnation = 0;
};

auto ParseHolder(std::string_view aName) -> Holder;

/** What is known of a process that holds a worker's highest token. */
enum class HolderState
{
  /** The worker has no holder. */
  None,
  /** This process. */
  Self,
  Present,
  Leaving,
  /** Dead, replaced by a newer process, or never heard of. */
  Gone,
};

auto ClassifyHolder(const platform::FencingToken& aHighest,
                    const membership::MemberIdentity& aSelf,
                    const membership::MemberView& aMembers) -> HolderState;

/** What a decision to claim a worker rests on. */
struct ClaimConditions
{
  HolderState mHolder = HolderState::None;
  /** Time since this process started. */
  base::Milliseconds mUptime{ 0 };
  /** Time since the holder was first seen leaving or gone. */
  base::Milliseconds mHolderGoneFor{ 0 };
  /** Time for which a present holder has been seen to keep it, and losses of
   * the worker by this entry. */
  base::Milliseconds mHolderPresentFor{ 0 };
  int mLosses = 0;
  /** Whether the worker refuses lower tokens. */
  bool mFences = true;
};

/** Whether the entry that should own a worker may claim it now. A holder that
 * is present keeps it until it hands it over; one that never does, because it
 * gave the worker up or its view differs, is overruled after long waits that
 * double. */
auto MayClaim(const ClaimConditions& aConditions,
              const OwnershipOptions& aOptions) -> bool;

/** Makes the lease that a claim gave. Every request in the report counts
 * as used until it is gone from a later one. */
auto MakeLease(const platform::VmRecord& aWorker,
               const platform::FencingToken& aToken,
               const platform::WorkerReport& aReport) -> WorkerLeasePtr;

/** End of a lease whose renewal was sent at a time, by the holder's clock. */
auto LeaseExpiry(base::MonotonicTime aSentAt, const OwnershipOptions& aOptions)
  -> base::MonotonicTime;

/** A higher token of the same holder, which fences requests that were sent
 * under the lower ones. */
struct FencePlan
{
  platform::FencingToken mToken;
  /** Attempts that were sent before the plan was made. */
  std::vector<std::string> mAttempts;
};

auto PlanFence(const WorkerLease& aLease) -> FencePlan;

/** What a worker's answer means for a lease. */
enum class RenewalOutcome
{
  Renewed,
  /** A claim of this holder took effect whose answer was lost, or it replaced
   * another's token: the lease is to be made anew from the report. */
  Reclaimed,
  Fenced,
  WorkerRestarted,
};

/** Takes in a report that was read without a command. */
auto ApplyReport(WorkerLease& aLease, const platform::WorkerReport& aReport)
  -> RenewalOutcome;

/** Takes in the report that answered a fence. */
auto ApplyFenceReport(WorkerLease& aLease,
                      const FencePlan& aPlan,
                      const platform::WorkerReport& aReport) -> RenewalOutcome;

/** Waiting time before a worker that was lost may be claimed again. */
struct ClaimBackoff
{
  int mLosses = 0;
  base::MonotonicTime mUntil;
};

/** Doubles the time with each loss, with jitter. */
auto AddLoss(ClaimBackoff& aBackoff,
             base::MonotonicTime aNow,
             std::mt19937_64& aRandom) -> void;

} // namespace eelgrasspost::ownership
