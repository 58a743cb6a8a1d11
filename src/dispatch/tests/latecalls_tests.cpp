#define BOOST_TEST_MODULE dispatch_latecalls
#include <boost/test/unit_test.hpp>

#include "restartfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::RestartingWorker;

/** A start to the worker gets no reply. */
struct LateStart : RestartingWorker
{
  LateStart()
  {
    Do([&] { mWorkers.mHoldingWorkers = { "w1" }; });
    SubmitLongRunningTask();
    BOOST_REQUIRE(Until([&] { return !mWorkers.mHeldOrders.empty(); }));
  }

  /** The next incarnation executes the start and replies to nothing. */
  auto ExecuteByNextIncarnation() -> void
  {
    mWorkers.Restart("w1");
    mWorkers.ExecuteHeldOrders("w1");
    CutOff();
  }
};

} // namespace

// Guards against TWICE: a start without a reply is executed by the worker's
// next incarnation, of which its holder does not learn.
BOOST_FIXTURE_TEST_SUITE(late_start, LateStart)

BOOST_AUTO_TEST_CASE(worker_cut_off_before_any_reply_no_overlap)
{
  Do([&] { ExecuteByNextIncarnation(); });
  AdmitOtherWorker(*mHolder);

  BOOST_TEST(WaitForRunElsewhere());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

BOOST_AUTO_TEST_CASE(nextholder_worker_cut_off_before_any_reply_no_overlap)
{
  Do([&] {
    ExecuteByNextIncarnation();
    mHolder->End();
  });
  mWorkers.mDraining.clear();
  mNext = MakeHolder(2, "a/0", mIds);

  BOOST_TEST(WaitForRunElsewhere());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

// The former incarnation has answered the stop, so the task runs elsewhere.
BOOST_AUTO_TEST_CASE(worker_restarted_after_the_stop_no_overlap)
{
  auto held = mWorkers.mHeldOrders;
  Do([&] {
    held = mWorkers.mHeldOrders;
    mWorkers.mHeldOrders.clear();
    mWorkers.mHoldingWorkers.clear();
    mWorkers.mDraining = { "w1" };
    mHolder->UpdateWorker(MakeRecord("w1"));
  });
  AdmitOtherWorker(*mHolder);
  BOOST_TEST(WaitForRunElsewhere());
  Do([&] {
    mWorkers.Restart("w1");
    mWorkers.mHeldOrders = held;
    mWorkers.ExecuteHeldOrders("w1");
  });
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against LIMIT: a task that fits the capacity of a worker's former
// incarnation is started on the next one, whose capacity is not listed yet.
BOOST_FIXTURE_TEST_SUITE(restarted_kind, RestartingWorker)

BOOST_AUTO_TEST_CASE(worker_of_smaller_kind_gets_no_start_before_its_row)
{
  RestartUnnoticed();
  Do([&] {
    mWorkers.mNeeds[kId] = { 1000, 1000, 0 };
    mWorkers.mCapacities["w1"] = { 500, 500, 0 };
  });
  SubmitLongRunningTask();
  BOOST_REQUIRE(
    Until([&] { return mHolder->State().mWorkers.at("w1")->mIsKnown; }));
  Wait(net::Sleep(Milliseconds(1500)), true);

  BOOST_TEST(mWorkers.mExcessiveStarts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
