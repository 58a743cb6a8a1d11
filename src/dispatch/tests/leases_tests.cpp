#define BOOST_TEST_MODULE dispatch_leases
#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/holdertimes.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::HolderFixture;

/** Time in which the tasks of a lost worker run again, */
constexpr auto kLimit = Milliseconds(6000);
/** and from the takeover if its holder is lost as well. */
constexpr auto kLimitOfTakeover = Milliseconds(7200);

/** A cell of five workers, one of which runs a long-running task. */
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
    Do([&] {
      // The worker may be up and out of reach.
      BOOST_TEST(mWorkers.ClockOf(mLost) >= mWorkers.mLeaseEnds.at(mLost));
    });
    return std::chrono::duration_cast<Milliseconds>(
      base::MonotonicClock::now() - mLostAt);
  }

  /** The lease that the lost worker has, counted from its loss. */
  auto LeaseAfterLoss() -> Milliseconds
  {
    Milliseconds out{ 0 };
    Do([&] {
      const auto lostAt =
        std::chrono::duration_cast<Milliseconds>(mLostAt.time_since_epoch());
      out = Milliseconds(mWorkers.mLeaseEnds.at(mLost)) - lostAt;
    });
    return out;
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
  BOOST_TEST(LeaseAfterLoss().count() <= kLeaseTime.count());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

// Guards against LOST: a holder that is lost together with a worker, and that
// is not known to have ended, delays the tasks of the worker by 10 s.
BOOST_AUTO_TEST_CASE(holder_lost_too_task_runs_again_in_time)
{
  LoseWorker();
  Do([&] { mHolder->End(); });
  mIsPreviousHolderGone = false;
  mNext = MakeHolder(2, "a/0", mIds);
  BOOST_REQUIRE(Until([&] {
    const auto until = mNext->PreviousHolderActsUntil();
    if (until) {
      mNext->BoundEarlierHolders(*until);
    }
    return until.has_value();
  }));
  BOOST_TEST(WaitForRun(3 * kLimitOfTakeover).count() <=
             kLimitOfTakeover.count());
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

// Guards against TWICE: the previous holder may still reach most workers, and
// renew the leases of those that the next one does not reach.
BOOST_AUTO_TEST_CASE(nextholder_few_workers_follow_waits_for_the_previous_one)
{
  Do([&] {
    mWorkers.mUnresponsive = { "w1", "w2", "w3" };
    mHolder->End();
  });
  mIsPreviousHolderGone = false;
  mNext = MakeHolder(2, "a/0", mIds);
  Wait(net::Sleep(Milliseconds(11000)), true);
  BOOST_TEST(!mNext->PreviousHolderActsUntil().has_value());
  BOOST_TEST(mNext->State().mUnreconciledWorkers.size() == 3U);
}

// Guards against TWICE: a holder that reaches neither the store nor most of its
// workers renews leases, though the next holder counts on their end.
BOOST_AUTO_TEST_CASE(holder_isolated_sends_no_orders)
{
  Do([&] { mStore.mIsUnavailable = true; });
  Wait(net::Sleep(Milliseconds(3500)), true);
  // Its domain may be cut off: it serves on.
  BOOST_TEST(IsActive());

  MonotonicTime isolatedAt{};
  Do([&] {
    mWorkers.mUnresponsive = { "w1", "w2", "w3" };
    isolatedAt = base::MonotonicClock::now();
  });
  Wait(net::Sleep(kIsolationTimeout + Milliseconds(1000)), true);
  BOOST_TEST(!IsActive());
  Do([&] {
    BOOST_TEST((mWorkers.mLeaseSentAt <= isolatedAt + kIsolationTimeout));
  });

  Do([&] { mStore.mIsUnavailable = false; });
  Wait(net::Sleep(Milliseconds(1500)), true);
  BOOST_TEST(IsActive());
}

BOOST_AUTO_TEST_SUITE_END()
