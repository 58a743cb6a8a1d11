#define BOOST_TEST_MODULE dispatch_restarts
#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/holdertimes.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::HolderFixture;

/** A worker that restarts under its id, and one on which its tasks can run
 * instead. The others make a majority of the cell. Each worker counts its lease
 * on a clock that starts anew with each incarnation. */
struct RestartingWorker : HolderFixture
{
  static constexpr auto kId = "0000000000000001";
  const std::string mTask = std::string(kId) + ".0.0.0";
  const std::vector<std::string> mIds = { "w1", "w2", "w3", "w4", "w5" };
  std::shared_ptr<CellHolder> mHolder;
  std::shared_ptr<CellHolder> mNext;

  RestartingWorker()
  {
    mWorkers.mHasRealClock = true;
    mWorkers.mWaitsForEnds = true;
    mLabels = { { "w1", { "label" } }, { "w2", { "label" } } };
    mWorkers.mDraining = { "w2" };
    mHolder = MakeHolder(1, "a/0", mIds);
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 5; }));
    Wait(net::Sleep(Milliseconds(1000)), true);
  }

  ~RestartingWorker()
  {
    Do([&] {
      mHolder->End();
      if (mNext) {
        mNext->End();
      }
    });
    StopPool();
  }

  /** The holder's renewal, which it has just sent, ends without a reply. */
  auto RestartUnnoticed() -> void
  {
    const auto& sentAt = mWorkers.mLeaseSentAt;
    auto last = sentAt;
    Do([&] { last = sentAt; });
    BOOST_REQUIRE(Until([&] { return sentAt != last; }));
    Do([&] { mWorkers.Restart("w1"); });
  }

  auto SubmitLongRunningTask() -> void
  {
    auto submission = MakeSubmission(kId);
    submission.mJob.mSpec.mSteps[0].mIsLongRunning = true;
    submission.mJob.mSpec.mSteps[0].mRequiredLabel = "label";
    Wait(mHolder->Execute(submission));
  }

  /** The worker is up, and no call reaches it any more. */
  auto CutOff() -> void
  {
    mWorkers.mUnresponsive = { "w1" };
    mWorkers.mHoldingWorkers = { "w1" };
  }

  auto RunsOn(const std::string& aWorker) -> bool
  {
    return mWorkers.mRunning.contains(mTask) &&
           mWorkers.mWorkerOf.at(mTask) == aWorker;
  }

  auto AdmitOtherWorker(CellHolder& aHolder) -> void
  {
    Do([&] {
      mWorkers.mDraining.clear();
      aHolder.UpdateWorker(MakeRecord("w2"));
    });
  }

  /** Waits until the task runs on the other worker. */
  auto WaitForRunElsewhere() -> bool
  {
    constexpr auto kAtMost = Milliseconds(12000);
    const auto until = base::MonotonicClock::now() + kAtMost;
    auto runs = false;
    while (!runs && base::MonotonicClock::now() < until) {
      Wait(net::Sleep(Milliseconds(20)), true);
      Do([&] { runs = RunsOn("w2"); });
    }
    return runs;
  }
};

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
