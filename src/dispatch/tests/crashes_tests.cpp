#include <boost/test/unit_test.hpp>

#include "holderfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeFault;
using dispatch::testing::HolderFixture;

struct DeadlyTask : HolderFixture
{
  std::string mId = "0000000000000001";
  std::string mTask = mId + ".0.0.0";

  ~DeadlyTask() { StopPool(); }

  auto Activate(std::uint64_t aTerm,
                const std::string& aCell,
                const std::string& aWorker) -> std::shared_ptr<CellHolder>
  {
    auto out = MakeHolder(aTerm, aCell, { aWorker });
    BOOST_REQUIRE(Until([&] { return out->Phase() == HolderPhase::Active; }));
    BOOST_REQUIRE(Until([&] {
      const auto& worker = *out->State().mWorkers.at(aWorker);
      return worker.mIsKnown && out->State().mUnreconciledWorkers.empty();
    }));
    return out;
  }

  auto IsFailed() -> bool
  {
    return Until([&] { return IdState(mId) == cell::JobState::Failed; });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(deadly_task, DeadlyTask)

// Guards against a task that crashes one worker after the other.
BOOST_AUTO_TEST_CASE(task_crashes_its_workers_job_fails_after_two_starts)
{
  const auto holder = Activate(1, "a/0", "w1");
  mWorkers.mDeadlyTasks = { mTask };
  Wait(holder->Execute(MakeSubmission(mId)));

  BOOST_TEST(IsFailed());

  BOOST_TEST(mWorkers.CountStarts(mTask) == 2U);
  Do([&] { holder->End(); });
}

// Guards against a takeover after which the crashes are counted from zero.
BOOST_AUTO_TEST_CASE(task_holder_ends_after_a_crash_job_fails_after_two_starts)
{
  const auto first = Activate(1, "a/0", "w1");
  mWorkers.mDeadlyTasks = { mTask };
  Wait(first->Execute(MakeSubmission(mId)));
  // The task is not started again within the crash window.
  BOOST_REQUIRE(Until([&] {
    const auto isStored = CountRows(kProgressTable) == 1;
    if (isStored) {
      first->End();
    }
    return isStored;
  }));
  BOOST_REQUIRE(mWorkers.CountStarts(mTask) == 1U);
  const auto next = Activate(2, "a/0", "w1");

  BOOST_TEST(IsFailed());

  BOOST_TEST(mWorkers.CountStarts(mTask) == 2U);
  Do([&] { next->End(); });
}

// Guards against a start whose crash the next holder would count as the first.
BOOST_AUTO_TEST_CASE(task_crash_cannot_be_stored_is_not_started_again)
{
  const auto holder = Activate(1, "a/0", "w1");
  mWorkers.mDeadlyTasks = { mTask };
  Wait(holder->Execute(MakeSubmission(mId)));
  Do([&] { mStore.mFaults.assign(1000, FakeFault::Refuse); });
  Wait(net::Sleep(Milliseconds(1000)), true);
  BOOST_TEST(mWorkers.CountStarts(mTask) == 1U);

  Do([&] { mStore.mFaults.clear(); });
  BOOST_TEST(IsFailed());
  BOOST_TEST(mWorkers.CountStarts(mTask) == 2U);
  Do([&] { holder->End(); });
}

// Guards against a hosted task that crashes one worker after the other, as the
// job's own cell counts nothing for it.
BOOST_AUTO_TEST_CASE(hostedtask_crashes_its_workers_job_fails_in_its_own_cell)
{
  const auto owner = Activate(1, "a/0", "w1");
  const auto host = Activate(1, "b/0", "w2");
  const auto deadly = mId + ".0.0.1";
  Do([&] {
    mCells = { { "a/0", owner }, { "b/0", host } };
    mHostCells = { "b/0" };
    mWorkers.mDeadlyTasks = { deadly };
  });
  auto submission = MakeSubmission(mId);
  auto& step = submission.mJob.mSpec.mSteps[0];
  step.mCount = 2;
  step.mNeed.mCpuMillis = 10000;
  step.mIsLongRunning = true;
  Wait(owner->Execute(submission));

  BOOST_TEST(IsFailed());

  BOOST_TEST(mWorkers.CountStarts(deadly) == 2U);
  BOOST_TEST(mWorkers.mWorkerOf.at(deadly) == "w2");
  BOOST_TEST(Until([&] { return mWorkers.mStops.size() == 1; }));
  BOOST_TEST(CountRows(kJobTable) == 0U);
  Do([&] {
    owner->End();
    host->End();
  });
}

BOOST_AUTO_TEST_SUITE_END()
