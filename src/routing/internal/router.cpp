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

/** Interval of comparing the plan with its inputs, and of serving waiters that
 * no release of a slot has woken. */
constexpr auto kRefreshInterval = base::Milliseconds(4);
/** How long the plan may lag behind its inputs; longer than kRefreshInterval.
 */
constexpr auto kMaxPlanLag = base::Milliseconds(6);
/** The backoff after a refusal by a peer is the service time divided by this.
 */
constexpr int kBackoffDivisor = 8;
constexpr auto kMaxBackoff = base::Microseconds(50000);
/** Assumed network round trip between failure domains. */
constexpr auto kCrossDomainRoundTrip = base::Microseconds(3000);

auto MicrosecondsSince(base::MonotonicTime aStart) -> base::Microseconds
{
  return std::chrono::duration_cast<base::Microseconds>(
    base::MonotonicClock::now() - aStart);
}

auto RefusalText(const ServicePlan& aPlan, Refusal aReason) -> std::string
{
  return base::Cat("no slot available for ",
                   aPlan.mName,
                   ": ",
                   base::NameOf(kRefusalNames, aReason));
}

/** Whether a plan has any owned worker or peer to run a request. */
auto HasCandidates(const ServicePlanPtr& aPlan) -> bool
{
  return aPlan &&
         !(aPlan->mOwnedWorkers.empty() && aPlan->mSameDomainPeers.empty() &&
           aPlan->mOtherDomainPeers.empty());
}

auto UnknownServiceOutcome(const ServiceRequest& aRequest) -> ServiceOutcome
{
  return NotRun(kUnknownService,
                base::Cat("no service ", aRequest.mService, " is in force"));
}

} // namespace

Router::Router(RouterDependencies aDependencies)
  : mDependencies(aDependencies)
  , mPlan(std::make_shared<const RoutingPlan>())
{
}

auto Router::NewAttemptId() -> std::string
{
  const auto& self = mDependencies.mMembership.Self();
  return base::Cat(self.mId, "-", self.mIncarnation, "-", ++mAttempts);
}

auto Router::RunLocally(SlotGrant aGrant, const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  TriedWorkers tried;
  const auto plan = aGrant.mPlan;
  auto& state = *plan->mState;
  while (true) {
    const auto& worker = *aGrant.mWorker;
    tried.push_back(worker.mLease.get());
    auto result = co_await RunAttempt(
      mDependencies.mHttp, worker, aRequest, NewAttemptId());
    RecordResult(result, *plan, worker);
    if (result.mIsLeaving) {
      mDependencies.mOwnership.ReportLeaving(worker.mLease->mWorker.mId);
    }
    const auto added = MicrosecondsSince(aRequest.mReceivedAt) - result.mTime;
    state.mMetrics.mAddedTime.Record(static_cast<double>(added.count()));
    WakeWaitersOfWorker(*mPlan.Read(),
                        worker.mLease->mWorker.mId,
                        mDependencies.mOptions.mPolicy);
    // The newest plan does not contain a withdrawn service, which may still
    // have waiters.
    WakeWaiters(plan, mDependencies.mOptions.mPolicy);
    const auto context = RetryContext{ result.mOutcome.mOutcome,
                                       plan->mIdempotent,
                                       static_cast<int>(tried.size()),
                                       plan->mRetryPercent,
                                       state.mServiceTime.Value() };
    const auto now = base::MonotonicClock::now();
    if (!MayRetry(context, state.mRetryBudget, now, aRequest.mDeadline)) {
      co_return std::move(result.mOutcome);
    }
    aGrant = TryReserveSlot(plan, mDependencies.mOptions.mPolicy, tried);
    if (aGrant.mWorker == nullptr) {
      co_return std::move(result.mOutcome);
    }
    state.mMetrics.mRetries.Add();
  }
}

auto Router::QueueLocally(const ServicePlanPtr& aPlan,
                          const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  auto grant = co_await WaitForSlot(
    aPlan, mDependencies.mOptions.mPolicy, aRequest.mDeadline);
  if (grant.mWorker == nullptr) {
    aPlan->mState->mMetrics.CountRefusal(grant.mRefusal);
    co_return NotRun(kNoSlot, RefusalText(*aPlan, grant.mRefusal));
  }
  co_return co_await RunLocally(std::move(grant), aRequest);
}

