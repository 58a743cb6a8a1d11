#include <boost/test/unit_test.hpp>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

} // namespace

BOOST_FIXTURE_TEST_SUITE(startedjobs, CellFixture)

// Guards against MIXED: jobs that no worker has started aren't counted as
// pending, as a start was sent and refused.
BOOST_AUTO_TEST_CASE(job_whose_start_is_refused_is_pending)
{
  AddWorker("w1");
  const auto& job = Add(MakeJob("j", MakeStep(1)));

  for (const auto outcome : { OrderOutcome::Refused,
                              OrderOutcome::NoRoom,
                              OrderOutcome::BadTicket }) {
    const auto orders = CollectOrders(mCell, mNow);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(CountPending(mCell, "queue") == 1U);
    ApplyOutcome(mCell, orders[0], outcome, mNow);
    BOOST_TEST(CountPending(mCell, "queue") == 1U);
    BOOST_TEST((job.mState == JobState::Queued));
    Advance(Milliseconds(1000));
    Report("w1", {}, {});
  }

  BOOST_TEST(Start().size() == 1U);
  BOOST_TEST(CountPending(mCell, "queue") == 0U);
  BOOST_TEST((job.mState == JobState::Running));
}

// Guards against MIXED: jobs of workers that are cut off aren't counted as
// pending, as a start without an answer counted as executed.
BOOST_AUTO_TEST_CASE(
  job_whose_start_has_no_answer_is_pending_until_it_is_listed)
{
  AddWorker("w1");
  const auto& job = Add(MakeJob("j", MakeStep(1)));
  const auto orders = CollectOrders(mCell, mNow);
  BOOST_REQUIRE(orders.size() == 1U);

  ApplyOutcome(mCell, orders[0], OrderOutcome::Unknown, mNow);
  BOOST_TEST(CountPending(mCell, "queue") == 1U);
  BOOST_TEST((job.mState == JobState::Running));

  RunningRow row;
  row.mTask = "j.0.0.0";
  row.mAttempt = orders[0].mAttempt;
  Report("w1", { row }, {});
  BOOST_TEST(CountPending(mCell, "queue") == 0U);
}

// Guards against MIXED: a gang that waits for room isn't counted as pending, as
// some of its members had been placed before one found no worker.
BOOST_AUTO_TEST_CASE(gang_that_does_not_fit_is_pending)
{
  AddWorker("w1", 16000);
  auto step = MakeStep(3, 6000);
  step.mIsGang = true;
  const auto& job = Add(MakeJob("j", step));

  BOOST_TEST(Start().empty());

  BOOST_TEST(CountPending(mCell, "queue") == 1U);
  BOOST_TEST((job.mState == JobState::Queued));
}

BOOST_AUTO_TEST_SUITE_END()
