#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/membership/imembership.h"
#include "eelgrasspost/net/messages.h"
#include "eelgrasspost/ownership/iownership.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/platform/ivmlist.h"
#include "eelgrasspost/platform/iworker.h"

namespace eelgrasspost::ownership {

struct OwnershipOptions
{
  /** Interval between renewals of a lease; the second is used while the
   * outcome of a request on the worker is unknown. */
  base::Milliseconds mRenewInterval{ 1000 };
  base::Milliseconds mFastRenewInterval{ 200 };
  /** Maximum renewals per second of one entry. With many workers each lease is
   * renewed less often, but at least three times per lease duration. */
  std::size_t mMaxRenewalsPerSecond = 20;
  /** The holder counts it from the time at which it sent the renewal. */
  base::Milliseconds mLeaseDuration{ 6000 };
  /** Allowance for clock drift: the holder subtracts it from the lease, an
   * entry that waits for the lease to expire adds it. */
  base::Milliseconds mClockDriftMargin{ 200 };
  base::Milliseconds mCallTimeout{ 1000 };
  base::Milliseconds mVmListInterval{ 1000 };
  /** Time after the start in which this entry claims no worker from a holder
   * that it has not heard from: the holder may be alive. */
  base::Milliseconds mStartupGrace{ 1200 };
  /** Minimum time between fencing calls to a worker. Such a call raises this
   * entry's own token to fence requests of unknown outcome. */
  base::Milliseconds mFenceInterval{ 1000 };
  /** Longest deadline of a request. A worker that cannot fence is unused for
   * this time after a claim, until requests of earlier holders have ended. */
  base::Milliseconds mMaxRequestDuration{ 30000 };
  /** Maximum concurrent calls to workers' agents. */
  std::size_t mMaxConcurrentCalls = 32;
  /** Seed of the jitter; 0 selects a random seed. */
  std::uint64_t mSeed = 0;
};

/** Services used by ownership. */
struct OwnershipDependencies
{
  platform::IVmList& mVmList;
  platform::IWorker& mWorker;
  platform::ITable& mTable;
  membership::IMembership& mMembership;
  net::MessageClient& mMessages;
  base::Metrics& mMetrics;
  /** Executor of thread 0. */
  net::asio::any_io_executor mExecutor;
};

auto MakeOwnership(OwnershipDependencies aDependencies,
                   OwnershipOptions aOptions) -> std::unique_ptr<IOwnership>;

/** Registers the handler that accepts workers handed over by other entries;
 * called before Listen(). */
auto RegisterHandOverHandler(net::MessageServer& aServer,
                             IOwnership& aOwnership) -> void;

} // namespace eelgrasspost::ownership
