#pragma once

#include <random>

#include "eelgrasspost/base/metrics.h"
#include "holdmachine.h"
#include "holdrules.h"

namespace eelgrasspost::ownership {

/** What this entry keeps of one worker of its failure domain. */
struct Tender
{
  platform::VmRecord mWorker;
  HoldMachine mMachine;
  WorkerHoldPtr mHold;
  HoldDown mHoldDown;
  base::MonotonicTime mHeldSince;
  /** When the worker is next looked after. */
  base::MonotonicTime mDueAt;
  base::MonotonicTime mFenceNotBefore;
  base::MonotonicTime mHandOverNotBefore;
  /** Holder that was last seen not to be present, and since when. */
  std::string mGoneHolder;
  base::MonotonicTime mGoneSince;
  /** Highest token number that any incarnation of the worker has shown. */
  std::uint64_t mHighestSeen = 0;
  /** Whether a call is under way. */
  bool mIsBusy = false;
};

/** Counts of what happened to holds. */
struct TenderMetrics
{
  explicit TenderMetrics(base::Metrics& aMetrics);

  base::Counter& mClaims;
  base::Counter& mSettledClaims;
  base::Counter& mLosses;
  base::Counter& mFences;
  base::Counter& mHandOvers;
  base::Counter& mAgentCalls;
  base::Gauge& mHeld;
};

/** What the calls to a worker's agent work with. */
struct TenderContext
{
  platform::IWorker& mWorker;
  const membership::IMembership& mMembership;
  const OwnershipOptions& mOptions;
  TenderMetrics& mMetrics;
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
auto TryClaim(TenderContext aContext, Tender& aTender, ClaimCause aCause)
  -> net::Task<bool>;

/** Renews a hold, or fences its lost requests. Afterwards the hold is
 * gone if the worker is another's. */
auto Renew(TenderContext aContext, Tender& aTender) -> net::Task<void>;

/** Gives up the hold; what is in flight under it ends by itself. */
auto Drop(Tender& aTender, HoldEvent aCause) -> void;

} // namespace eelgrasspost::ownership
