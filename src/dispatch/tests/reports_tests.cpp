#define BOOST_TEST_MODULE dispatch_reports
#include <boost/test/unit_test.hpp>

#include "holderfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::HolderFixture;

constexpr auto kSettlingTime = Milliseconds(300);

/** A worker with more runs than it lists ends in one reply. */
struct ManyRuns : HolderFixture
{
  static constexpr std::uint32_t kTasks = 520;
  std::shared_ptr<CellHolder> mFirst = MakeHolder(1);

  ManyRuns()
  {
    auto submission = MakeSubmission("0000000000000001");
    auto& step = submission.mJob.mSpec.mSteps[0];
    step.mCount = kTasks;
    step.mNeed = { 10, 10, 0 };
    Wait(mFirst->Execute(submission));
    BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == kTasks; }));
  }

  ~ManyRuns() { StopPool(); }

  /** Ends all runs; to be called on the pool's thread. */
  auto EndAll() -> void
  {
    const auto running = mWorkers.mRunning;
    for (const auto& [task, row] : running) {
      mWorkers.End(task, cell::EndKind::Done);
    }
  }
};

} // namespace

// Guards against tasks that are done and start again, as their ends are beyond
// those that one reply lists.
BOOST_FIXTURE_TEST_SUITE(ends_beyond_one_reply, ManyRuns)

BOOST_AUTO_TEST_CASE(holder_starts_no_task_again)
{
  Do([&] { EndAll(); });
  BOOST_TEST(
    Until([&] { return IdState("0000000000000001") == cell::JobState::Done; }));
  BOOST_TEST(mWorkers.mStarts.size() == kTasks);
  Do([&] { mFirst->End(); });
}

BOOST_AUTO_TEST_CASE(nextholder_starts_no_task_again)
{
  Do([&] {
    mFirst->End();
    EndAll();
  });
  const auto next = MakeHolder(2);
  BOOST_TEST(
    Until([&] { return IdState("0000000000000001") == cell::JobState::Done; }));
  BOOST_TEST(next->State().mUnreconciledWorkers.empty());
  BOOST_TEST(mWorkers.mStarts.size() == kTasks);
  Do([&] { next->End(); });
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against long-running tasks that wait for a poll of a restarted worker.
BOOST_FIXTURE_TEST_CASE(worker_listed_as_restarted_is_polled_at_once,
                        HolderFixture)
{
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] {
    const auto it = holder->State().mWorkers.find("w1");
    return it != holder->State().mWorkers.end() && it->second->mIsKnown;
  }));
  Do([&] { mWorkers.mWaitsForEnds = true; });
  Wait(net::Sleep(kSettlingTime), true);
  Do([&] {
    mWorkers.Restart("w1");
    holder->UpdateWorker(MakeRecord("w1"));
  });
  Wait(net::Sleep(kSettlingTime), true);

  BOOST_TEST(holder->State().mWorkers.at("w1")->mIsKnown);
  BOOST_TEST(holder->State().mWorkers.at("w1")->mIncarnationStartMs == 2);
  Do([&] { holder->End(); });
}

/** A long-running task on w1, of which the list names a wrong address, at which
 * another worker replies. */
struct WronglyListedWorker : HolderFixture
{
  const std::string mRunning = "0000000000000001";
  std::shared_ptr<CellHolder> mHolder;

  WronglyListedWorker()
  {
    mWorkers.mHasRealClock = true;
    mWorkers.mWaitsForEnds = true;
    mWorkers.mPorts = { { "w1", 1 }, { "w2", 2 } };
    mWorkers.mDraining = { "w2" };
    mHolder = MakeHolder(1, "a/0", { "w1", "w2" });
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
    auto submission = MakeSubmission(mRunning);
    submission.mJob.mSpec.mSteps[0].mIsLongRunning = true;
    Wait(mHolder->Execute(submission));
    BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 1; }));
    // The holder has heard that it runs.
    Wait(net::Sleep(Milliseconds(1000)), true);
    Do([&] {
      auto record = MakeRecord("w1");
      record.mAddress.mPort = 9;
      mHolder->UpdateWorker(record);
    });
  }

  ~WronglyListedWorker()
  {
    Do([&] { mHolder->End(); });
    StopPool();
  }

  auto AdmitOtherWorker() -> void
  {
    Do([&] {
      mWorkers.mDraining.clear();
      mHolder->UpdateWorker(MakeRecord("w2"));
    });
    Wait(net::Sleep(2 * kSettlingTime), true);
  }
};