auto Router::RouteLocally(ServiceRequest aRequest) -> net::Task<ServiceOutcome>
{
  aRequest.mReceivedAt = base::MonotonicClock::now();
  auto plan = mPlan.Read()->FindService(aRequest.mService);
  if (!HasCandidates(plan)) {
    co_await net::Sleep(kMaxPlanLag);
    plan = mPlan.Read()->FindService(aRequest.mService);
  }
  if (!plan) {
    co_return UnknownServiceOutcome(aRequest);
  }
  auto grant = TryReserveSlotIfQueueEmpty(plan, mDependencies.mOptions.mPolicy);
  if (grant.mWorker != nullptr) {
    co_return co_await RunLocally(std::move(grant), aRequest);
  }
  co_return co_await QueueLocally(plan, aRequest);
}

auto Router::Route(ServiceRequest aRequest) -> net::Task<ServiceOutcome>
{
  aRequest.mReceivedAt = base::MonotonicClock::now();
  auto plan = mPlan.Read()->FindService(aRequest.mService);
  if (!HasCandidates(plan)) {
    co_await net::Sleep(kMaxPlanLag);
    plan = mPlan.Read()->FindService(aRequest.mService);
  }
  if (!plan) {
    co_return UnknownServiceOutcome(aRequest);
  }
  ServiceOutcome out;
  if (mDependencies.mOptions.mPolicy == ChoicePolicy::TwoChoices) {
    out = co_await RouteByLoad(plan, aRequest);
  } else {
    out = co_await RouteByBaselinePolicy(plan, aRequest);
  }
  const auto time = MicrosecondsSince(aRequest.mReceivedAt);
  plan->mState->mMetrics.mRequestTime.Record(static_cast<double>(time.count()));
  co_return out;
}

auto Router::RouteByLoad(const ServicePlanPtr& aPlan,
                         const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  auto grant =
    TryReserveSlotIfQueueEmpty(aPlan, mDependencies.mOptions.mPolicy);
  if (grant.mWorker != nullptr) {
    co_return co_await RunLocally(std::move(grant), aRequest);
  }
  const auto now = base::MonotonicClock::now();
  const auto* peer = ChoosePeer(aPlan->mSameDomainPeers,
                                mDependencies.mOptions.mPolicy,
                                RandomNumber(),
                                now);
  if (peer == nullptr) {
    peer = ChooseSpill(*aPlan, aRequest);
  }
  auto forwarded = co_await ForwardTo(*aPlan, peer, aRequest);
  if (!MayRunLocallyAfter(forwarded, *aPlan, aRequest)) {
    co_return forwarded;
  }
  const auto status = ReadQueueStatus(*aPlan, aRequest.mDeadline);
  const auto refusal =
    Admit(status, base::MonotonicClock::now(), aRequest.mDeadline);
  if (refusal != Refusal::None && peer == nullptr) {
    const auto* other = ChoosePeerWithQueueRoom(
      aPlan->mSameDomainPeers, RandomNumber(), base::MonotonicClock::now());
    if (other != nullptr) {
      co_return co_await ForwardTo(*aPlan, other, aRequest);
    }
  }
  auto local = co_await QueueLocally(aPlan, aRequest);
  const auto hasNoWorker =
    UsableSlots(*aPlan, base::MonotonicClock::now()) <= 0;
  if (local.mOutcome == Outcome::NotRun && hasNoWorker) {
    local = co_await ForwardAfterTakeover(aRequest);
  }
  const auto wasUnknown = forwarded.mOutcome == Outcome::Unknown;
  co_return wasUnknown&& local.mOutcome == Outcome::NotRun
    ? std::move(forwarded)
    : std::move(local);
}

auto Router::ForwardAfterTakeover(const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  constexpr int kMaxTries = 3;
  auto out = UnknownServiceOutcome(aRequest);
  for (int i = 0; i < kMaxTries && out.mOutcome == Outcome::NotRun; ++i) {
    const auto plan = mPlan.Read()->FindService(aRequest.mService);
    if (!plan) {
      break;
    }
    const auto now = base::MonotonicClock::now();
    const auto* peer =
      ChoosePeerWithQueueRoom(plan->mSameDomainPeers, RandomNumber(), now);
    if (peer == nullptr) {
      peer =
        ChoosePeerWithQueueRoom(plan->mOtherDomainPeers, RandomNumber(), now);
    }
    out = co_await ForwardTo(*plan, peer, aRequest);
    if (peer == nullptr) {
      co_await net::Sleep(kMaxPlanLag);
    }
  }
  co_return out;
}

