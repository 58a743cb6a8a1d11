#include <boost/test/unit_test.hpp>

#include "internal/pendingcounts.h"

namespace {

using namespace eelgrasspost::dispatch;

constexpr std::uint64_t kQueue = 7;

/** Counts of the cells "a/0" and "b/0", which one entry holds. */
struct ReportedCounts
{
  PendingCounts mCounts;

  ReportedCounts()
  {
    Heartbeat heartbeat;
    heartbeat.mCells = { MakeStatus("a/0", 10, true),
                         MakeStatus("b/0", 11, true) };
    heartbeat.mPending = { { 0, kQueue, 5 }, { 1, kQueue, 3 }, { 1, 8, 2 } };
    RecordPending(mCounts, heartbeat);
  }

  static auto MakeStatus(const std::string& aName,
                         std::uint64_t aToken,
                         bool aIsActive) -> CellStatus
  {
    CellStatus out;
    out.mName = aName;
    out.mToken = aToken;
    out.mIsActive = aIsActive;
    return out;
  }

  auto Report(const CellStatus& aStatus, std::uint32_t aCount) -> void
  {
    Heartbeat heartbeat;
    heartbeat.mCells = { aStatus };
    if (aCount > 0) {
      heartbeat.mPending = { { 0, kQueue, aCount } };
    }
    RecordPending(mCounts, heartbeat);
  }

  auto Count(const std::set<std::string>& aExcluded = {}) const -> std::uint64_t
  {
    return CountPending(mCounts, aExcluded, kQueue);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pendingcounts, ReportedCounts)

// Guards against an entry that counts no waiting jobs of cells whose holders
// were lost a moment ago.
BOOST_AUTO_TEST_CASE(cell_taken_over_keeps_its_count_until_its_holder_is_active)
{
  BOOST_TEST(Count() == 8U);
  Report(MakeStatus("a/0", 20, false), 1);
  BOOST_TEST(Count() == 8U);
  Report(MakeStatus("a/0", 20, true), 4);
  BOOST_TEST(Count() == 7U);
}

BOOST_AUTO_TEST_CASE(late_heartbeat_of_an_earlier_holder_changes_no_count)
{
  Report(MakeStatus("a/0", 20, true), 4);
  Report(MakeStatus("a/0", 10, true), 9);
  BOOST_TEST(Count() == 7U);
}

BOOST_AUTO_TEST_CASE(count_of_a_holder_that_leaves_is_updated)
{
  Report(MakeStatus("a/0", 10, false), 0);
  BOOST_TEST(Count() == 3U);
}

BOOST_AUTO_TEST_CASE(cells_that_are_counted_by_their_jobs_are_left_out)
{
  BOOST_TEST(Count({ "b/0" }) == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
