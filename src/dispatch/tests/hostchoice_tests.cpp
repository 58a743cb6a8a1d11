#include <boost/test/unit_test.hpp>

#include <set>

#include "internal/hostchoice.h"

namespace {

using namespace eelgrasspost::dispatch;

struct HostChoice
{
  std::vector<CellStatus> mCells;

  auto AddCell(const std::string& aName,
               std::int64_t aFree,
               std::int64_t aLargest,
               std::int64_t aReservable) -> void
  {
    CellStatus out;
    out.mName = aName;
    out.mIsActive = true;
    out.mFreeCpuMillis = aFree;
    out.mLargestCpuMillis = aLargest;
    out.mLargestReservableCpuMillis = aReservable;
    mCells.push_back(out);
  }

  HostQuery mQuery{ { 4000, 1000, 0 } };

  auto Choose() const -> std::string
  {
    return ChooseHostCell(mCells, "a/0", mQuery).value_or("none");
  }

  auto Choose(bool aMayWait, const std::set<std::string>& aExcluded = {})
    -> std::string
  {
    mQuery.mExcluded = aExcluded;
    mQuery.mExcludedIfWaiting = aExcluded;
    mQuery.mMayWait = aMayWait;
    return Choose();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(hostchoice, HostChoice)

// No cell was asked while short tasks waited in all of them: what these need
// was subtracted from the free capacity.
BOOST_AUTO_TEST_CASE(cell_with_room_and_a_queue_of_short_tasks_is_chosen)
{
  AddCell("b/0", -90000, 4500, 12000);
  BOOST_TEST(Choose(false) == "b/0");
}

BOOST_AUTO_TEST_CASE(
  cell_full_of_short_tasks_is_chosen_only_for_a_task_that_waits)
{
  AddCell("b/0", -90000, 500, 12000);
  BOOST_TEST(Choose(false) == "none");
  BOOST_TEST(Choose(true) == "b/0");
}

BOOST_AUTO_TEST_CASE(cell_with_room_now_is_preferred_to_one_with_more_free_cpu)
{
  AddCell("b/0", 20000, 3000, 12000);
  AddCell("c/0", 5000, 5000, 5000);
  BOOST_TEST(Choose(true) == "c/0");
  BOOST_TEST(Choose(true, { "c/0" }) == "b/0");
}

BOOST_AUTO_TEST_CASE(own_cell_and_inactive_cells_are_not_chosen)
{
  AddCell("a/0", 20000, 16000, 16000);
  AddCell("b/0", 20000, 16000, 16000);
  mCells.back().mIsActive = false;
  BOOST_TEST(Choose(true) == "none");
}

BOOST_AUTO_TEST_CASE(cell_full_of_longrunning_tasks_is_not_chosen)
{
  AddCell("b/0", 20000, 3000, 3000);
  BOOST_TEST(Choose(true) == "none");
}

// Guards against a task without a run that asked no cell: what stood free on
// their workers was reserved.
BOOST_AUTO_TEST_CASE(cell_whose_free_cpu_is_reserved_is_chosen_for_a_restart)
{
  AddCell("b/0", 20000, 500, 3000);
  mCells.back().mLargestForRestartCpuMillis = 4500;
  BOOST_TEST(Choose() == "none");
  mQuery.mIsRestart = true;
  BOOST_TEST(Choose() == "b/0");
  AddCell("c/0", 5000, 4000, 4000);
  BOOST_TEST(Choose() == "c/0");
}

// Guards against a refusal of capacity that has to become free, after which the
// cell was not asked for capacity that is free.
BOOST_AUTO_TEST_CASE(cell_that_could_not_reserve_is_chosen_once_it_has_room)
{
  mQuery.mMayWait = true;
  mQuery.mExcludedIfWaiting = { "b/0" };
  AddCell("b/0", 20000, 3000, 12000);
  BOOST_TEST(Choose() == "none");
  mCells.back().mLargestCpuMillis = 4000;
  BOOST_TEST(Choose() == "b/0");
  mQuery.mExcluded = { "b/0" };
  BOOST_TEST(Choose() == "none");
}

BOOST_AUTO_TEST_SUITE_END()
