#include <boost/test/unit_test.hpp>

#include <random>

#include "internal/holdmachine.h"
#include "internal/holdrules.h"

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

struct HoldFixture
{
  HoldFixture()
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

  auto Judge(const std::string& aHolder) -> HolderState
  {
    return JudgeHolder(FencingToken{ 3, aHolder }, mSelf, mMembers);
  }

  VmRecord mWorker;
  eelgrasspost::membership::MemberIdentity mSelf;
  MemberView mMembers;
  WorkerReport mReport;
  OwnershipOptions mOptions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(holdrules, HoldFixture)

BOOST_AUTO_TEST_CASE(holder_is_judged_by_state_and_incarnation)
{
  BOOST_TEST((JudgeHolder({}, mSelf, mMembers) == HolderState::Nobody));
  BOOST_TEST((Judge("entry-1/10") == HolderState::Self));
  BOOST_TEST((Judge("entry-1/9") == HolderState::Gone));
  BOOST_TEST((Judge("entry-2/20") == HolderState::Present));
  BOOST_TEST((Judge("entry-2/19") == HolderState::Gone));
  BOOST_TEST((Judge("entry-3/1") == HolderState::Gone));
  mMembers.mMembers[0].mState = MemberState::Suspect;
  BOOST_TEST((Judge("entry-2/20") == HolderState::Present));
  mMembers.mMembers[0].mState = MemberState::Dead;
  BOOST_TEST((Judge("entry-2/20") == HolderState::Gone));
}

BOOST_AUTO_TEST_CASE(claim_is_made_only_when_the_holder_cannot_keep_it)
{
  struct Case
  {
    HolderState mHolder;
    int mUptimeMs;
    int mGoneMs;
    bool mFences;
    bool mMay;
  };
  constexpr Case kCases[] = {
    { HolderState::Nobody, 0, 0, true, true },
    { HolderState::Present, 60000, 0, true, false },
    { HolderState::Leaving, 60000, 100, true, false },
    { HolderState::Leaving, 60000, 1000, true, true },
    { HolderState::Gone, 100, 0, true, false },
    { HolderState::Gone, 60000, 0, true, true },
    { HolderState::Gone, 60000, 6000, false, false },
    { HolderState::Gone, 60000, 6200, false, true },
  };
  for (const auto& it : kCases) {
    const auto situation = ClaimSituation{ it.mHolder,
                                           Milliseconds(it.mUptimeMs),
                                           Milliseconds(it.mGoneMs),
                                           it.mFences };
    BOOST_TEST(MayClaim(situation, mOptions) == it.mMay);
  }
}

BOOST_AUTO_TEST_CASE(claim_counts_requests_of_earlier_owners_until_gone)
{
  mReport.mRequests = { "old-1", "old-2" };
  const auto hold = MakeHold(mWorker, mReport.mHighestToken, mReport);
  BOOST_TEST(hold->mLedger.Used() == 2);
  mReport.mRequests = { "old-2" };
  BOOST_TEST((TakeReport(*hold, mReport) == RenewalOutcome::Renewed));
  BOOST_TEST(hold->mLedger.Used() == 1);
}

BOOST_AUTO_TEST_CASE(fence_frees_only_attempts_sent_before_it)
{
  const auto hold = MakeHold(mWorker, mReport.mHighestToken, mReport);
  BOOST_TEST_REQUIRE(hold->mLedger.TryReserve());
  BOOST_TEST_REQUIRE(hold->mLedger.TryReserve());
  hold->mLedger.KeepForUnknown("before");
  const auto plan = PlanFence(*hold);
  hold->mLedger.KeepForUnknown("after");
  mReport.mReplacedToken = mReport.mHighestToken;
  mReport.mHighestToken = plan.mToken;
  BOOST_TEST((TakeFence(*hold, plan, mReport) == RenewalOutcome::Renewed));
  BOOST_TEST(hold->Token().mNumber == 6U);
  BOOST_TEST(hold->mLedger.UnknownAttempts().size() == 1U);
  BOOST_TEST(hold->mLedger.HasUnfenced());
}

BOOST_AUTO_TEST_CASE(fence_over_another_holder_makes_the_hold_anew)
{
  const auto hold = MakeHold(mWorker, mReport.mHighestToken, mReport);
  const auto plan = PlanFence(*hold);
  mReport.mReplacedToken = { 6, "entry-0/1" };
  mReport.mHighestToken = plan.mToken;
  BOOST_TEST((TakeFence(*hold, plan, mReport) == RenewalOutcome::Reclaimed));
}

BOOST_AUTO_TEST_CASE(fence_with_lost_answer_makes_the_hold_anew)
{
  const auto hold = MakeHold(mWorker, mReport.mHighestToken, mReport);
  BOOST_TEST_REQUIRE(hold->mLedger.TryReserve());
  hold->mLedger.KeepForUnknown("lost");
  mReport.mHighestToken = PlanFence(*hold).mToken;
  BOOST_TEST((TakeReport(*hold, mReport) == RenewalOutcome::Reclaimed));
}

BOOST_AUTO_TEST_CASE(report_of_another_holder_or_incarnation_ends_the_hold)
{
  const auto hold = MakeHold(mWorker, mReport.mHighestToken, mReport);
  mReport.mHighestToken = { 6, "entry-2/20" };
  BOOST_TEST((TakeReport(*hold, mReport) == RenewalOutcome::Fenced));
  mReport.mIncarnation = "boot-2";
  BOOST_TEST((TakeReport(*hold, mReport) == RenewalOutcome::WorkerRestarted));
}

BOOST_AUTO_TEST_CASE(lease_lapsed_or_worker_leaving_may_not_be_used)
{
  const auto hold = MakeHold(mWorker, mReport.mHighestToken, mReport);
  const auto sentAt = MonotonicTime(Milliseconds(100));
  hold->mLeaseUntil = LeaseEnd(sentAt, mOptions);
  const auto end = sentAt + mOptions.mLease - mOptions.mDriftMargin;
  BOOST_TEST(MayUse(*hold, end - Milliseconds(1)));
  BOOST_TEST(!MayUse(*hold, end));
  hold->mLeaving = true;
  BOOST_TEST(!MayUse(*hold, sentAt));
}

BOOST_AUTO_TEST_CASE(hold_down_doubles_with_each_loss_up_to_its_limit)
{
  auto random = std::mt19937_64(3);
  HoldDown holdDown;
  const auto now = MonotonicTime(Milliseconds(0));
  constexpr int kLongestMs[] = { 500,  1000,  2000,  4000,
                                 8000, 16000, 30000, 30000 };
  for (const auto longest : kLongestMs) {
    AddLoss(holdDown, now, random);
    BOOST_TEST((holdDown.mUntil - now <= Milliseconds(longest)));
    BOOST_TEST((holdDown.mUntil - now >= Milliseconds(longest / 2)));
  }
}

BOOST_AUTO_TEST_CASE(machine_random_events_give_slots_only_after_a_taken_claim)
{
  constexpr int kSteps = 20000;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto random = std::mt19937_64(seed);
    HoldMachine machine;
    auto hasClaim = false;
    for (int i = 0; i < kSteps; ++i) {
      const auto before = machine.State();
      const auto event = kHoldEventNames[random() % kHoldEventNames.size()];
      const auto after = machine.Process(event.mValue);
      if (before == HoldState::Claiming &&
          event.mValue == HoldEvent::ClaimTaken) {
        hasClaim = true;
      }
      const auto ends = event.mValue == HoldEvent::Fenced ||
                        event.mValue == HoldEvent::WorkerGone ||
                        (event.mValue == HoldEvent::HandedOver &&
                         before == HoldState::HandingOver);
      if (ends) {
        hasClaim = false;
      }
      BOOST_TEST_REQUIRE(GivesSlots(after) == hasClaim);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
