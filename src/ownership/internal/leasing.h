#pragma once

#include <random>

#include "eelgrasspost/base/metrics.h"
#include "leaserules.h"
#include "leasestatemachine.h"

namespace eelgrasspost::ownership {

/** What this entry keeps of one worker of its failure domain. */
struct TrackedWorker
{
  platform::VmRecord mWorker;
  LeaseStateMachine mMachine;
  WorkerLeasePtr mLease;
  ClaimBackoff mClaimBackoff;
  base::MonotonicTime mHeldSince;
  /** When the worker is next looked after. */
  base::MonotonicTime mNextCheckAt;
  base::MonotonicTime mFenceNotBefore;
  base::MonotonicTime mHandOverNotBefore;
  /** Holder that was last seen not to be present, and since when. */
  std::string mGoneHolder;
  base::MonotonicTime mGoneSince;
  /** Holder that was last seen present, and since when. */
  std::string mPresentHolder;
  base::MonotonicTime mPresentSince;
  /** Highest token number that any incarnation of the worker has shown. */
  std::uint64_t mHighestTokenSeen = 0;
  /** Whether a call is under way. */
  bool mIsBusy = false;
};

/** Counts of what happened to holds. */
struct OwnershipMetrics
{
  explicit OwnershipMetrics(base::Metrics& aMetrics);

  base::Counter& mClaims;
  base::Counter& mResolvedClaims;
  base::Counter& mLosses;
  base::Counter& mFences;
  base::Counter& mHandOvers;
  base::Counter& mAgentCalls;
  base::Gauge& mHeldWorkers;
};

/** What the calls to a worker's agent work with. */
struct LeasingContext
{
  platform::IWorker& mWorker;
  const membership::IMembership& mMembership;
  const OwnershipOptions& mOptions;
  OwnershipMetrics& mMetrics;
  std::mt19937_64& mRandom;
  base::MonotonicTime mStartedAt;
};

/** Whether a claim follows the holder's own wish. */
enum class ClaimCause
{
  Assigned,
  HandedOver,
};

/** Claims a worker if that may be done now; true when it is held after. */
auto TryClaim(LeasingContext aContext,
              TrackedWorker& aTracked,
              ClaimCause aCause) -> net::Task<bool>;

/** Renews a lease, or fences its lost requests. Afterwards the lease is
 * gone if the worker is another's. */
auto Renew(LeasingContext aContext, TrackedWorker& aTracked) -> net::Task<void>;

/** Gives up the lease; what is in flight under it ends by itself. */
auto ReleaseLease(TrackedWorker& aTracked, LeaseEvent aCause) -> void;

} // namespace eelgrasspost::ownership
