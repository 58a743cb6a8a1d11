#define BOOST_TEST_MODULE dispatch_leases
#include <boost/test/unit_test.hpp>

#include "holderfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::HolderFixture;

/** Time in which the tasks of a lost worker run again. */
constexpr auto kLimit = Milliseconds(6000);

/** A cell of five workers, of which one runs a long-running task. */
struct LostWorker : HolderFixture
{
  static constexpr auto kId = "0000000000000001";
  const std::string mTask = std::string(kId) + ".0.0.0";
  const std::vector<std::string> mIds = { "w1", "w2", "w3", "w4", "w5" };
  std::shared_ptr<CellHolder> mHolder;
  std::shared_ptr<CellHolder> mNext;
  std::string mLost;
  MonotonicTime mLostAt{};

  LostWorker()
  {
    mWorkers.mHasRealClock = true;
    mWorkers.mWaitsForEnds = true;
    mHolder = MakeHolder(1, "a/0", mIds);
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 5; }));
    auto submission = MakeSubmission(kId);
    submission.mJob.mSpec.mSteps[0].mIsLongRunning = true;
    Wait(mHolder->Execute(submission));
    BOOST_REQUIRE(Until([&] { return mWorkers.mRunning.contains(mTask); }));
    Do([&] { mLost = mWorkers.mWorkerOf.at(mTask); });
    Wait(net::Sleep(Milliseconds(1000)), true);
  }

  ~LostWorker()
  {
    Do([&] {
      mHolder->End();
      if (mNext) {
        mNext->End();
      }
    });
    StopPool();
  }

  /** The worker does not reply any more. */
  auto LoseWorker() -> void
  {
    Do([&] {
      mWorkers.mUnresponsive = { mLost };
      mWorkers.mHoldingWorkers = { mLost };
      mWorkers.mRunning.erase(mTask);
      mLostAt = base::MonotonicClock::now();
    });
  }

  /** Waits until the task runs on another worker; returns the time since the
   * loss. */
  auto WaitForRun(Milliseconds aAtMost) -> Milliseconds
  {
    const auto until = mLostAt + aAtMost;
    auto runs = false;
    while (!runs && base::MonotonicClock::now() < until) {
      Wait(net::Sleep(Milliseconds(20)), true);
      Do([&] { runs = mWorkers.mRunning.contains(mTask); });
    }
    return std::chrono::duration_cast<Milliseconds>(
      base::MonotonicClock::now() - mLostAt);
  }

  auto IsActive() -> bool
  {
    auto out = false;
    Do([&] { out = mHolder->GetStatus().mIsActive; });
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lost_worker, LostWorker)

// Guards against LOST: starts that a worker gets before its loss is noticed
// extend its lease, so that its tasks run again too late.
BOOST_AUTO_TEST_CASE(worker_silent_with_new_starts_its_task_runs_again_in_time)
{
  constexpr auto kJobs = 12;
  LoseWorker();
  for (auto i = 0; i < kJobs; ++i) {
    auto submission = MakeSubmission("00000000000000" + std::to_string(10 + i));
    submission.mJob.mSpec.mSteps[0].mCount = 5;
    BOOST_TEST(
      (Wait(mHolder->Execute(submission)).mOutcome == JobOutcome::Done));
    Wait(net::Sleep(Milliseconds(150)), true);
  }
  BOOST_TEST(WaitForRun(2 * kLimit).count() <= kLimit.count());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
