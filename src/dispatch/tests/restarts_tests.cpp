#define BOOST_TEST_MODULE dispatch_restarts
#include <boost/test/unit_test.hpp>

#include "internal/holdertimes.h"
#include "restartfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::RestartingWorker;

} // namespace

// Guards against TWICE: the end of a lease on the clock of a worker's former
// incarnation gives the next one the longest lease, of which its holder counts
// only a part.
BOOST_FIXTURE_TEST_SUITE(restarting_worker, RestartingWorker)

BOOST_AUTO_TEST_CASE(worker_cut_off_after_its_restart_is_known_no_overlap)
{
  RestartUnnoticed();
  SubmitLongRunningTask();
  BOOST_REQUIRE(Until([&] {
    const auto& worker = *mHolder->State().mWorkers.at("w1");
    return worker.mIsKnown && worker.mIncarnationStartMs == 2 && RunsOn("w1");
  }));
  Do([&] { CutOff(); });
  AdmitOtherWorker(*mHolder);

  BOOST_TEST(WaitForRunElsewhere());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
  BOOST_TEST(mWorkers.mForeignLeases == 0U);
}

// The holder does not learn of the restart.
BOOST_AUTO_TEST_CASE(worker_cut_off_as_it_gets_a_start_no_overlap)
{
  RestartUnnoticed();
  SubmitLongRunningTask();
  Until([&] {
    if (!RunsOn("w1")) {
      return false;
    }
    CutOff();
    return true;
  });
  Do([&] { CutOff(); });
  AdmitOtherWorker(*mHolder);

  BOOST_TEST(WaitForRunElsewhere());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
  BOOST_TEST(mWorkers.mForeignLeases == 0U);
}

// The next holder knows nothing of a restart in the time of the previous one.
BOOST_AUTO_TEST_CASE(nextholder_worker_was_restarted_and_cut_off_no_overlap)
{
  RestartUnnoticed();
  SubmitLongRunningTask();
  BOOST_REQUIRE(Until([&] { return RunsOn("w1"); }));
  Do([&] {
    CutOff();
    mHolder->End();
  });
  mWorkers.mDraining.clear();
  mNext = MakeHolder(2, "a/0", mIds);

  BOOST_TEST(WaitForRunElsewhere());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
  BOOST_TEST(mWorkers.mForeignLeases == 0U);
}

// A worker that is listed as restarted gets no time of its former clock.
BOOST_AUTO_TEST_CASE(worker_listed_as_restarted_gets_no_foreign_lease)
{
  RestartUnnoticed();
  Do([&] { mHolder->UpdateWorker(MakeRecord("w1")); });
  BOOST_REQUIRE(Until([&] {
    const auto& worker = *mHolder->State().mWorkers.at("w1");
    return worker.mIsKnown && worker.mIncarnationStartMs == 2;
  }));
  BOOST_TEST(mWorkers.mForeignLeases == 0U);
}

// Guards against TWICE: a start without a reply is executed by the next
// incarnation before its holder has raised the fencing token.
BOOST_AUTO_TEST_CASE(late_start_on_the_next_incarnation_no_overlap)
{
  Do([&] { mWorkers.mHoldingWorkers = { "w1" }; });
  SubmitLongRunningTask();
  BOOST_REQUIRE(Until([&] { return !mWorkers.mHeldOrders.empty(); }));
  Do([&] {
    mWorkers.Restart("w1");
    mWorkers.ExecuteHeldOrders("w1");
  });
  BOOST_REQUIRE(Until([&] {
    const auto& worker = *mHolder->State().mWorkers.at("w1");
    return worker.mIsKnown && worker.mIncarnationStartMs == 2;
  }));
  Do([&] { CutOff(); });
  AdmitOtherWorker(*mHolder);

  BOOST_TEST(WaitForRunElsewhere());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

// The same; no call with the raised token reaches the worker.
BOOST_AUTO_TEST_CASE(late_start_worker_cut_off_after_its_first_reply_no_overlap)
{
  Do([&] { mWorkers.mHoldingWorkers = { "w1" }; });
  SubmitLongRunningTask();
  BOOST_REQUIRE(Until([&] { return !mWorkers.mHeldOrders.empty(); }));
  Do([&] {
    mWorkers.mHighestHeardTokens["w1"] =
      mHolder->RowVersion() * kTokensPerVersion;
    mWorkers.Restart("w1");
    mWorkers.ExecuteHeldOrders("w1");
  });
  BOOST_REQUIRE(
    Until([&] { return !mHolder->State().mWorkers.at("w1")->mIsKnown; }));
  Do([&] { CutOff(); });
  AdmitOtherWorker(*mHolder);

  BOOST_TEST(WaitForRunElsewhere());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
