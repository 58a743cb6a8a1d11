#include "router.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/routing/routingerrors.h"
#include "forward.h"
#include "randomnumber.h"
#include "retry.h"

namespace eelgrasspost::routing {

namespace {

/** How often the plan is compared with its inputs and waiters are looked
 * after that no release of a slot has woken. */
constexpr auto kRefreshInterval = base::Milliseconds(4);
/** How long a plan may lag behind what is in force. */
constexpr auto kPlanLag = base::Milliseconds(6);
/** A peer that refused is left alone for a share of the service time. */
constexpr int kPauseDivisor = 8;
constexpr auto kLongestPause = base::Microseconds(50000);
/** There and back between failure domains. */
constexpr auto kLinkCost = base::Microseconds(3000);

auto MicrosecondsSince(base::MonotonicTime aStart) -> base::Microseconds
{
  return std::chrono::duration_cast<base::Microseconds>(
    base::MonotonicClock::now() - aStart);
}

auto RefusalText(const ServicePlan& aPlan, Refusal aReason) -> std::string
{
  return base::Cat(
    "no slot of ", aPlan.mName, ": ", base::NameOf(kRefusalNames, aReason));
}

/** Whether a plan offers anybody to give a request to. */
auto HasAnyone(const ServicePlanPtr& aPlan) -> bool
{
  return aPlan &&
         !(aPlan->mOwn.empty() && aPlan->mNear.empty() && aPlan->mFar.empty());
}

auto UnknownService(const ServiceRequest& aRequest) -> ServiceOutcome
{
  return NotRun(kUnknownService,
                base::Cat("no service ", aRequest.mService, " is in force"));
}

} // namespace

Router::Router(RouterParts aParts)
  : mParts(aParts)
  , mPlan(std::make_shared<const RoutingPlan>())
{
}

auto Router::NewAttemptId() -> std::string
{
  const auto& self = mParts.mMembership.Self();
  return base::Cat(self.mId, "-", self.mIncarnation, "-", ++mAttempts);
}

auto Router::RunHere(Grant aGrant, const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  TriedWorkers tried;
  const auto plan = aGrant.mPlan;
  auto& state = *plan->mState;
  while (true) {
    const auto& worker = *aGrant.mWorker;
    tried.push_back(worker.mHold.get());
    auto result =
      co_await RunAttempt(mParts.mHttp, worker, aRequest, NewAttemptId());
    LearnFrom(result, *plan, worker);
    if (result.mIsLeaving) {
      mParts.mOwnership.ReportLeaving(worker.mHold->mWorker.mId);
    }
    const auto added = MicrosecondsSince(aRequest.mReceivedAt) - result.mTime;
    state.mMetrics.mAddedTime.Record(static_cast<double>(added.count()));
    WakeWaitersOf(
      *mPlan.Read(), worker.mHold->mWorker.mId, mParts.mOptions.mPolicy);
    // A withdrawn service has waiters that the newest plan does not know.
    WakeWaiters(plan, mParts.mOptions.mPolicy);
    const auto view = RetryView{ result.mOutcome.mOutcome,
                                 plan->mIdempotent,
                                 static_cast<int>(tried.size()),
                                 plan->mRetryPercent,
                                 state.mServiceTime.Value() };
    const auto now = base::MonotonicClock::now();
    if (!MayRetry(view, state.mRetryBudget, now, aRequest.mDeadline)) {
      co_return std::move(result.mOutcome);
    }
    aGrant = TryTakeSlot(plan, mParts.mOptions.mPolicy, tried);
    if (aGrant.mWorker == nullptr) {
      co_return std::move(result.mOutcome);
    }
    state.mMetrics.mRetries.Add();
  }
}

auto Router::QueueHere(const ServicePlanPtr& aPlan,
                       const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  auto grant =
    co_await WaitForSlot(aPlan, mParts.mOptions.mPolicy, aRequest.mDeadline);
  if (grant.mWorker == nullptr) {
    aPlan->mState->mMetrics.Refused(grant.mRefusal);
    co_return NotRun(kNoSlot, RefusalText(*aPlan, grant.mRefusal));
  }
  co_return co_await RunHere(std::move(grant), aRequest);
}

auto Router::RouteHere(ServiceRequest aRequest) -> net::Task<ServiceOutcome>
{
  aRequest.mReceivedAt = base::MonotonicClock::now();
  auto plan = mPlan.Read()->FindService(aRequest.mService);
  if (!HasAnyone(plan)) {
    co_await net::Sleep(kPlanLag);
    plan = mPlan.Read()->FindService(aRequest.mService);
  }
  if (!plan) {
    co_return UnknownService(aRequest);
  }
  auto grant = TakeSlotInTurn(plan, mParts.mOptions.mPolicy);
  if (grant.mWorker != nullptr) {
    co_return co_await RunHere(std::move(grant), aRequest);
  }
  co_return co_await QueueHere(plan, aRequest);
}

auto Router::Route(ServiceRequest aRequest) -> net::Task<ServiceOutcome>
{
  aRequest.mReceivedAt = base::MonotonicClock::now();
  auto plan = mPlan.Read()->FindService(aRequest.mService);
  if (!HasAnyone(plan)) {
    co_await net::Sleep(kPlanLag);
    plan = mPlan.Read()->FindService(aRequest.mService);
  }
  if (!plan) {
    co_return UnknownService(aRequest);
  }
  ServiceOutcome out;
  if (mParts.mOptions.mPolicy == ChoicePolicy::TwoChoices) {
    out = co_await Place(plan, aRequest);
  } else {
    out = co_await PlaceByBaseline(plan, aRequest);
  }
  const auto time = MicrosecondsSince(aRequest.mReceivedAt);
  plan->mState->mMetrics.mRequestTime.Record(static_cast<double>(time.count()));
  co_return out;
}

auto Router::Place(const ServicePlanPtr& aPlan, const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  auto grant = TakeSlotInTurn(aPlan, mParts.mOptions.mPolicy);
  if (grant.mWorker != nullptr) {
    co_return co_await RunHere(std::move(grant), aRequest);
  }
  const auto now = base::MonotonicClock::now();
  const auto* peer =
    ChoosePeer(aPlan->mNear, mParts.mOptions.mPolicy, RandomNumber(), now);
  if (peer == nullptr) {
    peer = ChooseSpill(*aPlan, aRequest);
  }
  auto tried = co_await ForwardTo(*aPlan, peer, aRequest);
  if (!MayRunAfter(tried, *aPlan, aRequest)) {
    co_return tried;
  }
  const auto view = ViewQueue(*aPlan, aRequest.mDeadline);
  const auto refusal =
    Admit(view, base::MonotonicClock::now(), aRequest.mDeadline);
  if (refusal != Refusal::None && peer == nullptr) {
    const auto* other = ChoosePeerToQueue(
      aPlan->mNear, RandomNumber(), base::MonotonicClock::now());
    if (other != nullptr) {
      co_return co_await ForwardTo(*aPlan, other, aRequest);
    }
  }
  auto here = co_await QueueHere(aPlan, aRequest);
  const auto hasNoWorker =
    UsableSlots(*aPlan, base::MonotonicClock::now()) <= 0;
  if (here.mOutcome == Outcome::NotRun && hasNoWorker) {
    here = co_await ForwardElsewhere(aRequest);
  }
  const auto wasUnknown = tried.mOutcome == Outcome::Unknown;
  co_return wasUnknown&& here.mOutcome == Outcome::NotRun ? std::move(tried)
                                                          : std::move(here);
}

auto Router::ForwardElsewhere(const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  constexpr int kTries = 3;
  auto out = UnknownService(aRequest);
  for (int i = 0; i < kTries && out.mOutcome == Outcome::NotRun; ++i) {
    const auto plan = mPlan.Read()->FindService(aRequest.mService);
    if (!plan) {
      break;
    }
    const auto now = base::MonotonicClock::now();
    const auto* peer = ChoosePeerToQueue(plan->mNear, RandomNumber(), now);
    if (peer == nullptr) {
      peer = ChoosePeerToQueue(plan->mFar, RandomNumber(), now);
    }
    out = co_await ForwardTo(*plan, peer, aRequest);
    if (peer == nullptr) {
      co_await net::Sleep(kPlanLag);
    }
  }
  co_return out;
}

auto Router::PlaceByBaseline(const ServicePlanPtr& aPlan,
                             const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  const auto& near = aPlan->mNear;
  const auto isRandom = mParts.mOptions.mPolicy == ChoicePolicy::Random;
  const PlannedPeer* peer = nullptr;
  if (isRandom) {
    const auto n = RandomNumber() % (near.size() + 1);
    peer = n < near.size() ? &near[n] : nullptr;
  } else {
    auto grant = TakeSlotInTurn(aPlan, mParts.mOptions.mPolicy);
    if (grant.mWorker != nullptr) {
      co_return co_await RunHere(std::move(grant), aRequest);
    }
    peer = ChoosePeer(near,
                      mParts.mOptions.mPolicy,
                      RandomNumber(),
                      base::MonotonicClock::now());
  }
  if (peer != nullptr) {
    co_return co_await ForwardTo(*aPlan, peer, aRequest);
  }
  auto grant = TakeSlotInTurn(aPlan, mParts.mOptions.mPolicy);
  if (grant.mWorker != nullptr) {
    co_return co_await RunHere(std::move(grant), aRequest);
  }
  co_return co_await QueueHere(aPlan, aRequest);
}

auto Router::ChooseSpill(const ServicePlan& aPlan,
                         const ServiceRequest& aRequest) -> const PlannedPeer*
{
  const auto now = base::MonotonicClock::now();
  const auto* peer =
    ChoosePeer(aPlan.mFar, mParts.mOptions.mPolicy, RandomNumber(), now);
  if (peer == nullptr) {
    return nullptr;
  }
  const auto view = ViewQueue(aPlan, aRequest.mDeadline);
  const auto serviceTime = view.mServiceTime;
  const auto hasNone = view.mSlots <= 0 && aPlan.mNear.empty();
  const auto cost = SpillCost{ ExpectedWait(view),
                               ExpectedWaitAt(*peer->mState, serviceTime),
                               kLinkCost };
  auto lock = std::lock_guard(aPlan.mState->mMutex);
  const auto pays = DecideSpill(aPlan.mState->mSpill, cost, now);
  if (!pays && !hasNone) {
    return nullptr;
  }
  aPlan.mState->mMetrics.mSpills.Add();
  return peer;
}

auto Router::ForwardTo(const ServicePlan& aPlan,
                       const PlannedPeer* aPeer,
                       const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  if (aPeer == nullptr) {
    co_return NotRun(kNoSlot, RefusalText(aPlan, Refusal::NoWorker));
  }
  const auto state = aPeer->mState;
  aPlan.mState->mMetrics.mForwards.Add();
  ++state->mInFlight;
  auto forwarded = co_await routing::ForwardTo(
    mParts.mMessages, aPeer->mControl, aRequest, NewAttemptId());
  --state->mInFlight;
  if (forwarded.mOutcome.mOutcome == Outcome::NotRun) {
    const auto usual = aPlan.mState->mServiceTime.Value() / kPauseDivisor;
    const auto pause = forwarded.mWasSent ? usual : kLongestPause;
    state->mFullUntil =
      base::MonotonicClock::now() + std::min(pause, kLongestPause);
  }
  co_return std::move(forwarded.mOutcome);
}

auto Router::MayRunAfter(const ServiceOutcome& aOutcome,
                         const ServicePlan& aPlan,
                         const ServiceRequest& aRequest) -> bool
{
  const auto view = RetryView{ aOutcome.mOutcome,
                               aPlan.mIdempotent,
                               1,
                               aPlan.mRetryPercent,
                               aPlan.mState->mServiceTime.Value() };
  if (aOutcome.mOutcome == Outcome::NotRun) {
    return true;
  }
  return MayRetry(view,
                  aPlan.mState->mRetryBudget,
                  base::MonotonicClock::now(),
                  aRequest.mDeadline);
}

auto Router::RefreshPlan() -> void
{
  auto inputs = PlanInputs{ mParts.mNotes.InForce(),
                            mParts.mOwnership.View(),
                            mParts.mMembership.View() };
  if (!GivesSamePlan(mInputs, inputs)) {
    mPlan.Publish(
      BuildPlan(inputs, mParts.mMembership.Self(), mStates, mParts.mMetrics));
  }
  if (mInputs.mMembers != inputs.mMembers) {
    for (const auto& it : inputs.mMembers->mMembers) {
      const auto peer = mStates.mPeers.find(it.mIdentity.mId);
      if (peer != mStates.mPeers.end()) {
        TakeReport(*peer->second, it);
      }
    }
  }
  mInputs = std::move(inputs);
}

auto Router::ShareLoad() -> void
{
  membership::MemberLoad load;
  load.mRevision = mInputs.mNotes ? mInputs.mNotes->mRevision : 0;
  for (const auto& it : mInputs.mOwnership->mLeases) {
    load.mSlots += static_cast<std::uint32_t>(it->mLedger.Slots());
    load.mUsedSlots += static_cast<std::uint32_t>(it->mLedger.Used());
  }
  for (const auto& [name, it] : mStates.mServices) {
    load.mQueued += static_cast<std::uint32_t>(it->mWaiting.load());
  }
  mParts.mMembership.SetLoad(load);
}

auto Router::Run() -> net::Task<void>
{
  while (true) {
    RefreshPlan();
    ShareLoad();
    for (const auto& [name, it] : mPlan.Read()->mServices) {
      WakeWaiters(it, mParts.mOptions.mPolicy);
      SendWaitersOn(*it);
    }
    co_await net::Sleep(kRefreshInterval);
  }
}

} // namespace eelgrasspost::routing
