#include <boost/test/unit_test.hpp>

#include <random>

#include "internal/leaserules.h"
#include "internal/leasestatemachine.h"

namespace {

using namespace eelgrasspost::ownership;
using eelgrasspost::base::Milliseconds;
using eelgrasspost::base::MonotonicTime;
using eelgrasspost::membership::Member;
using eelgrasspost::membership::MemberState;
using eelgrasspost::membership::MemberView;
using eelgrasspost::platform::FencingToken;
using eelgrasspost::platform::VmRecord;
using eelgrasspost::platform::WorkerReport;

struct LeaseFixture
{
  LeaseFixture()
  {
    mWorker.mId = "worker-1";
    mWorker.mSlots = 8;
    mSelf.mId = "entry-1";
    mSelf.mIncarnation = 10;
    Member other;
    other.mIdentity.mId = "entry-2";
    other.mIdentity.mIncarnation = 20;
    mMembers.mMembers.push_back(other);
    mReport.mIncarnation = "boot-1";
    mReport.mHighestToken = { 5, HolderName(mSelf) };
  }

  auto Classify(const std::string& aHolder) -> HolderState
  {
    return ClassifyHolder(FencingToken{ 3, aHolder }, mSelf, mMembers);
  }

  VmRecord mWorker;
  eelgrasspost::membership::MemberIdentity mSelf;
  MemberView mMembers;
  WorkerReport mReport;
  OwnershipOptions mOptions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(leaserules, LeaseFixture)

BOOST_AUTO_TEST_CASE(holder_is_classified_by_state_and_incarnation)
{
  BOOST_TEST((ClassifyHolder({}, mSelf, mMembers) == HolderState::None));
  BOOST_TEST((Classify("entry-1/10") == HolderState::Self));
  BOOST_TEST((Classify("entry-1/9") == HolderState::Gone));
  BOOST_TEST((Classify("entry-2/20") == HolderState::Present));
  BOOST_TEST((Classify("entry-2/19") == HolderState::Gone));
  BOOST_TEST((Classify("entry-3/1") == HolderState::Gone));
  mMembers.mMembers[0].mState = MemberState::Suspect;
  BOOST_TEST((Classify("entry-2/20") == HolderState::Present));
  mMembers.mMembers[0].mState = MemberState::Dead;
  BOOST_TEST((Classify("entry-2/20") == HolderState::Gone));
}

BOOST_AUTO_TEST_CASE(claim_is_allowed_only_if_holder_cannot_keep_the_worker)
{
  struct Case
  {
    HolderState mHolder;
    int mUptimeMs;
    int mGoneMs;
    int mPresentMs;
    int mLosses;
    bool mSupportsFencing;
    bool mMayClaim;
  };
  constexpr Case kCases[] = {
    { HolderState::None, 0, 0, 0, 0, true, true },
    { HolderState::Present, 60000, 0, 9999, 0, true, false },
    { HolderState::Present, 60000, 0, 10000, 0, true, true },
    { HolderState::Present, 60000, 0, 39999, 2, true, false },
    { HolderState::Present, 60000, 0, 60000, 0, false, false },
    { HolderState::Leaving, 60000, 100, 0, 0, true, false },
    { HolderState::Leaving, 60000, 1000, 0, 0, true, true },
    { HolderState::Gone, 100, 0, 0, 0, true, false },
    { HolderState::Gone, 60000, 0, 0, 0, true, true },
    { HolderState::Gone, 60000, 6000, 0, 0, false, false },
    { HolderState::Gone, 60000, 6200, 0, 0, false, true },
  };
  for (const auto& it : kCases) {
    const auto conditions = ClaimConditions{ it.mHolder,
                                             Milliseconds(it.mUptimeMs),
                                             Milliseconds(it.mGoneMs),
                                             Milliseconds(it.mPresentMs),
                                             it.mLosses,
                                             it.mSupportsFencing };
    BOOST_TEST(MayClaim(conditions, mOptions) == it.mMayClaim);
  }
}

BOOST_AUTO_TEST_CASE(claim_requests_of_earlier_holders_occupy_slots_until_ended)
{
  mReport.mRequests = { "old-1", "old-2" };
  const auto lease = MakeLease(mWorker, mReport.mHighestToken, mReport);
  BOOST_TEST(lease->mLedger.Used() == 2);
  mReport.mRequests = { "old-2" };
  BOOST_TEST((ApplyReport(*lease, mReport) == RenewalOutcome::Renewed));
  BOOST_TEST(lease->mLedger.Used() == 1);
}

BOOST_AUTO_TEST_CASE(fence_releases_only_attempts_sent_before_it)
{
  const auto lease = MakeLease(mWorker, mReport.mHighestToken, mReport);
  BOOST_TEST_REQUIRE(lease->mLedger.TryReserve());
  BOOST_TEST_REQUIRE(lease->mLedger.TryReserve());
  lease->mLedger.AddUnknownAttempt("before");
  const auto plan = PlanFence(*lease);
  lease->mLedger.AddUnknownAttempt("after");
  mReport.mReplacedToken = mReport.mHighestToken;
  mReport.mHighestToken = plan.mToken;
  BOOST_TEST(
    (ApplyFenceReport(*lease, plan, mReport) == RenewalOutcome::Renewed));
  BOOST_TEST(lease->Token().mNumber == 6U);
  BOOST_TEST(lease->mLedger.UnknownAttempts().size() == 1U);
  BOOST_TEST(lease->mLedger.HasUnfencedAttempts());
}

BOOST_AUTO_TEST_CASE(fence_over_another_holder_recreates_the_lease)
{
  const auto lease = MakeLease(mWorker, mReport.mHighestToken, mReport);
  const auto plan = PlanFence(*lease);
  mReport.mReplacedToken = { 6, "entry-0/1" };
  mReport.mHighestToken = plan.mToken;
  BOOST_TEST(
    (ApplyFenceReport(*lease, plan, mReport) == RenewalOutcome::Reclaimed));
}

BOOST_AUTO_TEST_CASE(fence_with_lost_response_recreates_the_lease)
{
  const auto lease = MakeLease(mWorker, mReport.mHighestToken, mReport);
  BOOST_TEST_REQUIRE(lease->mLedger.TryReserve());
  lease->mLedger.AddUnknownAttempt("lost");
  mReport.mHighestToken = PlanFence(*lease).mToken;
  BOOST_TEST((ApplyReport(*lease, mReport) == RenewalOutcome::Reclaimed));
}

BOOST_AUTO_TEST_CASE(report_of_another_holder_or_incarnation_ends_the_lease)
{
  const auto lease = MakeLease(mWorker, mReport.mHighestToken, mReport);
  mReport.mHighestToken = { 6, "entry-2/20" };
  BOOST_TEST((ApplyReport(*lease, mReport) == RenewalOutcome::Fenced));
  mReport.mIncarnation = "boot-2";
  BOOST_TEST((ApplyReport(*lease, mReport) == RenewalOutcome::WorkerRestarted));
}

BOOST_AUTO_TEST_CASE(lease_expired_or_worker_leaving_is_not_usable)
{
  const auto lease = MakeLease(mWorker, mReport.mHighestToken, mReport);
  const auto sentAt = MonotonicTime(Milliseconds(100));
  lease->mExpiresAt = LeaseExpiry(sentAt, mOptions);
  const auto end =
    sentAt + mOptions.mLeaseDuration - mOptions.mClockDriftMargin;
  BOOST_TEST(IsUsable(*lease, end - Milliseconds(1)));
  BOOST_TEST(!IsUsable(*lease, end));
  lease->mIsLeaving = true;
  BOOST_TEST(!IsUsable(*lease, sentAt));
}

BOOST_AUTO_TEST_CASE(backoff_doubles_with_each_loss_up_to_its_limit)
{
  auto random = std::mt19937_64(3);
  ClaimBackoff backoff;
  const auto now = MonotonicTime(Milliseconds(0));
  constexpr int kMaxDelaysMs[] = { 500,  1000,  2000,  4000,
                                   8000, 16000, 30000, 30000 };
  for (const auto maxDelay : kMaxDelaysMs) {
    AddLoss(backoff, now, random);
    BOOST_TEST((backoff.mUntil - now <= Milliseconds(maxDelay)));
    BOOST_TEST((backoff.mUntil - now >= Milliseconds(maxDelay / 2)));
  }
}

BOOST_AUTO_TEST_CASE(machine_random_events_grant_slots_only_after_claim)
{
  constexpr int kSteps = 20000;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto random = std::mt19937_64(seed);
    LeaseStateMachine machine;
    auto isHeld = false;
    for (int i = 0; i < kSteps; ++i) {
      const auto before = machine.State();
      const auto event = kLeaseEventNames[random() % kLeaseEventNames.size()];
      const auto after = machine.Process(event.mValue);
      if (before == LeaseState::Claiming &&
          event.mValue == LeaseEvent::ClaimAccepted) {
        isHeld = true;
      }
      const auto endsLease = event.mValue == LeaseEvent::Fenced ||
                             event.mValue == LeaseEvent::WorkerGone ||
                             (event.mValue == LeaseEvent::HandedOver &&
                              before == LeaseState::HandingOver);
      if (endsLease) {
        isHeld = false;
      }
      BOOST_TEST_REQUIRE(CanGrantSlots(after) == isHeld);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