auto Router::RouteByBaselinePolicy(const ServicePlanPtr& aPlan,
                                   const ServiceRequest& aRequest)
  -> net::Task<ServiceOutcome>
{
  const auto& peers = aPlan->mSameDomainPeers;
  const auto isRandom = mDependencies.mOptions.mPolicy == ChoicePolicy::Random;
  const PlannedPeer* peer = nullptr;
  if (isRandom) {
    const auto n = RandomNumber() % (peers.size() + 1);
    peer = n < peers.size() ? &peers[n] : nullptr;
  } else {
    auto grant =
      TryReserveSlotIfQueueEmpty(aPlan, mDependencies.mOptions.mPolicy);
    if (grant.mWorker != nullptr) {
      co_return co_await RunLocally(std::move(grant), aRequest);
    }
    peer = ChoosePeer(peers,
                      mDependencies.mOptions.mPolicy,
                      RandomNumber(),
                      base::MonotonicClock::now());
  }
  if (peer != nullptr) {
    co_return co_await ForwardTo(*aPlan, peer, aRequest);
  }
  auto grant =
    TryReserveSlotIfQueueEmpty(aPlan, mDependencies.mOptions.mPolicy);
  if (grant.mWorker != nullptr) {
    co_return co_await RunLocally(std::move(grant), aRequest);
  }
  co_return co_await QueueLocally(aPlan, aRequest);
}

auto Router::ChooseSpill(const ServicePlan& aPlan,
                         const ServiceRequest& aRequest) -> const PlannedPeer*
{
  const auto now = base::MonotonicClock::now();
  const auto* peer = ChoosePeer(aPlan.mOtherDomainPeers,
                                mDependencies.mOptions.mPolicy,
                                RandomNumber(),
                                now);
  if (peer == nullptr) {
    return nullptr;
  }
  const auto status = ReadQueueStatus(aPlan, aRequest.mDeadline);
  const auto serviceTime = status.mServiceTime;
  const auto mustSpill = status.mSlots <= 0 && aPlan.mSameDomainPeers.empty();
  const auto cost = SpillCost{ ExpectedWait(status),
                               ExpectedWaitAt(*peer->mState, serviceTime),
                               kCrossDomainRoundTrip };
  auto lock = std::lock_guard(aPlan.mState->mMutex);
  const auto isSpilling = DecideSpill(aPlan.mState->mSpill, cost, now);
  if (!isSpilling && !mustSpill) {
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
    mDependencies.mMessages, aPeer->mControl, aRequest, NewAttemptId());
  --state->mInFlight;
  if (forwarded.mOutcome.mOutcome == Outcome::NotRun) {
    const auto shortBackoff =
      aPlan.mState->mServiceTime.Value() / kBackoffDivisor;
    const auto backoff = forwarded.mWasSent ? shortBackoff : kMaxBackoff;
    state->mBackoffUntil =
      base::MonotonicClock::now() + std::min(backoff, kMaxBackoff);
  }
  co_return std::move(forwarded.mOutcome);
}

auto Router::MayRunLocallyAfter(const ServiceOutcome& aOutcome,
                                const ServicePlan& aPlan,
                                const ServiceRequest& aRequest) -> bool
{
  const auto context = RetryContext{ aOutcome.mOutcome,
                                     aPlan.mIdempotent,
                                     1,
                                     aPlan.mRetryPercent,
                                     aPlan.mState->mServiceTime.Value() };
  if (aOutcome.mOutcome == Outcome::NotRun) {
    return true;
  }
  return MayRetry(context,
                  aPlan.mState->mRetryBudget,
                  base::MonotonicClock::now(),
                  aRequest.mDeadline);
}

auto Router::RefreshPlan() -> void
{
  auto inputs = PlanInputs{ mDependencies.mNotes.CurrentState(),
                            mDependencies.mOwnership.View(),
                            mDependencies.mMembership.View() };
  if (!GivesSamePlan(mInputs, inputs)) {
    mPlan.Publish(BuildPlan(inputs,
                            mDependencies.mMembership.Self(),
                            mStates,
                            mDependencies.mMetrics));
  }
  if (mInputs.mMembers != inputs.mMembers) {
    for (const auto& it : inputs.mMembers->mMembers) {
      const auto peer = mStates.mPeers.find(it.mIdentity.mId);
      if (peer != mStates.mPeers.end()) {
        UpdateFromHeartbeat(*peer->second, it);
      }
    }
  }
  mInputs = std::move(inputs);
}

auto Router::PublishLoad() -> void
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
  mDependencies.mMembership.SetLoad(load);
}

auto Router::Run() -> net::Task<void>
{
  while (true) {
    RefreshPlan();
    PublishLoad();
    for (const auto& [name, it] : mPlan.Read()->mServices) {
      WakeWaiters(it, mDependencies.mOptions.mPolicy);
      RefuseWaitersWithoutSlots(*it);
    }
    co_await net::Sleep(kRefreshInterval);
  }
}

} // namespace eelgrasspost::routing
