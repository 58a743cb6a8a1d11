#include <algorithm>
#include <chrono>

#include <boost/test/unit_test.hpp>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

/** Shorter than the interval of heartbeats, so that an entry stays alive for
 * its peers. */
constexpr auto kMaxRoundTime = Milliseconds(300);

struct GangFixture : CellFixture
{
  static auto MakeGang(std::uint32_t aCount, std::int64_t aCpu) -> StepSpec
  {
    auto out = MakeStep(aCount, aCpu);
    out.mNeed.mMemoryMb = 1;
    out.mIsGang = true;
    return out;
  }

  auto HasEvent(CellEventKind aKind) const -> bool
  {
    return std::any_of(
      mCell.mEvents.begin(), mCell.mEvents.end(), [&](const CellEvent& aEvent) {
        return aEvent.mKind == aKind;
      });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gangs, GangFixture)

// Guards against an entry that hangs, so that its cells change hands: while a
// gang waited for room, each of its members searched workers for all of them.
BOOST_AUTO_TEST_CASE(large_gangs_that_wait_do_not_delay_the_cell)
{
  constexpr auto kRounds = 5;
  for (const auto* id : { "w1", "w2", "w3", "w4", "w5", "w6" }) {
    AddWorker(id);
  }
  for (const auto* id : { "j1", "j2", "j3" }) {
    Add(MakeJob(id, MakeGang(2000, 50)));
  }

  const auto from = std::chrono::steady_clock::now();
  for (auto i = 0; i < kRounds; ++i) {
    BOOST_TEST(Start().empty());
    Advance(Milliseconds(20));
  }
  const auto took = std::chrono::steady_clock::now() - from;

  BOOST_TEST((took < kRounds * kMaxRoundTime));
}

// The room of all workers together is enough, that of the free ones is not.
BOOST_AUTO_TEST_CASE(
  large_gangs_that_find_too_few_workers_do_not_delay_the_cell)
{
  constexpr auto kRounds = 5;
  for (const auto* id : { "w1", "w2", "w3", "w4", "w5", "w6", "w7" }) {
    AddWorker(id).mIsolatedUntil = mNow + std::chrono::hours(1);
  }
  mCell.mWorkers.at("w1")->mIsolatedUntil = {};
  for (const auto* id : { "j1", "j2", "j3" }) {
    Add(MakeJob(id, MakeGang(2000, 50)));
  }

  const auto from = std::chrono::steady_clock::now();
  for (auto i = 0; i < kRounds; ++i) {
    BOOST_TEST(Start().empty());
    Advance(Milliseconds(20));
  }
  const auto took = std::chrono::steady_clock::now() - from;

  BOOST_TEST((took < kRounds * kMaxRoundTime));
}

// Guards against log lines of starts that are not sent, and against workers
// that seem to have got one.
BOOST_AUTO_TEST_CASE(gang_that_finds_too_few_workers_changes_no_worker)
{
  auto& free = AddWorker("w1");
  AddWorker("w2").mIsolatedUntil = mNow + std::chrono::hours(1);
  Add(MakeJob("j", MakeGang(2, 10000)));

  BOOST_TEST(Start().empty());

  BOOST_TEST(!HasEvent(CellEventKind::TaskPlaced));
  BOOST_TEST(free.mRuns.empty());
  BOOST_TEST(free.mUsed.mCpuMillis == 0);
  BOOST_TEST((free.mLastStartAt == MonotonicTime{}));
}

// Guards against a gang that waits longer than for its room.
BOOST_AUTO_TEST_CASE(large_gang_starts_when_there_is_room)
{
  AddWorker("w1");
  auto& job = Add(MakeJob("j", MakeGang(2000, 10)));
  BOOST_TEST(Start().empty());
  AddWorker("w2");
  Advance(Milliseconds(120));

  const auto orders = Start();

  BOOST_TEST(orders.size() == 2000U);
  BOOST_TEST((job.mState == JobState::Running));
  BOOST_TEST(
    std::all_of(orders.begin(), orders.end(), [&](const Order& aOrder) {
      return aOrder.mAttempt == orders[0].mAttempt;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
