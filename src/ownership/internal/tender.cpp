#include "tender.h"

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/ownership/ownershiplogevents.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::ownership {

namespace {

using platform::FencingToken;
using platform::WorkerReport;

/** Wait before a worker that cannot be claimed yet is read again. */
constexpr auto kClaimRetry = base::Milliseconds(250);
/** Losses are forgotten after a hold of this time. */
constexpr auto kStableHold = base::Milliseconds(10000);

auto Since(base::MonotonicTime aThen, base::MonotonicTime aNow)
  -> base::Milliseconds
{
  return std::chrono::duration_cast<base::Milliseconds>(aNow - aThen);
}

auto Deadline(const TenderContext& aContext) -> base::MonotonicTime
{
  return base::MonotonicClock::now() + aContext.mOptions.mCallTimeout;
}

/** Judges the holder and notes since when it has been leaving or gone. */
auto Situation(const TenderContext& aContext,
               Tender& aTender,
               const WorkerReport& aReport) -> ClaimSituation
{
  const auto now = base::MonotonicClock::now();
  ClaimSituation out;
  out.mFences = aTender.mWorker.mFences;
  out.mUptime = Since(aContext.mStartedAt, now);
  out.mHolder = JudgeHolder(aReport.mHighestToken,
                            aContext.mMembership.Self(),
                            *aContext.mMembership.View());
  if (!out.mFences) {
    // Its report names no holder; whoever had it may still be sending.
    out.mHolder = HolderState::Gone;
  }
  const auto& holder = aReport.mHighestToken.mHolder;
  if (out.mHolder == HolderState::Present) {
    aTender.mGoneSince = {};
  } else if (aTender.mGoneSince == base::MonotonicTime() ||
             aTender.mGoneHolder != holder) {
    aTender.mGoneSince = now;
    aTender.mGoneHolder = holder;
  }
  out.mHolderGoneFor = aTender.mGoneSince == base::MonotonicTime()
                         ? base::Milliseconds(0)
                         : Since(aTender.mGoneSince, now);
  return out;
}

auto LoseTo(const TenderContext& aContext, Tender& aTender) -> void
{
  const auto now = base::MonotonicClock::now();
  aContext.mMetrics.mLosses.Add();
  if (aTender.mHold && now - aTender.mHeldSince >= kStableHold) {
    aTender.mHoldDown.mLosses = 0;
  }
  AddLoss(aTender.mHoldDown, now, aContext.mRandom);
  aTender.mDueAt = aTender.mHoldDown.mUntil;
  Drop(aTender, HoldEvent::Fenced);
  base::Log(kWorkerLost, aTender.mWorker.mId);
}

auto TakeHold(const TenderContext& aContext,
              Tender& aTender,
              const FencingToken& aToken,
              const WorkerReport& aReport,
              base::MonotonicTime aSentAt) -> void
{
  const auto now = base::MonotonicClock::now();
  auto hold = MakeHold(aTender.mWorker, aToken, aReport);
  if (!aTender.mWorker.mFences) {
    hold->mUsableFrom = now + aContext.mOptions.mLongestRequest;
    base::Log(kWorkerCannotFence, aTender.mWorker.mId);
  }
  hold->mLeaseUntil = LeaseEnd(aSentAt, aContext.mOptions);
  aTender.mHold = std::move(hold);
  aTender.mHeldSince = now;
  aTender.mGoneSince = {};
  aTender.mMachine.Process(HoldEvent::ClaimTaken);
  aContext.mMetrics.mClaims.Add();
  base::Log(
    kWorkerClaimed,
    base::Cat(aTender.mWorker.mId, " under ", platform::ToString(aToken)));
}

/** Reads whether a claim took effect whose answer was lost. */
auto SettleClaim(TenderContext aContext, Tender& aTender, FencingToken aToken)
  -> net::Task<bool>
{
  const auto sentAt = base::MonotonicClock::now();
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Report(aTender.mWorker.mControl,
                                                       Deadline(aContext));
  if (!report.ok() || report->mHighestToken != aToken) {
    aTender.mMachine.Process(HoldEvent::ClaimFailed);
    co_return false;
  }
  aContext.mMetrics.mSettledClaims.Add();
  base::Log(kClaimSettled, aTender.mWorker.mId);
  TakeHold(aContext, aTender, aToken, *report, sentAt);
  co_return true;
}

auto SendClaim(TenderContext aContext, Tender& aTender) -> net::Task<bool>
{
  const auto token = FencingToken{ ++aTender.mHighestSeen,
                                   HolderName(aContext.mMembership.Self()) };
  const auto sentAt = base::MonotonicClock::now();
  aTender.mMachine.Process(HoldEvent::ClaimSent);
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Claim(
    aTender.mWorker.mControl, token, Deadline(aContext));
  if (base::IsKind(report.status(), platform::kFenced)) {
    LoseTo(aContext, aTender);
    co_return false;
  }
  if (!report.ok()) {
    co_return co_await SettleClaim(aContext, aTender, token);
  }
  if (aTender.mWorker.mFences && report->mHighestToken != token) {
    // It took the claim without noting the token: it cannot fence.
    LoseTo(aContext, aTender);
    co_return false;
  }
  TakeHold(aContext, aTender, token, *report, sentAt);
  co_return true;
}

/** Replaces the hold by one in which every request of a report counts. */
auto Rehold(const TenderContext& aContext,
            Tender& aTender,
            const WorkerReport& aReport,
            base::MonotonicTime aSentAt) -> void
{
  aTender.mHold->mLedger.Close();
  aTender.mHold->mLeaseUntil = base::MonotonicTime();
  aContext.mMetrics.mSettledClaims.Add();
  base::Log(kClaimSettled, aTender.mWorker.mId);
  TakeHold(aContext, aTender, aReport.mHighestToken, aReport, aSentAt);
}

auto ApplyOutcome(const TenderContext& aContext,
                  Tender& aTender,
                  RenewalOutcome aOutcome,
                  const WorkerReport& aReport,
                  base::MonotonicTime aSentAt) -> void
{
  switch (aOutcome) {
    case RenewalOutcome::Renewed:
      aTender.mHold->mLeaseUntil = LeaseEnd(aSentAt, aContext.mOptions);
      break;
    case RenewalOutcome::Reclaimed:
      Rehold(aContext, aTender, aReport, aSentAt);
      break;
    case RenewalOutcome::Fenced:
      LoseTo(aContext, aTender);
      break;
    case RenewalOutcome::WorkerRestarted:
      base::Log(kWorkerRestarted, aTender.mWorker.mId);
      aTender.mDueAt = {};
      Drop(aTender, HoldEvent::WorkerGone);
      break;
  }
}

auto Fence(TenderContext aContext, Tender& aTender) -> net::Task<void>
{
  const auto sentAt = base::MonotonicClock::now();
  aTender.mFenceNotBefore = sentAt + aContext.mOptions.mFenceInterval;
  const auto hold = aTender.mHold;
  const auto plan = PlanFence(*hold);
  aContext.mMetrics.mFences.Add();
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Claim(
    aTender.mWorker.mControl, plan.mToken, Deadline(aContext));
  if (base::IsKind(report.status(), platform::kFenced)) {
    LoseTo(aContext, aTender);
  } else if (report.ok()) {
    ApplyOutcome(
      aContext, aTender, TakeFence(*hold, plan, *report), *report, sentAt);
  }
  aTender.mHighestSeen = std::max(aTender.mHighestSeen, plan.mToken.mNumber);
}

} // namespace

TenderMetrics::TenderMetrics(base::Metrics& aMetrics)
  : mClaims(aMetrics.FindCounter("ownership_claims_total"))
  , mSettledClaims(aMetrics.FindCounter("ownership_settled_claims_total"))
  , mLosses(aMetrics.FindCounter("ownership_losses_total"))
  , mFences(aMetrics.FindCounter("ownership_fences_total"))
  , mHandOvers(aMetrics.FindCounter("ownership_hand_overs_total"))
  , mAgentCalls(aMetrics.FindCounter("ownership_agent_calls_total"))
  , mHeld(aMetrics.FindGauge("ownership_held_workers"))
{
}

auto Drop(Tender& aTender, HoldEvent aCause) -> void
{
  aTender.mMachine.Process(aCause);
  if (aTender.mHold) {
    aTender.mHold->mLedger.Close();
    aTender.mHold->mLeaseUntil = base::MonotonicTime();
    aTender.mHold.reset();
  }
}

auto TryClaim(TenderContext aContext, Tender& aTender, ClaimCause aCause)
  -> net::Task<bool>
{
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Report(aTender.mWorker.mControl,
                                                       Deadline(aContext));
  aTender.mDueAt = base::MonotonicClock::now() + kClaimRetry;
  if (!report.ok()) {
    co_return false;
  }
  aTender.mHighestSeen =
    std::max(aTender.mHighestSeen, report->mHighestToken.mNumber);
  const auto situation = Situation(aContext, aTender, *report);
  if (aCause == ClaimCause::Assigned &&
      !MayClaim(situation, aContext.mOptions)) {
    co_return false;
  }
  co_return co_await SendClaim(aContext, aTender);
}

auto Renew(TenderContext aContext, Tender& aTender) -> net::Task<void>
{
  const auto hold = aTender.mHold;
  const auto now = base::MonotonicClock::now();
  if (hold->mLedger.HasUnfenced() && now >= aTender.mFenceNotBefore &&
      aTender.mWorker.mFences) {
    co_await Fence(aContext, aTender);
    co_return;
  }
  aContext.mMetrics.mAgentCalls.Add();
  const auto report = co_await aContext.mWorker.Report(aTender.mWorker.mControl,
                                                       Deadline(aContext));
  if (report.ok()) {
    ApplyOutcome(aContext, aTender, TakeReport(*hold, *report), *report, now);
  }
  if (!aTender.mWorker.mFences) {
    hold->mLedger.ForgetOlderThan(now - aContext.mOptions.mLongestRequest);
  }
}

} // namespace eelgrasspost::ownership
