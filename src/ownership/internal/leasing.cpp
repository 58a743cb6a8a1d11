#include "leasing.h"

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/ownership/ownershiplogevents.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::ownership {

namespace {

using platform::FencingToken;
using platform::WorkerReport;

/** Interval of polling a worker that may not be claimed yet. */
constexpr auto kClaimRetry = base::Milliseconds(250);
/** A lease held for this time resets the count of losses. */
constexpr auto kStableLeaseTime = base::Milliseconds(10000);

auto Since(base::MonotonicTime aThen, base::MonotonicTime aNow)
  -> base::Milliseconds
{
  return std::chrono::duration_cast<base::Milliseconds>(aNow - aThen);
}

auto Deadline(const LeasingContext& aContext) -> base::MonotonicTime
{
  return base::MonotonicClock::now() + aContext.mOptions.mCallTimeout;
}

/** Classifies the holder and records since when it has been present, leaving or
 * gone. */
auto DetermineConditions(const LeasingContext& aContext,
                         TrackedWorker& aTracked,
                         const WorkerReport& aReport) -> ClaimConditions
{
  const auto now = base::MonotonicClock::now();
  ClaimConditions out;
  out.mSupportsFencing = aTracked.mWorker.mFences;
  out.mUptime = Since(aContext.mStartedAt, now);
  out.mHolder = ClassifyHolder(aReport.mHighestToken,
                               aContext.mMembership.Self(),
                               *aContext.mMembership.View());
  if (!out.mSupportsFencing) {
    // The report of such a worker names no holder, and an earlier holder may
    // still be sending requests.
    out.mHolder = HolderState::Gone;
  }
  const auto& holder = aReport.mHighestToken.mHolder;
  out.mLosses = aTracked.mClaimBackoff.mLosses;
  if (out.mHolder == HolderState::Present) {
    aTracked.mGoneSince = {};
    if (aTracked.mPresentHolder != holder) {
      aTracked.mPresentHolder = holder;
      aTracked.mPresentSince = now;
    }
    out.mHolderPresentFor = Since(aTracked.mPresentSince, now);
  } else if (aTracked.mGoneSince == base::MonotonicTime() ||
             aTracked.mGoneHolder != holder) {
    aTracked.mGoneSince = now;
    aTracked.mGoneHolder = holder;
  }
  out.mHolderGoneFor = aTracked.mGoneSince == base::MonotonicTime()
                         ? base::Milliseconds(0)
                         : Since(aTracked.mGoneSince, now);
  return out;
}

auto RecordLoss(const LeasingContext& aContext, TrackedWorker& aTracked) -> void
{
  const auto now = base::MonotonicClock::now();
  aContext.mMetrics.mLosses.Add();
  if (aTracked.mLease && now - aTracked.mHeldSince >= kStableLeaseTime) {
    aTracked.mClaimBackoff.mLosses = 0;
  }
  AddLoss(aTracked.mClaimBackoff, now, aContext.mRandom);
  aTracked.mNextCheckAt = aTracked.mClaimBackoff.mUntil;
  ReleaseLease(aTracked, LeaseEvent::Fenced);
  base::Log(kWorkerLost, aTracked.mWorker.mId);
}

auto BeginLease(const LeasingContext& aContext,
                TrackedWorker& aTracked,
                const FencingToken& aToken,
                const WorkerReport& aReport,
                base::MonotonicTime aSentAt) -> void
{
  const auto now = base::MonotonicClock::now();
  auto lease = MakeLease(aTracked.mWorker, aToken, aReport);
  if (!aTracked.mWorker.mFences) {
    lease->mUsableFrom = now + aContext.mOptions.mMaxRequestDuration;
    base::Log(kWorkerCannotFence, aTracked.mWorker.mId);
  }
  lease->mExpiresAt = LeaseExpiry(aSentAt, aContext.mOptions);
  aTracked.mLease = std::move(lease);
  aTracked.mHeldSince = now;
  aTracked.mGoneSince = {};
  aTracked.mPresentHolder.clear();
  aTracked.mMachine.Process(LeaseEvent::ClaimAccepted);
  aContext.mMetrics.mClaims.Add();
  base::Log(
    kWorkerClaimed,
    base::Cat(aTracked.mWorker.mId, " under ", platform::ToString(aToken)));
}

/** Reads the worker's report to find out whether a claim whose response was
 * lost has taken effect. */
auto ResolveClaim(LeasingContext aContext,
                  TrackedWorker& aTracked,
                  FencingToken aToken) -> net::Task<bool>
{
  const auto sentAt = base::MonotonicClock::now();
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Report(
    aTracked.mWorker.mControl, Deadline(aContext));
  if (!report.ok() || report->mHighestToken != aToken) {
    aTracked.mMachine.Process(LeaseEvent::ClaimFailed);
    co_return false;
  }
  aContext.mMetrics.mResolvedClaims.Add();
  base::Log(kClaimResolved, aTracked.mWorker.mId);
  BeginLease(aContext, aTracked, aToken, *report, sentAt);
  co_return true;
}

auto SendClaim(LeasingContext aContext, TrackedWorker& aTracked)
  -> net::Task<bool>
{
  const auto token = FencingToken{ ++aTracked.mHighestTokenSeen,
                                   HolderName(aContext.mMembership.Self()) };
  const auto sentAt = base::MonotonicClock::now();
  aTracked.mMachine.Process(LeaseEvent::ClaimSent);
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Claim(
    aTracked.mWorker.mControl, token, Deadline(aContext));
  if (base::IsKind(report.status(), platform::kFenced)) {
    RecordLoss(aContext, aTracked);
    co_return false;
  }
  if (!report.ok()) {
    co_return co_await ResolveClaim(aContext, aTracked, token);
  }
  if (aTracked.mWorker.mFences && report->mHighestToken != token) {
    // The worker accepted the claim but did not store the token: it cannot
    // fence.
    RecordLoss(aContext, aTracked);
    co_return false;
  }
  BeginLease(aContext, aTracked, token, *report, sentAt);
  co_return true;
}

/** Replaces the lease by one in which each request of a report occupies a
 * slot. */
auto ReplaceLease(const LeasingContext& aContext,
                  TrackedWorker& aTracked,
                  const WorkerReport& aReport,
                  base::MonotonicTime aSentAt) -> void
{
  aTracked.mLease->mLedger.Close();
  aTracked.mLease->mExpiresAt = base::MonotonicTime();
  aContext.mMetrics.mResolvedClaims.Add();
  base::Log(kClaimResolved, aTracked.mWorker.mId);
  BeginLease(aContext, aTracked, aReport.mHighestToken, aReport, aSentAt);
}

auto ApplyOutcome(const LeasingContext& aContext,
                  TrackedWorker& aTracked,
                  RenewalOutcome aOutcome,
                  const WorkerReport& aReport,
                  base::MonotonicTime aSentAt) -> void
{
  switch (aOutcome) {
    case RenewalOutcome::Renewed:
      aTracked.mLease->mExpiresAt = LeaseExpiry(aSentAt, aContext.mOptions);
      break;
    case RenewalOutcome::Reclaimed:
      ReplaceLease(aContext, aTracked, aReport, aSentAt);
      break;
    case RenewalOutcome::Fenced:
      RecordLoss(aContext, aTracked);
      break;
    case RenewalOutcome::WorkerRestarted:
      base::Log(kWorkerRestarted, aTracked.mWorker.mId);
      aTracked.mNextCheckAt = {};
      ReleaseLease(aTracked, LeaseEvent::WorkerGone);
      break;
  }
}

auto Fence(LeasingContext aContext, TrackedWorker& aTracked) -> net::Task<void>
{
  const auto sentAt = base::MonotonicClock::now();
  aTracked.mFenceNotBefore = sentAt + aContext.mOptions.mFenceInterval;
  const auto lease = aTracked.mLease;
  const auto plan = PlanFence(*lease);
  aContext.mMetrics.mFences.Add();
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Claim(
    aTracked.mWorker.mControl, plan.mToken, Deadline(aContext));
  if (base::IsKind(report.status(), platform::kFenced)) {
    RecordLoss(aContext, aTracked);
  } else if (report.ok()) {
    ApplyOutcome(aContext,
                 aTracked,
                 ApplyFenceReport(*lease, plan, *report),
                 *report,
                 sentAt);
  }
  aTracked.mHighestTokenSeen =
    std::max(aTracked.mHighestTokenSeen, plan.mToken.mNumber);
}

} // namespace

OwnershipMetrics::OwnershipMetrics(base::Metrics& aMetrics)
  : mClaims(aMetrics.FindCounter("ownership_claims_total"))
  , mResolvedClaims(aMetrics.FindCounter("ownership_settled_claims_total"))
  , mLosses(aMetrics.FindCounter("ownership_losses_total"))
  , mFences(aMetrics.FindCounter("ownership_fences_total"))
  , mHandOvers(aMetrics.FindCounter("ownership_hand_overs_total"))
  , mAgentCalls(aMetrics.FindCounter("ownership_agent_calls_total"))
  , mHeldWorkers(aMetrics.FindGauge("ownership_held_workers"))
{
}

auto ReleaseLease(TrackedWorker& aTracked, LeaseEvent aCause) -> void
{
  aTracked.mMachine.Process(aCause);
  if (aTracked.mLease) {
    aTracked.mLease->mLedger.Close();
    aTracked.mLease->mExpiresAt = base::MonotonicTime();
    aTracked.mLease.reset();
  }
}

auto TryClaim(LeasingContext aContext,
              TrackedWorker& aTracked,
              ClaimCause aCause) -> net::Task<bool>
{
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Report(
    aTracked.mWorker.mControl, Deadline(aContext));
  aTracked.mNextCheckAt = base::MonotonicClock::now() + kClaimRetry;
  if (!report.ok()) {
    co_return false;
  }
  aTracked.mHighestTokenSeen =
    std::max(aTracked.mHighestTokenSeen, report->mHighestToken.mNumber);
  const auto conditions = DetermineConditions(aContext, aTracked, *report);
  if (aCause == ClaimCause::Assigned &&
      !MayClaim(conditions, aContext.mOptions)) {
    co_return false;
  }
  co_return co_await SendClaim(aContext, aTracked);
}

auto Renew(LeasingContext aContext, TrackedWorker& aTracked) -> net::Task<void>
{
  const auto lease = aTracked.mLease;
  const auto now = base::MonotonicClock::now();
  if (lease->mLedger.HasUnfencedAttempts() && now >= aTracked.mFenceNotBefore &&
      aTracked.mWorker.mFences) {
    co_await Fence(aContext, aTracked);
    co_return;
  }
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Report(
    aTracked.mWorker.mControl, Deadline(aContext));
  if (report.ok()) {
    ApplyOutcome(
      aContext, aTracked, ApplyReport(*lease, *report), *report, now);
  }
  if (!aTracked.mWorker.mFences) {
    lease->mLedger.ReleaseUnknownBefore(now -
                                        aContext.mOptions.mMaxRequestDuration);
  }
}

} // namespace eelgrasspost::ownership
