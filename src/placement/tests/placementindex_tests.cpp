#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include <random>

#include "eelgrasspost/placement/placementindex.h"

namespace {

using namespace eelgrasspost::placement;

constexpr unsigned kSeed = 11;

auto MakeCapacity(int aIndex, Resources aFree, Resources aReserved = {})
  -> WorkerCapacity
{
  return { "w" + std::to_string(aIndex),
           "rack-" + std::to_string(aIndex / 8),
           "domain-" + std::to_string(aIndex % 3),
           aFree,
           aReserved,
           true };
}

} // namespace

BOOST_AUTO_TEST_SUITE(placementindex)

BOOST_AUTO_TEST_CASE(index_single_fitting_worker_is_found_among_many)
{
  PlacementIndex index;
  for (int i = 0; i < 500; ++i) {
    index.Set(MakeCapacity(i, { 100, 100, 0 }));
  }
  index.Set(MakeCapacity(321, { 4000, 4000, 1 }));
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const auto chosen = index.Choose({ { 2000, 2000, 1 } }, seed);
    BOOST_TEST_REQUIRE(chosen.has_value());
    BOOST_TEST(*chosen == "w321");
  }
}

BOOST_AUTO_TEST_CASE(index_long_task_does_not_get_the_reserve_of_short_tasks)
{
  PlacementIndex index;
  index.Set(MakeCapacity(1, { 1000, 1000, 0 }, { 500, 0, 0 }));
  auto demand = PlacementDemand{ { 800, 10, 0 } };
  demand.mClass = WorkClass::Long;
  BOOST_TEST(!index.Choose(demand, 0).has_value());
  demand.mClass = WorkClass::Short;
  BOOST_TEST(index.Choose(demand, 0).has_value());
}

BOOST_AUTO_TEST_CASE(
  index_unschedulable_removed_or_excluded_worker_is_not_chosen)
{
  PlacementIndex index;
  auto capacity = MakeCapacity(1, { 1000, 1000, 0 });
  index.Set(capacity);
  auto demand = PlacementDemand{ { 1, 1, 0 } };
  demand.mExcluded = { "w1" };
  BOOST_TEST(!index.Choose(demand, 0).has_value());
  demand.mExcluded.clear();
  capacity.mIsSchedulable = false;
  index.Set(capacity);
  BOOST_TEST(!index.Choose(demand, 0).has_value());
  capacity.mIsSchedulable = true;
  index.Set(capacity);
  BOOST_TEST(index.Choose(demand, 0).has_value());
  index.Remove("w1");
  BOOST_TEST(!index.Choose(demand, 0).has_value());
}

BOOST_AUTO_TEST_CASE(index_random_demands_never_exceed_a_worker)
{
  PlacementIndex index;
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < 65; ++i) {
    index.Set(MakeCapacity(i, { 16000, 60000, 0 }));
  }
  std::size_t placed = 0;
  for (std::uint64_t i = 0; i < 3000; ++i) {
    const auto demand =
      PlacementDemand{ { static_cast<std::int64_t>(random() % 2000 + 1),
                         static_cast<std::int64_t>(random() % 4000 + 1),
                         0 } };
    const auto chosen = index.Choose(demand, i);
    if (!chosen) {
      continue;
    }
    ++placed;
    index.Allocate(*chosen, demand.mResources);
    const auto& free = index.Find(*chosen)->mFree;
    BOOST_TEST_REQUIRE(free.mCpuMillis >= 0);
    BOOST_TEST_REQUIRE(free.mMemoryMb >= 0);
  }
  BOOST_TEST(placed > 900U);
}

BOOST_AUTO_TEST_CASE(index_same_job_is_spread_over_racks)
{
  PlacementIndex index;
  for (int i = 0; i < 64; ++i) {
    index.Set(MakeCapacity(i, { 16000, 60000, 0 }));
  }
  auto demand = PlacementDemand{ { 1000, 1000, 0 } };
  std::size_t repeated = 0;
  for (std::uint64_t i = 0; i < 6; ++i) {
    const auto chosen = index.Choose(demand, i);
    BOOST_TEST_REQUIRE(chosen.has_value());
    const auto& rack = index.Find(*chosen)->mRack;
    const auto& used = demand.mUsedRacks;
    repeated += std::ranges::count(used, rack) > 0 ? 1U : 0U;
    demand.mUsedRacks.push_back(rack);
  }
  BOOST_TEST(repeated <= 1U);
}

BOOST_AUTO_TEST_CASE(shortfall_names_each_missing_dimension)
{
  const auto text = DescribeShortfall({ 20000, 100, 2 }, { 16000, 60000, 0 });
  BOOST_TEST(text == "cpu_millis 20000 is 4000 above 16000, accelerators 2 is "
                     "2 above 0");
}

BOOST_AUTO_TEST_SUITE_END()
