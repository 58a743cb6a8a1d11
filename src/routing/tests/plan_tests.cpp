#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

#include "eelgrasspost/base/text.h"
#include "internal/routingplan.h"
#include "internal/slotallocation.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::routing;

auto MakeMember(const std::string& aId,
                const std::string& aDomain,
                membership::MemberState aState) -> membership::Member
{
  membership::Member out;
  out.mIdentity.mId = aId;
  out.mIdentity.mFailureDomain = aDomain;
  out.mState = aState;
  return out;
}

auto MakeWorker(const std::string& aId) -> platform::VmRecord
{
  platform::VmRecord out;
  out.mId = aId;
  out.mSlots = 2;
  return out;
}

/** Entry e1 owns w1, e2 of the same failure domain owns w2, e3 of another one
 * owns w3, and w4 is assigned to the dead e4. */
struct PlanFixture
{
  PlanFixture()
  {
    using membership::MemberState;
    auto members = std::make_shared<membership::MemberView>();
    members->mMembers = { MakeMember("e1", "a", MemberState::Alive),
                          MakeMember("e2", "a", MemberState::Alive),
                          MakeMember("e3", "b", MemberState::Alive),
                          MakeMember("e4", "b", MemberState::Dead) };
    auto ownership = std::make_shared<ownership::OwnershipView>();
    mLease = std::make_shared<ownership::WorkerLease>(
      MakeWorker("w1"), platform::FencingToken{ 1, "e1" }, "1", 0);
    mLease->mExpiresAt = base::MonotonicClock::now() + std::chrono::hours(1);
    ownership->mLeases = { mLease };
    ownership->mAssignments = { { MakeWorker("w1"), "e1" },
                                { MakeWorker("w2"), "e2" },
                                { MakeWorker("w3"), "e3" },
                                { MakeWorker("w4"), "e4" } };
    auto notes = std::make_shared<releasenote::ReleaseState>();
    releasenote::ServiceSpec service;
    service.mName = "quotes";
    for (int i = 1; i <= 4; ++i) {
      service.mEndpoints.push_back({ base::Cat("w", i), {} });
    }
    notes->mServices.Put(service);
    mInputs = { notes, ownership, members };
    mSelf = members->mMembers[0].mIdentity;
  }

  auto Build() -> ServicePlanPtr
  {
    return BuildPlan(mInputs, mSelf, mStates, mMetrics)->FindService("quotes");
  }

  /** Waits for a slot with a deadline in aSeconds; calls aOnGrant with the
   * result. */
  auto Wait(const ServicePlanPtr& aPlan,
            int aSeconds,
            const std::function<void(const SlotGrant&)>& aOnGrant) -> void
  {
    const auto deadline =
      base::MonotonicClock::now() + std::chrono::seconds(aSeconds);
    net::asio::co_spawn(
      mContext,
      WaitForSlot(aPlan, ChoicePolicy::TwoChoices, deadline),
      [aOnGrant](const std::exception_ptr&, const SlotGrant& aGrant) {
        aOnGrant(aGrant);
      });
    mContext.poll();
    mContext.restart();
  }

  net::asio::io_context mContext;
  PlanInputs mInputs;
  ownership::WorkerLeasePtr mLease;
  membership::MemberIdentity mSelf;
  RoutingStates mStates;
  base::Metrics mMetrics;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(plan, PlanFixture)

BOOST_AUTO_TEST_CASE(plan_of_service_has_owned_workers_and_living_peers)
{
  const auto service = Build();
  BOOST_TEST_REQUIRE(service);
  BOOST_TEST(service->mSlots == 2);
  BOOST_TEST_REQUIRE(service->mSameDomainPeers.size() == 1U);
  BOOST_TEST(service->mSameDomainPeers[0].mId == "e2");
  BOOST_TEST_REQUIRE(service->mOtherDomainPeers.size() == 1U);
  BOOST_TEST(service->mOtherDomainPeers[0].mId == "e3");
}

BOOST_AUTO_TEST_CASE(plan_rebuilt_keeps_runtime_states)
{
  const auto before = Build();
  before->mOwnedWorkers[0].mEndpoint->mEjected = true;
  const auto after = Build();
  BOOST_TEST(after->mState == before->mState);
  BOOST_TEST(after->mOwnedWorkers[0].mEndpoint->mEjected.load());
  BOOST_TEST(after->mState->mEjected.load() == 1);
}

BOOST_AUTO_TEST_CASE(planinputs_differing_only_in_load_give_same_plan)
{
  auto members = std::make_shared<membership::MemberView>(*mInputs.mMembers);
  members->mMembers[1].mLoad.mUsedSlots = 7;
  ++members->mMembers[1].mHeartbeat;
  auto other = mInputs;
  other.mMembers = members;
  BOOST_TEST(GivesSamePlan(mInputs, other));
  members->mMembers[1].mState = membership::MemberState::Leaving;
  BOOST_TEST(!GivesSamePlan(mInputs, other));
}

BOOST_AUTO_TEST_CASE(slot_beyond_limit_or_with_expired_lease_is_not_granted)
{
  const auto service = Build();
  service->mOwnedWorkers[0].mWorker->mLimit = 1;
  const auto take = [&] {
    return TryReserveSlot(service, ChoicePolicy::TwoChoices, {}).mWorker;
  };
  BOOST_TEST(take() != nullptr);
  BOOST_TEST(take() == nullptr);
  service->mOwnedWorkers[0].mWorker->mLimit = WorkerState::kNoLimit;
  mLease->mExpiresAt = base::MonotonicTime();
  BOOST_TEST(take() == nullptr);
}

BOOST_AUTO_TEST_CASE(
  waiter_slot_released_is_granted_and_excess_waiter_is_refused)
{
  const auto service = Build();
  BOOST_TEST(mLease->mLedger.TryReserve());
  BOOST_TEST(mLease->mLedger.TryReserve());
  std::vector<int> granted;
  service->mState->mServiceTime.Observe(base::Microseconds(1));
  // With two slots, the queue admits one waiter.
  const auto recordGrant = [&](int aSeconds) {
    return [&, aSeconds](const SlotGrant& aGrant) {
      granted.push_back(aGrant.mWorker == nullptr ? -aSeconds : aSeconds);
    };
  };
  Wait(service, 60, recordGrant(60));
  Wait(service, 30, recordGrant(30));
  BOOST_TEST((granted == std::vector{ -30 }));
  mLease->mLedger.Release();
  WakeWaiters(service, ChoicePolicy::TwoChoices);
  mContext.run();
  BOOST_TEST((granted == std::vector{ -30, 60 }));
  BOOST_TEST(mLease->mLedger.Used() == 2);
  BOOST_TEST(service->mState->mWaiting.load() == 0);
}

BOOST_AUTO_TEST_CASE(waiter_workers_handed_over_is_refused_immediately)
{
  const auto service = Build();
  BOOST_TEST(mLease->mLedger.TryReserve());
  BOOST_TEST(mLease->mLedger.TryReserve());
  auto refusal = Refusal::None;
  Wait(
    service, 3600, [&](const SlotGrant& aGrant) { refusal = aGrant.mRefusal; });
  RefuseWaitersWithoutSlots(*service);
  BOOST_TEST(service->mState->mWaiting.load() == 1);
  mLease->mExpiresAt = base::MonotonicTime();
  RefuseWaitersWithoutSlots(*service);
  mContext.run();
  BOOST_TEST((refusal == Refusal::NoWorker));
  BOOST_TEST(service->mState->mWaiting.load() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
