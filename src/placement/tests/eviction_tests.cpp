#include <boost/test/unit_test.hpp>

#include "eelgrasspost/placement/eviction.h"

namespace {

using namespace eelgrasspost::placement;
using eelgrasspost::base::Milliseconds;
using eelgrasspost::base::MonotonicTime;
using Names = std::vector<std::string>;

struct EvictionFixture
{
  static auto MakeTask(const std::string& aName,
                       std::int64_t aCpu,
                       std::int64_t aLostMs) -> RunningTask
  {
    RunningTask out;
    out.mTask = aName;
    out.mJob = aName;
    out.mResources = { aCpu, 100, 0 };
    out.mSinceCheckpoint = Milliseconds(aLostMs);
    return out;
  }

  auto Choose(std::int64_t aCpu, std::int64_t aBudget = 6) const -> Names
  {
    return ChooseEvictions(
      mRunning, { 0, 1000, 0 }, { aCpu, 100, 0 }, mPolicy, aBudget, mNow);
  }

  std::vector<RunningTask> mRunning{ MakeTask("watch", 4000, 90000),
                                     MakeTask("small", 500, 10),
                                     MakeTask("husk", 2000, 500) };
  EvictionPolicy mPolicy;
  MonotonicTime mNow = MonotonicTime() + std::chrono::hours(9);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(eviction, EvictionFixture)

BOOST_AUTO_TEST_CASE(
  eviction_prefers_least_lost_work_and_spares_redundant_tasks)
{
  BOOST_TEST(Choose(400) == Names{ "small" });
  BOOST_TEST(Choose(2000) == Names{ "husk" });
  BOOST_TEST(Choose(2400) == (Names{ "small", "husk" }));
}

BOOST_AUTO_TEST_CASE(eviction_from_same_job_within_an_hour_is_skipped)
{
  mRunning[2].mJobEvictedAt = mNow - std::chrono::minutes(59);
  BOOST_TEST(Choose(2000) == Names{ "watch" });
  mRunning[2].mJobEvictedAt = mNow - std::chrono::minutes(60);
  BOOST_TEST(Choose(2000) == Names{ "husk" });
}

BOOST_AUTO_TEST_CASE(eviction_over_budget_or_of_urgent_tasks_is_refused)
{
  BOOST_TEST(Choose(2400, 1).empty());
  for (auto& it : mRunning) {
    it.mUrgent = true;
  }
  BOOST_TEST(Choose(400).empty());
}

BOOST_AUTO_TEST_CASE(budget_counts_the_last_minute_only)
{
  EvictionBudget budget;
  for (int i = 0; i < 6; ++i) {
    budget.Record(mNow);
  }
  BOOST_TEST(budget.Remaining(mPolicy, mNow) == 0);
  BOOST_TEST(budget.Remaining(mPolicy, mNow + std::chrono::minutes(1)) == 6);
}

BOOST_AUTO_TEST_SUITE_END()
