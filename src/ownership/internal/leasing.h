#pragma once

#include <random>

#include "eelgrasspost/base/metrics.h"
#include "leaserules.h"
#include "leasestatemachine.h"

namespace eelgrasspost::ownership {

/** This entry's state of one worker of its failure domain. */
struct TrackedWorker
{
  platform::VmRecord mWorker;
  LeaseStateMachine mMachine;
  WorkerLeasePtr mLease;
  ClaimBackoff mClaimBackoff;
  base::MonotonicTime mHeldSince;
  base::MonotonicTime mNextCheckAt;
  base::MonotonicTime mFenceNotBefore;
  base::MonotonicTime mHandOverNotBefore;
  /** Last holder that was leaving or gone, and since when. */
  std::string mGoneHolder;
  base::MonotonicTime mGoneSince;
  /** Last holder that was present, and since when. */
  std::string mPresentHolder;
  base::MonotonicTime mPresentSince;
  /** Highest token number that any incarnation of the worker has reported. */
  std::uint64_t mHighestTokenSeen = 0;
  /** Whether a call about the worker is in flight. */
  bool mIsBusy = false;
};

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

/** Dependencies and shared state of the calls to workers' agents. */
struct LeasingContext
{
  platform::IWorker& mWorker;
  const membership::IMembership& mMembership;
  const OwnershipOptions& mOptions;
  OwnershipMetrics& mMetrics;
  std::mt19937_64& mRandom;
  base::MonotonicTime mStartedAt;
};

/** Whether the worker is assigned to this entry, or its holder hands it over
 * and MayClaim need not be asked. */
enum class ClaimCause
{
  Assigned,
  HandedOver,
};

/** Claims a worker if that is allowed now; returns whether it is held then. */
auto TryClaim(LeasingContext aContext,
              TrackedWorker& aTracked,
              ClaimCause aCause) -> net::Task<bool>;

/** Renews a lease, or fences its requests of unknown outcome. The lease is
 * released if another holder has claimed the worker or the worker restarted. */
auto Renew(LeasingContext aContext, TrackedWorker& aTracked) -> net::Task<void>;

/** Ends the lease; requests in flight under it continue. */
auto ReleaseLease(TrackedWorker& aTracked, LeaseEvent aCause) -> void;

} // namespace eelgrasspost::ownership
