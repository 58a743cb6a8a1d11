#include <boost/test/unit_test.hpp>

#include "cellfixture.h"
#include "internal/runmoves.h"

namespace eelgrasspost::cell::testing {

namespace {

/** A best-effort run of 4 s that is throttled beside a serving task. */
struct MoveFixture : CellFixture
{
  static constexpr std::int64_t kEstimatedMs = 4000;

  MoveFixture()
  {
    mCell.mPolicy.mCheckpointInterval = Milliseconds(500);
    mCell.mPolicy.mRestoreTime = Milliseconds(250);
    mCell.mPolicy.mMaxUnreported = Milliseconds(1500);
    AddWorker("w1");
  }

  auto AddRun(bool aCheckpoints) -> Run&
  {
    auto step = MakeBestEffort(1, 1000, "fill");
    step.mEstimatedMs = kEstimatedMs;
    step.mCheckpoints = aCheckpoints;
    Add(MakeJob("job-1", step));
    Start();
    auto& run = mCell.mWorkers.at("w1")->mRuns.at("job-1.0.0.0");
    Advance(Milliseconds(2000));
    return run;
  }

  auto IsMoved(Run& aRun, double aPercent, int aShare) -> bool
  {
    aRun.mPercent = aPercent;
    aRun.mWantedCpuShare = aShare;
    return IsMoveWorthIt(mCell, aRun, mNow);
  }

  /** Adds a serving run with the given tail, as a share of its target. */
  auto AddServing(double aTail) -> void
  {
    Add(MakeJob("job-2", MakeServing(1, 4000, "serving")));
    Start();
    auto& run = mCell.mWorkers.at("w1")->mRuns.at("job-2.0.0.0");
    run.mPercent = 100;
    run.mLoad = aTail * static_cast<double>(run.mTargetTailMs);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(run_moves, MoveFixture)

// Serving tasks swing: half of the runs that were stopped would have ended
// sooner where they were.
BOOST_AUTO_TEST_CASE(run_that_ends_soon_stays_on_its_worker)
{
  BOOST_CHECK(!IsMoved(AddRun(true), 95, 30));
}

BOOST_AUTO_TEST_CASE(run_slowed_down_a_little_stays_on_its_worker)
{
  BOOST_CHECK(!IsMoved(AddRun(true), 50, 60));
}

BOOST_AUTO_TEST_CASE(run_paused_with_much_work_left_is_moved)
{
  BOOST_CHECK(IsMoved(AddRun(true), 10, 0));
}

BOOST_AUTO_TEST_CASE(run_without_checkpoints_is_moved_only_early)
{
  auto& run = AddRun(false);
  BOOST_CHECK(!IsMoved(run, 70, 25));
  BOOST_CHECK(IsMoved(run, 2, 0));
}

BOOST_AUTO_TEST_CASE(discarded_work_grows_with_the_checkpoint_interval)
{
  auto& run = AddRun(true);
  run.mPercent = 80;
  const auto brief = BalanceMove(mCell, run, mNow).mDiscarded;
  mCell.mPolicy.mCheckpointInterval = Milliseconds(1500);
  BOOST_CHECK(BalanceMove(mCell, run, mNow).mDiscarded > brief);
}

BOOST_AUTO_TEST_CASE(policy_without_interval_moves_as_before)
{
  mCell.mPolicy.mCheckpointInterval = Milliseconds(0);
  BOOST_CHECK(IsMoved(AddRun(true), 95, 30));
}

// Reports that do not arrive while a tail is near its target.
BOOST_AUTO_TEST_CASE(worker_silent_with_tail_near_target_is_paused)
{
  auto& run = AddRun(true);
  AddServing(0.95);
  Advance(Milliseconds(1600));
  CheckRuns(mCell, mNow);
  BOOST_TEST(run.mWantedCpuShare == 0);
  BOOST_TEST(mCell.mUnreportedPauses == 1U);
}

// Orders that are answered tell nothing about the tails.
BOOST_AUTO_TEST_CASE(worker_that_answers_orders_without_reports_is_paused)
{
  auto& run = AddRun(true);
  AddServing(0.95);
  Advance(Milliseconds(1600));
  mCell.mWorkers.at("w1")->mLastContact = mNow;
  CheckRuns(mCell, mNow);
  BOOST_TEST(run.mWantedCpuShare == 0);
}

// Each order would fail at once and be sent again.
BOOST_AUTO_TEST_CASE(worker_that_cannot_be_reached_gets_no_pauses)
{
  AddRun(true);
  AddServing(0.95);
  Advance(Milliseconds(1600));
  mCell.mWorkers.at("w1")->mUnreachableSince = mNow;
  CheckRuns(mCell, mNow);
  BOOST_CHECK(CollectOrders(mCell, mNow).empty());
}

BOOST_AUTO_TEST_CASE(paused_run_goes_on_with_the_next_report)
{
  auto& run = AddRun(true);
  AddServing(0.95);
  Advance(Milliseconds(1600));
  CheckRuns(mCell, mNow);
  BOOST_REQUIRE(run.mWantedCpuShare == 0);
  const auto attempt = run.mAttempt;
  const auto serving =
    mCell.mWorkers.at("w1")->mRuns.at("job-2.0.0.0").mAttempt;
  Report("w1",
         { { "job-1.0.0.0", attempt, "", 50, 1000 },
           { "job-2.0.0.0", serving, "", 100, 8 } },
         {});
  CheckRuns(mCell, mNow);
  BOOST_TEST(run.mWantedCpuShare == 100);
}

BOOST_AUTO_TEST_CASE(worker_silent_with_low_tail_goes_on)
{
  auto& run = AddRun(true);
  AddServing(0.4);
  Advance(Milliseconds(1600));
  CheckRuns(mCell, mNow);
  BOOST_TEST(run.mWantedCpuShare == 100);
}

BOOST_AUTO_TEST_CASE(worker_that_reports_in_time_is_not_paused)
{
  auto& run = AddRun(true);
  AddServing(0.95);
  mCell.mWorkers.at("w1")->mReportedAt = mNow;
  Advance(Milliseconds(1000));
  CheckRuns(mCell, mNow);
  BOOST_TEST(run.mWantedCpuShare == 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::cell::testing