BOOST_FIXTURE_TEST_SUITE(wrongly_listed_worker, WronglyListedWorker)

// Guards against TWICE: the runs of a worker counted as lost, as another one
// replied to a start at the address that the list had wrong.
BOOST_AUTO_TEST_CASE(start_answered_by_another_worker_runs_of_the_worker_stay)
{
  Wait(mHolder->Execute(MakeSubmission("0000000000000002")));
  Wait(net::Sleep(kSettlingTime), true);
  AdmitOtherWorker();

  BOOST_TEST(mWorkers.mOverlaps == 0U);
  Do([&] {
    BOOST_TEST(
      mHolder->State().mWorkers.at("w1")->mRuns.contains(mRunning + ".0.0.0"));
  });
  // The other job is not lost with the start.
  BOOST_TEST(Until([&] { return mWorkers.mStarts.size() == 2; }));
}

// The same for a stop.
BOOST_AUTO_TEST_CASE(stop_answered_by_another_worker_is_sent_again)
{
  JobCommand cancel;
  cancel.mKind = JobCommandKind::Cancel;
  cancel.mCell = "a/0";
  cancel.mJobId = mRunning;
  cancel.mTimeoutMs = 3000;
  Wait(mHolder->Execute(cancel));
  Wait(net::Sleep(kSettlingTime), true);
  BOOST_TEST(mWorkers.mStops.empty());
  Do([&] { mHolder->UpdateWorker(MakeRecord("w1")); });
  BOOST_TEST(Until([&] { return !mWorkers.mStops.empty(); }));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a second run of a task whose worker has moved to another
// address since its member's row was written.
BOOST_FIXTURE_TEST_SUITE(moved_worker, HolderFixture)

BOOST_AUTO_TEST_CASE(other_worker_at_the_old_address_does_not_settle_it)
{
  mWorkers.mPorts = { { "w1", 1 }, { "w2", 2 } };
  const auto first = MakeHolder(1, "a/0", { "w1", "w2" });
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
  Do([&] {
    mWorkers.Restart("w1");
    mWorkers.mPorts["w1"] = 3;
    first->UpdateWorker(MakeRecord("w1"));
  });
  BOOST_REQUIRE(Until([&] {
    const auto& worker = *first->State().mWorkers.at("w1");
    return worker.mIsKnown && worker.mIncarnationStartMs == 2;
  }));
  for (const auto* id : { "0000000000000001", "0000000000000002" }) {
    auto submission = MakeSubmission(id);
    submission.mJob.mSpec.mSteps[0].mNeed.mCpuMillis = 9000;
    Wait(first->Execute(submission));
  }
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 2; }));
  Do([&] {
    first->End();
    const auto workers = mWorkers.mWorkerOf;
    for (const auto& [task, worker] : workers) {
      if (worker == "w2") {
        mWorkers.End(task, cell::EndKind::Done);
      }
    }
  });

  // w1 is not listed, as after an outage of the store.
  const auto next = MakeHolder(2, "a/0", { "w2" });
  BOOST_REQUIRE(Until([&] { return next->Phase() == HolderPhase::Active; }));
  Wait(net::Sleep(kSettlingTime), true);
  Do([&] {
    mWorkers.mPorts["w3"] = 1;
    next->UpdateWorker(MakeRecord("w3"));
  });
  Wait(net::Sleep(2 * kSettlingTime), true);

  BOOST_TEST(mWorkers.mStarts.size() == 2U);
  BOOST_TEST(mWorkers.mOverlaps == 0U);
  Do([&] { next->End(); });
}

BOOST_AUTO_TEST_SUITE_END()
