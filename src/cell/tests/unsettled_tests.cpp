#include <boost/test/unit_test.hpp>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

/** A cell that a new holder has taken over. The worker w1 replies, w2, on which
 * a long-running task may be running, does not. */
struct SilentWorker : CellFixture
{
  static constexpr auto kLeasesLeft = Milliseconds(9000);

  SilentWorker()
  {
    mCell.mUnreconciledWorkers = { "w1", "w2" };
    WorkerRecord silent;
    silent.mId = "w2";
    silent.mService = "service";
    silent.mCapacity = { 8000, 64000, 0 };
    UpdateWorker(mCell, silent, mNow).mLeasesExpiredAt = mNow + kLeasesLeft;
    auto step = MakeStep(1, 6000);
    step.mIsLongRunning = true;
    mLost = &Add(MakeJob("lost", step), {}, true);
    AddWorker("w1", 8000);
  }

  auto Wait(Milliseconds aTime) -> void
  {
    constexpr auto kPollInterval = Milliseconds(500);
    for (auto left = aTime; left.count() > 0; left -= kPollInterval) {
      Advance(kPollInterval);
      std::vector<RunningRow> running;
      for (const auto& [name, run] : mCell.mWorkers.at("w1")->mRuns) {
        running.push_back({ name, run.mAttempt, "", ++mPercent, 0 });
      }
      Report("w1", running, {});
      ExpireWorkers(mCell, mNow);
      Start();
    }
  }

  auto IsRunning(const std::string& aTask) const -> bool
  {
    return mCell.mWorkers.at("w1")->mRuns.contains(aTask);
  }

  Job* mLost = nullptr;
  double mPercent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(task_that_may_run_on_a_silent_worker, SilentWorker)

// The task was moved to another cell, or returned by it, at the moment at which
// it could start, as if it had waited for capacity until then.
BOOST_AUTO_TEST_CASE(wait_for_the_silent_worker_is_no_wait_for_capacity)
{
  Add(MakeJob("short", MakeStep(1, 7000)));
  Wait(kLeasesLeft + Milliseconds(500));
  BOOST_REQUIRE(IsRunning("short.0.0.0"));
  BOOST_REQUIRE(mCell.mUnreconciledWorkers.empty());

  BOOST_TEST(FindStarved(mCell, mNow, Milliseconds(1000)).empty());

  Wait(Milliseconds(1000));
  BOOST_TEST(FindStarved(mCell, mNow, Milliseconds(1000)).size() == 1U);
}

// Capacity was kept for a task that another cell had taken.
BOOST_AUTO_TEST_CASE(task_moved_to_another_cell_leaves_its_reservation)
{
  Add(MakeJob("short", MakeStep(1, 7000)));
  Wait(kLeasesLeft + Milliseconds(500));
  auto& worker = *mCell.mWorkers.at("w1");
  BOOST_REQUIRE(worker.mReservations.contains("lost.0.0.0"));

  MoveTaskToHost(mCell, *FindTask(mCell, "lost.0.0.0"), "other/0");

  BOOST_TEST(worker.mReservations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
