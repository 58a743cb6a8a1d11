#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include <numeric>
#include <random>
#include <vector>

#include "internal/choice.h"
#include "internal/peerchoice.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::routing;

constexpr auto kPolicies = std::array{ ChoicePolicy::TwoChoices,
                                       ChoicePolicy::Random,
                                       ChoicePolicy::LeastLoaded };

struct ChoiceFixture
{
  auto ChooseFrom(ChoicePolicy aPolicy) -> std::optional<std::size_t>
  {
    const auto loadOf = [this](std::size_t aIndex) { return mLoads[aIndex]; };
    return Choose(aPolicy, mLoads.size(), mRandom(), loadOf);
  }

  std::vector<CandidateLoad> mLoads;
  std::mt19937_64 mRandom{ 7 };
};

/** Peers that have reported how many of 10 slots are in use. */
auto MakePeers(const std::vector<std::int64_t>& aUsed)
  -> std::vector<PlannedPeer>
{
  std::vector<PlannedPeer> out;
  for (const auto used : aUsed) {
    auto state = std::make_shared<PeerState>();
    state->mSlots = 10;
    state->mUsed = used;
    out.push_back({ "", {}, std::move(state) });
  }
  return out;
}

const auto kNow = base::MonotonicTime(std::chrono::seconds(100));

} // namespace

BOOST_FIXTURE_TEST_SUITE(choice, ChoiceFixture)

BOOST_AUTO_TEST_CASE(policy_any_never_chooses_a_full_candidate)
{
  for (int round = 0; round < 2000; ++round) {
    const auto count = 1 + mRandom() % 6;
    mLoads.clear();
    for (std::size_t i = 0; i < count; ++i) {
      const auto limit = static_cast<std::int64_t>(mRandom() % 4);
      const auto used = static_cast<std::int64_t>(mRandom() % 5);
      mLoads.push_back({ used, limit });
    }
    const auto anyFree = std::ranges::any_of(
      mLoads, [](const CandidateLoad& aLoad) { return aLoad.IsFree(); });
    for (const auto policy : kPolicies) {
      const auto n = ChooseFrom(policy);
      BOOST_TEST_REQUIRE(n.has_value() == anyFree);
      BOOST_TEST_REQUIRE((!n || mLoads[*n].IsFree()));
    }
  }
}

BOOST_AUTO_TEST_CASE(policy_no_candidate_chooses_none)
{
  for (const auto policy : kPolicies) {
    BOOST_TEST(!ChooseFrom(policy).has_value());
  }
}

BOOST_AUTO_TEST_CASE(two_choices_many_rounds_load_is_more_even_than_random)
{
  const auto mostAfter = [this](ChoicePolicy aPolicy) {
    mLoads.assign(50, { 0, 1000 });
    for (int i = 0; i < 5000; ++i) {
      ++mLoads[*ChooseFrom(aPolicy)].mUsed;
    }
    return std::ranges::max(mLoads, {}, &CandidateLoad::mUsed).mUsed;
  };
  BOOST_TEST(mostAfter(ChoicePolicy::TwoChoices) + 10 <
             mostAfter(ChoicePolicy::Random));
}

BOOST_AUTO_TEST_CASE(
  peer_with_requests_in_flight_since_report_counts_as_more_loaded)
{
  const auto peers = MakePeers({ 8, 9 });
  peers[0].mState->mInFlight = 2;
  for (int i = 0; i < 100; ++i) {
    const auto* peer =
      ChoosePeer(peers, ChoicePolicy::TwoChoices, mRandom(), kNow);
    BOOST_TEST_REQUIRE(peer == &peers[1]);
  }
}

BOOST_AUTO_TEST_CASE(peer_in_backoff_is_not_chosen_until_backoff_ends)
{
  const auto peers = MakePeers({ 0 });
  peers[0].mState->mBackoffUntil = kNow + base::Milliseconds(5);
  const auto choose = [&](base::MonotonicTime aNow) {
    return ChoosePeer(peers, ChoicePolicy::TwoChoices, mRandom(), aNow);
  };
  BOOST_TEST(choose(kNow) == nullptr);
  BOOST_TEST(choose(kNow + base::Milliseconds(5)) == &peers[0]);
}

BOOST_AUTO_TEST_CASE(
  peer_without_free_slot_but_with_queue_room_is_chosen_to_queue)
{
  const auto peers = MakePeers({ 12 });
  BOOST_TEST(ChoosePeer(peers, ChoicePolicy::TwoChoices, 1, kNow) == nullptr);
  BOOST_TEST(ChoosePeerWithQueueRoom(peers, 1, kNow) == &peers[0]);
  peers[0].mState->mQueued = 3;
  BOOST_TEST(ChoosePeerWithQueueRoom(peers, 1, kNow) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
