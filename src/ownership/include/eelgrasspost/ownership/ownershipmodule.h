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
  /** Time between two renewals of a worker, and while a request's end is not
   * known. */
  base::Milliseconds mRenewInterval{ 1000 };
  base::Milliseconds mFastRenewInterval{ 200 };
  /** Renewals a second of one entry at most; with more workers each is renewed
   * less often, down to a third of the lease. */
  std::size_t mMaxRenewalsPerSecond = 20;
  /** Counted by the holder from before the renewal was sent. */
  base::Milliseconds mLeaseDuration{ 6000 };
  /** Taken off by the holder and added by a taker that must wait. */
  base::Milliseconds mClockDriftMargin{ 200 };
  base::Milliseconds mCallTimeout{ 1000 };
  base::Milliseconds mVmListInterval{ 1000 };
  /** Time after the start in which holders that are not known yet are taken
   * for present. */
  base::Milliseconds mStartupGrace{ 1200 };
  /** Time between two fences of an entry's own lost requests on a worker. */
  base::Milliseconds mFenceInterval{ 1000 };
  /** Longest deadline of a request; how long a worker that cannot fence rests
   * after a claim. */
  base::Milliseconds mMaxRequestDuration{ 30000 };
  /** Calls to workers' agents at once. */
  std::size_t mMaxConcurrentCalls = 32;
  /** Seeds the jitter; 0 takes a random seed. */
  std::uint64_t mSeed = 0;
};

/** What ownership works with. */
struct OwnershipDependencies
{
  platform::IVmList& mVmList;
  platform::IWorker& mWorker;
  platform::ITable& mTable;
  membership::IMembership& mMembership;
  net::MessageClient& mMessages;
  base::Metrics& mMetrics;
  /** Executor of thread 0. */
  net::asio::any_io_executor mControl;
};

auto MakeOwnership(OwnershipDependencies aDependencies,
                   OwnershipOptions aOptions) -> std::unique_ptr<IOwnership>;

/** Takes workers over that other entries hand on; called before Listen(). */
auto RegisterHandOverHandler(net::MessageServer& aServer,
                             IOwnership& aOwnership) -> void;

} // namespace eelgrasspost::ownership
