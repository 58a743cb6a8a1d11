#define BOOST_TEST_MODULE dispatch
#include <boost/test/unit_test.hpp>

#include "internal/claiming.h"
#include "internal/holdertimes.h"

namespace {

using namespace eelgrasspost::dispatch;

/** Two entries in domain "a", one in "b", and a cell in each domain. */
struct ClaimFixture
{
  ClaimView mView;

  ClaimFixture()
  {
    mView.mMyName = "a1";
    mView.mMyIncarnation = 10;
    mView.mSinceStart = Milliseconds(5000);
    mView.mLive = { { "a1", 10, "a" }, { "a2", 10, "a" }, { "b1", 10, "b" } };
    mView.mCells = { { "a/0", "a", "a2", 10, 1 }, { "b/0", "b", "b1", 10, 1 } };
  }

  auto RemoveLive(const std::string& aName) -> void
  {
    std::erase_if(mView.mLive, [&](const ClaimCandidate& aCandidate) {
      return aCandidate.mName == aName;
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claiming, ClaimFixture)

BOOST_AUTO_TEST_CASE(cells_with_live_holders_are_not_claimed)
{
  BOOST_TEST(CellsToClaim(mView).empty());
}

BOOST_AUTO_TEST_CASE(cell_holder_dead_is_claimed_in_its_domain)
{
  RemoveLive("a2");
  BOOST_TEST(CellsToClaim(mView) == std::vector<std::string>{ "a/0" });
}

BOOST_AUTO_TEST_CASE(cell_holder_restarted_is_claimed)
{
  mView.mLive[1].mIncarnation = 11;
  mView.mLive[1].mHeldCells = 5;
  BOOST_TEST(CellsToClaim(mView) == std::vector<std::string>{ "a/0" });
}

BOOST_AUTO_TEST_CASE(
  cell_holder_without_heartbeat_soon_after_own_start_is_not_claimed)
{
  RemoveLive("a2");
  mView.mSinceStart = Milliseconds(500);
  BOOST_TEST(CellsToClaim(mView).empty());
}

BOOST_AUTO_TEST_CASE(cell_released_is_claimed_by_exactly_one_entry)
{
  mView.mCells[0].mHolder.clear();
  const auto first = CellsToClaim(mView);
  mView.mMyName = "a2";
  const auto second = CellsToClaim(mView);
  BOOST_TEST(first.size() + second.size() == 1U);
}

BOOST_AUTO_TEST_CASE(leaving_entry_claims_nothing)
{
  mView.mCells[0].mHolder.clear();
  RemoveLive("a2");
  mView.mLive[0].mIsLeaving = true;
  BOOST_TEST(CellsToClaim(mView).empty());
}

BOOST_AUTO_TEST_CASE(cell_of_partitioned_domain_is_not_claimed_at_first)
{
  RemoveLive("b1");
  mView.mSinceLastHeartbeat["b"] = Milliseconds(5000);
  BOOST_TEST(CellsToClaim(mView).empty());
}

BOOST_AUTO_TEST_CASE(
  cell_of_domain_long_without_heartbeat_is_claimed_by_another_domain)
{
  RemoveLive("b1");
  RemoveLive("a2");
  mView.mCells[0].mHolder = "a1";
  mView.mSinceLastHeartbeat["b"] = Milliseconds(9000);
  BOOST_TEST(CellsToClaim(mView) == std::vector<std::string>{ "b/0" });
}

BOOST_AUTO_TEST_CASE(foreign_cell_domain_is_back_is_released)
{
  mView.mCells[1].mHolder = "a1";
  BOOST_TEST(CellsToRelease(mView) == std::vector<std::string>{ "b/0" });
}

// Nobody held a cell whose holder had ended itself until the entry restarted.
BOOST_AUTO_TEST_CASE(own_cell_without_holder_for_longer_than_a_lease_is_claimed)
{
  mView.mCells[0].mHolder = "a1";
  mView.mLive[0].mHeldCells = 5;
  mView.mUnheldClaimDelay = Milliseconds(6000);
  mView.mSinceHolderEnded["a/0"] = Milliseconds(6001);
  BOOST_TEST(CellsToClaim(mView) == std::vector<std::string>{ "a/0" });
}

BOOST_AUTO_TEST_CASE(own_cell_without_holder_within_a_lease_is_not_claimed)
{
  mView.mCells[0].mHolder = "a1";
  mView.mUnheldClaimDelay = Milliseconds(6000);
  mView.mSinceHolderEnded["a/0"] = Milliseconds(5999);
  BOOST_TEST(CellsToClaim(mView).empty());
}

BOOST_AUTO_TEST_CASE(cell_without_holder_here_but_with_another_is_not_claimed)
{
  mView.mUnheldClaimDelay = Milliseconds(6000);
  mView.mSinceHolderEnded["a/0"] = Milliseconds(9000);
  BOOST_TEST(CellsToClaim(mView).empty());
}

BOOST_AUTO_TEST_CASE(leaving_entry_does_not_claim_its_cell_without_holder)
{
  mView.mCells[0].mHolder = "a1";
  mView.mLive[0].mIsLeaving = true;
  mView.mUnheldClaimDelay = Milliseconds(6000);
  mView.mSinceHolderEnded["a/0"] = Milliseconds(9000);
  BOOST_TEST(CellsToClaim(mView).empty());
}

BOOST_AUTO_TEST_CASE(worker_is_always_in_the_same_cell)
{
  const auto layout = LayoutRow{ "a", 3 };
  BOOST_TEST(CellOfWorker("w1", layout) == CellOfWorker("w1", layout));
  BOOST_TEST(CellOfWorker("w1", layout).starts_with("a/"));
}

// Cells of 24 workers, whatever their holders can do, were smaller than a wide
// step of a short job.
BOOST_AUTO_TEST_CASE(cells_are_as_large_as_their_holders_can_serve)
{
  BOOST_TEST(CellCountFor(0, 0.1) == 1U);
  BOOST_TEST(CellCountFor(24, 0.1) == 1U);
  BOOST_TEST(CellCountFor(25, 0.1) == 2U);
  BOOST_TEST(CellCountFor(220, 0.01) == 10U);
  BOOST_TEST(CellCountFor(220, 0.5) == 2U);
  BOOST_TEST(CellCountFor(120, 0.5) == 1U);
  BOOST_TEST(CellCountFor(2400, 4) == 10U);
}

BOOST_AUTO_TEST_CASE(cells_are_sized_for_the_largest_entry_of_their_domain)
{
  mView.mLive = { { "a1", 10, "a", false, 0, 0.07 },
                  { "a2", 10, "a", false, 0, 0.5 },
                  { "b1", 10, "b", false, 0, 0.25 } };
  BOOST_TEST(LargestCpuShare(mView, "a") == 0.5);
  BOOST_TEST(LargestCpuShare(mView, "b") == 0.25);
  BOOST_TEST(LargestCpuShare(mView, "c") == 0.07);
}

BOOST_AUTO_TEST_CASE(cells_released_go_to_entries_by_their_processor_share)
{
  // A domain of one entry with half a core and one with a fourteenth.
  mView.mLive = { { "a1", 10, "a", false, 0, 0.07 },
                  { "a2", 10, "a", false, 0, 0.5 } };
  mView.mCells.clear();
  for (auto i = 0; i < 8; ++i) {
    mView.mCells.push_back({ "a/" + std::to_string(i), "a", "", 0, 1 });
  }
  BOOST_TEST(CellsToClaim(mView).size() == 1U);
  mView.mMyName = "a2";
  BOOST_TEST(CellsToClaim(mView).size() == 7U);
  BOOST_TEST(IsFirstClaimant(mView));
  mView.mMyName = "a1";
  BOOST_TEST(!IsFirstClaimant(mView));
}

// An entry that missed the heartbeats of another domain's large entries claimed
// the cells that they held.
BOOST_AUTO_TEST_CASE(cell_of_a_domain_with_a_small_live_entry_is_not_claimed)
{
  mView.mLive = { { "a1", 10, "a", false, 0, 0.07 },
                  { "b1", 10, "b", false, 1, 0.5 } };
  mView.mMyName = "b1";
  mView.mSinceLastHeartbeat["a"] = Milliseconds(200);
  BOOST_TEST(CellsToClaim(mView).empty());
}

BOOST_AUTO_TEST_CASE(small_entry_soon_after_its_start_waits_for_a_larger_one)
{
  mView.mCells[0].mHolder.clear();
  RemoveLive("a2");
  mView.mAwaitsLargerEntry = true;
  mView.mSinceStart = Milliseconds(500);
  BOOST_TEST(CellsToClaim(mView).empty());
  mView.mSinceStart = Milliseconds(1500);
  BOOST_TEST(CellsToClaim(mView) == std::vector<std::string>{ "a/0" });
}

// Guards against a takeover that waits only for the leases of the last holder,
// while the one before it may still start tasks on workers that it reaches.
BOOST_AUTO_TEST_CASE(holder_lost_soon_after_its_claim_leaves_an_earlier_one)
{
  const auto now = eelgrasspost::base::BootNow();
  const auto claimed = CellRow{ "a/0", "a", "a1", 10, 2 };
  const auto released = CellRow{ "a/0", "a", "", 0, 2 };

  const auto until = EarlierHoldersActUntil(claimed, false, {}, now);
  BOOST_TEST((until == now + kConfirmationTimeout));
  BOOST_TEST((EarlierHoldersActUntil(released, false, until, now) == until));
  const auto next = now + Milliseconds(500);
  BOOST_TEST((EarlierHoldersActUntil(claimed, true, until, next) == until));
  BOOST_TEST((EarlierHoldersActUntil(claimed, true, {}, now) ==
              eelgrasspost::base::BootTime{}));
}

// A claim that is known to have ended no longer counts from the time at which
// the cell's row changed; one that is not known still does.
BOOST_AUTO_TEST_CASE(claims_known_to_have_ended_bound_the_wait_by_their_end)
{
  const auto now = eelgrasspost::base::BootNow();
  const auto latest = now + kConfirmationTimeout;
  const auto claims = std::vector<EarlierClaim>{
    { "a2", 10, 101, now, latest },
    { "b1", 10, 102, now, latest },
  };
  const auto findEnd = [&](const EarlierClaim& aClaim) {
    return aClaim.mVersion == 101 ? std::optional(now) : std::nullopt;
  };

  BOOST_TEST((EarlierClaimsEndAt(claims, findEnd) == latest));
  BOOST_TEST((EarlierClaimsEndAt({ claims[0] }, findEnd) == now));
  BOOST_TEST(
    (EarlierClaimsEndAt({}, findEnd) == eelgrasspost::base::BootTime{}));
}

BOOST_AUTO_TEST_SUITE_END()
