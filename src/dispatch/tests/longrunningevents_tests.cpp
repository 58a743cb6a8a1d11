#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "randomevents.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::RandomEvents;

constexpr auto kEventsFor = Milliseconds(11000);
/** Time after the last event in which a fault that it caused is seen. */
constexpr auto kQuietTime = Milliseconds(6500);
auto TestSeed(std::uint32_t aSeed) -> void
{
  RandomEvents cells(aSeed);
  cells.AddLongRunningJobs();
  const auto end = base::MonotonicClock::now() + kEventsFor;
  while (base::MonotonicClock::now() < end) {
    std::int64_t wait = 0;
    cells.Do([&] {
      cells.MakeEvent();
      wait = cells.Random(300, 1000);
    });
    cells.Wait(net::Sleep(Milliseconds(wait)), true);
  }
  cells.Wait(net::Sleep(kQuietTime), true);
  cells.Do([&] {
    BOOST_TEST_MESSAGE(
      "seed " << aSeed << ": longest wait with room "
              << cells.mLongestAbsence.count() << " ms, " << cells.mAbsenceCount
              << " absences, " << cells.mHostedRuns.size() << " hosted runs, "
              << 100 * cells.mCellsWithWaiting / cells.mSampledCells
              << "% of samples with waiting short tasks, " << cells.mShortJobs
              << " short jobs, " << cells.mWorkers.mStarts.size() << " starts");
    for (const auto& it : cells.mEvents) {
      BOOST_TEST_MESSAGE(it);
    }
    for (const auto& it : cells.mFaultsFound) {
      BOOST_ERROR(it);
    }
    BOOST_TEST(cells.mWorkers.mOverlaps == 0U);
    for (const auto& it : cells.mWorkers.mExcessiveStarts) {
      BOOST_ERROR("capacity exceeded: " << it);
    }
  });
}

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::timeout(40))
BOOST_DATA_TEST_CASE(random_events_tasks_are_at_work_again_within_the_limit,
                     boost::unit_test::data::make({ 1, 2, 3 }),
                     seed)
{
  // A number after "--" is added, to try other seeds.
  const auto& suite = boost::unit_test::framework::master_test_suite();
  const auto offset = suite.argc > 1 ? std::stoi(suite.argv[1]) : 0;
  TestSeed(static_cast<std::uint32_t>(seed + offset));
}
