#include "slotallocation.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "choice.h"
#include "randomnumber.h"

namespace eelgrasspost::routing {

namespace asio = net::asio;

namespace {

/** Reserves a slot on an ejected endpoint whose probe is due. */
auto ReserveSlotForProbe(const ServicePlan& aPlan, base::MonotonicTime aNow)
  -> const PlannedWorker*
{
  if (aPlan.mState->mEjected.load(std::memory_order_relaxed) == 0) {
    return nullptr;
  }
  auto lock = std::lock_guard(aPlan.mState->mMutex);
  for (const auto& it : aPlan.mOwnedWorkers) {
    const auto isUsable =
      it.mEndpoint->mEjected && ownership::IsUsable(*it.mLease, aNow);
    if (isUsable && TryProbe(it.mEndpoint->mHealth, aNow) &&
        it.mLease->mLedger.TryReserve()) {
      return &it;
    }
  }
  return nullptr;
}

auto ReserveSlotByPolicy(const ServicePlan& aPlan,
                         ChoicePolicy aPolicy,
                         const TriedWorkers& aTried,
                         base::MonotonicTime aNow) -> const PlannedWorker*
{
  const auto loadOf = [&](std::size_t aIndex) {
    const auto& worker = aPlan.mOwnedWorkers[aIndex];
    const auto isTried =
      std::ranges::find(aTried, worker.mLease.get()) != aTried.end();
    return CandidateLoad{ worker.mLease->mLedger.Used(),
                          isTried ? 0 : UsableSlots(worker, aNow) };
  };
  // Another thread may reserve the chosen slot first.
  constexpr int kMaxTries = 4;
  for (int i = 0; i < kMaxTries; ++i) {
    const auto n =
      Choose(aPolicy, aPlan.mOwnedWorkers.size(), RandomNumber(), loadOf);
    if (!n) {
      return nullptr;
    }
    const auto& worker = aPlan.mOwnedWorkers[*n];
    if (worker.mLease->mLedger.TryReserve()) {
      return &worker;
    }
  }
  return nullptr;
}

auto Wake(const WaiterPtr& aWaiter) -> void
{
  asio::post(aWaiter->mTimer.get_executor(),
             [aWaiter] { aWaiter->mTimer.cancel(); });
}

/** Time at which a waiter expires, because a request started later would not
 * finish by its deadline. */
auto WaitExpiry(const ServicePlan& aPlan, base::MonotonicTime aDeadline)
  -> base::MonotonicTime
{
  return aDeadline - aPlan.mState->mServiceTime.Value();
}

auto UpdateQueueGauge(ServiceState& aState) -> void
{
  aState.mMetrics.mQueue.Set(aState.mQueue.Size());
}

} // namespace

auto UsableSlots(const PlannedWorker& aWorker, base::MonotonicTime aNow)
  -> std::int64_t
{
  if (aWorker.mEndpoint->mEjected.load(std::memory_order_relaxed) ||
      !ownership::IsUsable(*aWorker.mLease, aNow)) {
    return 0;
  }
  return std::min(aWorker.mLease->mLedger.Slots(),
                  aWorker.mWorker->mLimit.load(std::memory_order_relaxed));
}

auto UsableSlots(const ServicePlan& aPlan, base::MonotonicTime aNow)
  -> std::int64_t
{
  std::int64_t sum = 0;
  for (const auto& it : aPlan.mOwnedWorkers) {
    sum += UsableSlots(it, aNow);
  }
  return sum;
}

auto TryReserveSlot(const ServicePlanPtr& aPlan,
                    ChoicePolicy aPolicy,
                    const TriedWorkers& aTried) -> SlotGrant
{
  const auto now = base::MonotonicClock::now();
  const auto* probed =
    aTried.empty() ? ReserveSlotForProbe(*aPlan, now) : nullptr;
  if (probed != nullptr) {
    return { aPlan, probed, Refusal::None };
  }
  return { aPlan,
           ReserveSlotByPolicy(*aPlan, aPolicy, aTried, now),
           Refusal::None };
}

auto TryReserveSlotIfQueueEmpty(const ServicePlanPtr& aPlan,
                                ChoicePolicy aPolicy) -> SlotGrant
{
  if (aPlan->mState->mWaiting.load() > 0) {
    return { aPlan, nullptr, Refusal::None };
  }
  return TryReserveSlot(aPlan, aPolicy, {});
}

auto ReadQueueStatus(const ServicePlan& aPlan, base::MonotonicTime aDeadline)
  -> QueueStatus
{
  const auto now = base::MonotonicClock::now();
  auto& state = *aPlan.mState;
  auto lock = std::lock_guard(state.mMutex);
  return { state.mQueue.CountAhead(aDeadline),
           state.mQueue.Size(),
           aPlan.mQueueLimit,
           UsableSlots(aPlan, now),
           state.mServiceTime.Value() };
}

auto WaitForSlot(ServicePlanPtr aPlan,
                 ChoicePolicy aPolicy,
                 base::MonotonicTime aDeadline) -> net::Task<SlotGrant>
{
  auto& state = *aPlan->mState;
  const auto status = ReadQueueStatus(*aPlan, aDeadline);
  const auto refusal = Admit(status, base::MonotonicClock::now(), aDeadline);
  if (refusal != Refusal::None) {
    co_return SlotGrant{ aPlan, nullptr, refusal };
  }
  auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
  waiter->mTimer.expires_at(WaitExpiry(*aPlan, aDeadline));
  ++state.mWaiting;
  WaitKey key;
  {
    auto lock = std::lock_guard(state.mMutex);
    key = state.mQueue.Push(aDeadline, waiter);
    UpdateQueueGauge(state);
  }
  // A slot may have been released before the push.
  WakeWaiters(aPlan, aPolicy);
  boost::system::error_code ec;
  co_await waiter->mTimer.async_wait(
    asio::redirect_error(asio::use_awaitable, ec));
  auto lock = std::lock_guard(state.mMutex);
  if (state.mQueue.Remove(key)) {
    --state.mWaiting;
    UpdateQueueGauge(state);
  }
  if (waiter->mGranted == nullptr) {
    co_return SlotGrant{ aPlan, nullptr, waiter->mRefusal };
  }
  co_return SlotGrant{ waiter->mPlan, waiter->mGranted, Refusal::None };
}

auto WakeWaiters(const ServicePlanPtr& aPlan, ChoicePolicy aPolicy) -> void
{
  auto& state = *aPlan->mState;
  if (state.mWaiting.load() == 0) {
    return;
  }
  const auto now = base::MonotonicClock::now();
  auto lock = std::lock_guard(state.mMutex);
  while (state.mQueue.Size() > 0) {
    const auto* worker = ReserveSlotByPolicy(*aPlan, aPolicy, {}, now);
    if (worker == nullptr) {
      break;
    }
    const auto waiter = *state.mQueue.Pop();
    --state.mWaiting;
    waiter->mGranted = worker;
    waiter->mPlan = aPlan;
    Wake(waiter);
  }
  UpdateQueueGauge(state);
}

auto RefuseWaitersWithoutSlots(const ServicePlan& aPlan) -> void
{
  auto& state = *aPlan.mState;
  const auto now = base::MonotonicClock::now();
  if (state.mWaiting.load() == 0 || UsableSlots(aPlan, now) > 0) {
    return;
  }
  auto lock = std::lock_guard(state.mMutex);
  while (const auto waiter = state.mQueue.Pop()) {
    --state.mWaiting;
    (*waiter)->mRefusal = Refusal::NoWorker;
    Wake(*waiter);
  }
  UpdateQueueGauge(state);
}

auto WakeWaitersOfWorker(const RoutingPlan& aPlan,
                         std::string_view aWorker,
                         ChoicePolicy aPolicy) -> void
{
  // Orders the release of the slot before the check for waiters.
  std::atomic_thread_fence(std::memory_order_seq_cst);
  const auto found = aPlan.mServicesOfWorker.find(aWorker);
  if (found == aPlan.mServicesOfWorker.end()) {
    return;
  }
  for (const auto& it : found->second) {
    WakeWaiters(it, aPolicy);
  }
}

} // namespace eelgrasspost::routing
