#define BOOST_TEST_MODULE dispatch_entry
#include <boost/test/unit_test.hpp>

#include "entryfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::EntryFixture;

} // namespace

BOOST_FIXTURE_TEST_SUITE(workerlist, EntryFixture)

// A holder kept the capacity that a worker had when it was first listed.
BOOST_AUTO_TEST_CASE(worker_listed_with_less_capacity_gets_no_start_over_it)
{
  ListWorker(16000);
  AddJob(3);
  StartEntry();
  BOOST_REQUIRE(HasStarted(2));
  ListWorker(8000);
  Settle();
  EndTask(0);
  Settle();
  BOOST_TEST(CountStarts() == 2U);
  EndTask(1);
  BOOST_TEST(HasStarted(3));
}

// The same for capacity that a worker regained: tasks waited without need.
BOOST_AUTO_TEST_CASE(worker_listed_with_more_capacity_gets_the_waiting_tasks)
{
  ListWorker(8000);
  AddJob(2);
  StartEntry();
  BOOST_REQUIRE(HasStarted(1));
  Settle();
  BOOST_TEST(CountStarts() == 1U);
  ListWorker(16000);
  BOOST_TEST(HasStarted(2));
}

// Labels were kept in the same way.
BOOST_AUTO_TEST_CASE(
  worker_listed_without_a_label_gets_no_task_that_requires_it)
{
  ListWorker(8000, "fast");
  AddJob(2, "fast");
  StartEntry();
  BOOST_REQUIRE(HasStarted(1));
  ListWorker(8000, "slow");
  Settle();
  EndTask(0);
  Settle();
  BOOST_TEST(CountStarts() == 1U);
  ListWorker(8000, "fast");
  BOOST_TEST(HasStarted(2));
}

BOOST_AUTO_TEST_CASE(
  worker_while_the_store_is_unavailable_is_used_up_to_its_lowest_capacity)
{
  ListWorker(16000);
  AddJob(4);
  StartEntry();
  BOOST_REQUIRE(HasStarted(2));
  ListWorker(8000);
  Settle();
  ListWorker(16000);
  Settle();
  Set(mStore.mRefusesFeeds, true);
  Settle();
  EndTask(0);
  Settle();
  BOOST_TEST(CountStarts() == 2U);
  EndTask(1);
  BOOST_TEST(HasStarted(3));
  Settle();
  BOOST_TEST(CountStarts() == 3U);
  Set(mStore.mRefusesFeeds, false);
  BOOST_TEST(HasStarted(4));
}

// A holder that had been suspended started tasks by the capacities that it had
// read before, although they could have been reduced long ago.
BOOST_AUTO_TEST_CASE(
  holder_without_a_reply_about_its_workers_starts_nothing_until_it_has_one)
{
  ListWorker(16000);
  AddJob(3);
  StartEntry();
  BOOST_REQUIRE(HasStarted(2));
  Set(mStore.mHoldsFeeds, true);
  ListWorker(8000);
  Settle();
  EndTask(0);
  Settle();
  BOOST_TEST(CountStarts() == 2U);
  Set(mStore.mHoldsFeeds, false);
  Settle();
  BOOST_TEST(CountStarts() == 2U);
  EndTask(1);
  BOOST_TEST(HasStarted(3));
}

BOOST_AUTO_TEST_SUITE_END()
