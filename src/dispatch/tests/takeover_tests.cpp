#define BOOST_TEST_MODULE dispatch_takeover
#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/claiming.h"
#include "internal/holdertimes.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::HolderFixture;

/** Long enough for a holder to start each task that it considers startable. */
constexpr auto kSettlingTime = Milliseconds(300);

/** A cell with the workers w1 and w2, of which w1 has restarted since it joined
 * the cell. Each of two tasks uses more than half of a worker. */
struct RestartedWorker : HolderFixture
{
  std::shared_ptr<CellHolder> mFirst = MakeHolder(1, "a/0", { "w1", "w2" });
  std::string mTaskOnFirst;
  std::string mTaskOnSecond;

  RestartedWorker()
  {
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
    Do([&] {
      mWorkers.Restart("w1");
      mFirst->UpdateWorker(MakeRecord("w1"));
    });
    BOOST_REQUIRE(Until([&] {
      const auto& worker = *mFirst->State().mWorkers.at("w1");
      return worker.mIsKnown && worker.mIncarnationStartMs == 2;
    }));
    for (const auto* id : { "0000000000000001", "0000000000000002" }) {
      auto submission = MakeSubmission(id);
      submission.mJob.mSpec.mSteps[0].mNeed.mCpuMillis = 9000;
      Wait(mFirst->Execute(submission));
    }
    BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 2; }));
    for (const auto& [task, worker] : mWorkers.mWorkerOf) {
      (worker == "w1" ? mTaskOnFirst : mTaskOnSecond) = task;
    }
  }

  ~RestartedWorker() { StopPool(); }

  /** The next holder takes over while a worker does not reply. */
  auto TakeOverWithout(const std::string& aSilent)
    -> std::shared_ptr<CellHolder>
  {
    Do([&] { mWorkers.mUnresponsive = { aSilent }; });
    auto out = MakeHolder(2, "a/0", { "w1", "w2" });
    BOOST_REQUIRE(Until([&] { return out->Phase() == HolderPhase::Active; }));
    Wait(net::Sleep(kSettlingTime), true);
    return out;
  }
};

struct NextIncarnation : HolderFixture
{
  ~NextIncarnation() { StopPool(); }

  auto EndOnThread(const std::string& aTask) -> void
  {
    if (mWorkers.mRunning.contains(aTask)) {
      mWorkers.End(aTask, cell::EndKind::Done);
    }
  }

  auto EndIfRunning(const std::string& aTask) -> void
  {
    Do([&] { EndOnThread(aTask); });
  }

  /** Runs a job with one task until its end is stored and acknowledged. */
  auto RunJob(const std::shared_ptr<CellHolder>& aHolder,
              const std::string& aId) -> void
  {
    Wait(aHolder->Execute(MakeSubmission(aId)));
    BOOST_REQUIRE(Until([&] {
      EndOnThread(aId + ".0.0.0");
      return IdState(aId) == cell::JobState::Done &&
             mWorkers.mAcknowledged == 1U;
    }));
  }
};

} // namespace

// Guards against a second run of a task whose worker has not replied to the
// next holder.
BOOST_FIXTURE_TEST_SUITE(restarted_worker, RestartedWorker)

BOOST_AUTO_TEST_CASE(nextholder_other_worker_silent_starts_none_of_its_tasks)
{
  Do([&] { mWorkers.End(mTaskOnFirst, cell::EndKind::Done); });

  const auto next = TakeOverWithout("w2");

  BOOST_TEST(mWorkers.mStarts.size() == 2U);
  Do([&] { mWorkers.mUnresponsive.clear(); });
  BOOST_TEST(Until([&] { return next->State().mUnreconciledWorkers.empty(); }));
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

BOOST_AUTO_TEST_CASE(
  nextholder_restarted_worker_silent_starts_none_of_its_tasks)
{
  Do([&] { mWorkers.End(mTaskOnSecond, cell::EndKind::Done); });

  const auto next = TakeOverWithout("w1");

  BOOST_TEST(mWorkers.mStarts.size() == 2U);
  Do([&] { mWorkers.mUnresponsive.clear(); });
  BOOST_TEST(Until([&] { return next->State().mUnreconciledWorkers.empty(); }));
  BOOST_TEST(mWorkers.mOverlaps == 0U);
}

BOOST_AUTO_TEST_CASE(worker_listed_as_restarted_keeps_its_runs_until_it_replies)
{
  Do([&] {
    mWorkers.End(mTaskOnSecond, cell::EndKind::Done);
    mWorkers.Restart("w1");
    mWorkers.mUnresponsive = { "w1" };
    mFirst->UpdateWorker(MakeRecord("w1"));
  });
  Wait(net::Sleep(kSettlingTime), true);

  // A holder that was suspended may still start tasks on the new incarnation,
  // which has not seen this holder's token.
  BOOST_TEST(mWorkers.mStarts.size() == 2U);

  Do([&] { mWorkers.mUnresponsive.clear(); });
  BOOST_TEST(Until([&] { return mWorkers.mStarts.size() == 3; }));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a second run of a task whose worker still has the lease of the
// previous holder.
BOOST_FIXTURE_TEST_SUITE(inherited_lease, HolderFixture)

BOOST_AUTO_TEST_CASE(nextholder_unable_to_renew_keeps_the_runs_of_the_lease)
{
  const auto first = MakeHolder(1);
  Wait(first->Execute(MakeSubmission("0000000000000001")));
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 1; }));
  Do([&] { mStore.mDelays = { Milliseconds(1000) }; });
  const auto next = MakeHolder(2);
  Do([&] { mSuspended = Milliseconds(30000); });
  BOOST_REQUIRE(Until([&] {
    const auto it = next->State().mWorkers.find("w1");
    return it != next->State().mWorkers.end() && it->second->mIsKnown;
  }));

  Do([&] { mWorkers.mUnresponsive = { "w1" }; });
  Wait(net::Sleep(2 * kSettlingTime), true);

  BOOST_TEST(next->State().mWorkers.at("w1")->mRuns.size() == 1U);
  Do([&] { next->End(); });
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a second run of a task whose start was sent to the previous
// incarnation of a worker and is executed by the next one.
BOOST_FIXTURE_TEST_SUITE(next_incarnation, NextIncarnation)

BOOST_AUTO_TEST_CASE(start_sent_to_the_previous_incarnation_is_refused)
{
  const auto holder = MakeHolder(1, "a/0", { "w1", "w2" });
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
  Do([&] { mWorkers.mHoldsOrders = true; });
  Wait(holder->Execute(MakeSubmission("0000000000000001")));
  BOOST_REQUIRE(Until([&] { return !mWorkers.mHeldOrders.empty(); }));
  const auto worker = mWorkers.mHeldOrders.front().first.mWorker;

  Do([&] {
    auto held = std::move(mWorkers.mHeldOrders);
    mWorkers.mHoldsOrders = false;
    mWorkers.Restart(worker);
    auto record = MakeRecord(worker);
    record.mState = cell::WorkerState::Draining;
    holder->UpdateWorker(record);
    mWorkers.mHeldOrders = std::move(held);
  });
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 1; }));
  Do([&] { mWorkers.ExecuteHeldOrders(); });

  BOOST_TEST(mWorkers.mOverlaps == 0U);
  BOOST_TEST((holder->Phase() == HolderPhase::Active));
  Do([&] { holder->End(); });
}

// Guards against a second run of a task that the next holder starts while a
// worker that has left the cell may return and execute an earlier start.
BOOST_AUTO_TEST_CASE(worker_left_with_an_unanswered_start_delays_the_nextholder)
{
  const auto first = MakeHolder(1, "a/0", { "w1", "w2" });
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
  Do([&] { mWorkers.mHoldsOrders = true; });
  Wait(first->Execute(MakeSubmission("0000000000000001")));
  BOOST_REQUIRE(Until([&] { return !mWorkers.mHeldOrders.empty(); }));
  const auto start = mWorkers.mHeldOrders.front();
  const auto& left = start.first.mWorker;
  const auto& task = start.second.mTask;
  const std::string other = left == "w1" ? "w2" : "w1";
  Do([&] {
    // The stop is answered, so that the task is started elsewhere.
    mWorkers.mHoldsOrders = false;
    mWorkers.mHeldOrders.clear();
    auto record = MakeRecord(left);
    record.mState = cell::WorkerState::Draining;
    first->UpdateWorker(record);
  });
  BOOST_REQUIRE(Until([&] {
    return mWorkers.mRunning.contains(task) &&
           first->State().mWorkers.at(left)->mRuns.empty();
  }));
  BOOST_REQUIRE(mWorkers.mWorkerOf.at(task) == other);
  Do([&] {
    first->UnlistWorker(left);
    mWorkers.mUnresponsive = { left };
  });
  Wait(net::Sleep(4 * kSettlingTime), true);
  Do([&] {
    first->End();
    mWorkers.End(task, cell::EndKind::Stopped);
  });

  const auto next = MakeHolder(2, "a/0", { other });
  BOOST_REQUIRE(Until([&] { return next->Phase() == HolderPhase::Active; }));
  Wait(net::Sleep(kSettlingTime), true);
  Do([&] {
    mWorkers.mUnresponsive.clear();
    mWorkers.Restart(left);
    mWorkers.Execute(start.first, start.second);
    next->UpdateWorker(MakeRecord(left));
  });
  BOOST_REQUIRE(
    Until([&] { return next->State().mUnreconciledWorkers.empty(); }));
  Wait(net::Sleep(kSettlingTime), true);

  BOOST_TEST(mWorkers.mOverlaps == 0U);
  BOOST_TEST(mWorkers.CountStarts(task) == 2U);
  Do([&] { next->End(); });
}

// Guards against ends that are acknowledged before they are stored, so that the
// next holder starts their tasks again.
BOOST_AUTO_TEST_CASE(
  ends_of_the_next_incarnation_are_not_acknowledged_with_older)
{
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 1; }));
  Wait(holder->Execute(MakeSubmission("0000000000000001")));
  Wait(holder->Execute(MakeSubmission("0000000000000002")));
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 2; }));
  // A task whose worker restarts right after its start waits for the store.
  Wait(net::Sleep(kSettlingTime), true);
  Do([&] {
    mStore.mDelays = { Milliseconds(1200), Milliseconds(1200) };
    mWorkers.End("0000000000000001.0.0.0", cell::EndKind::Done);
  });
  BOOST_REQUIRE(Until([&] { return mStore.mDelays.size() == 1; }));

  Do([&] { mWorkers.Restart("w1"); });
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 3; }));
  Do([&] { mWorkers.End("0000000000000002.0.0.0", cell::EndKind::Done); });
  BOOST_REQUIRE(
    Until([&] { return IdState("0000000000000001") == cell::JobState::Done; }));
  Wait(net::Sleep(Milliseconds(150)), true);

  BOOST_REQUIRE(IdState("0000000000000002") != cell::JobState::Done);
  BOOST_TEST(mWorkers.mAcknowledged == 0U);
  BOOST_TEST(
    Until([&] { return IdState("0000000000000002") == cell::JobState::Done; }));
  Do([&] { holder->End(); });
}

// Guards against ends that the acknowledgement of ends of the previous
// incarnation makes the next one forget.
BOOST_AUTO_TEST_CASE(worker_restarted_while_replies_are_lost_keeps_its_ends)
{
  const auto holder = MakeHolder(1);
  RunJob(holder, "0000000000000001");
  Do([&] {
    mWorkers.Restart("w1");
    mWorkers.mLosesReplies = { "w1" };
  });
  Wait(net::Sleep(kSettlingTime), true);
  Wait(holder->Execute(MakeSubmission("0000000000000002")));
  Wait(net::Sleep(kSettlingTime), true);
  EndIfRunning("0000000000000002.0.0.0");
  Wait(net::Sleep(kSettlingTime), true);
  Do([&] { mWorkers.mLosesReplies.clear(); });

  BOOST_TEST(Until([&] {
    EndOnThread("0000000000000002.0.0.0");
    return IdState("0000000000000002") == cell::JobState::Done;
  }));
  BOOST_TEST(mWorkers.mStarts.size() == 2U);
  Do([&] { holder->End(); });
}

BOOST_AUTO_TEST_CASE(worker_restarted_during_a_late_renewal_keeps_its_ends)
{
  const auto holder = MakeHolder(1);
  RunJob(holder, "0000000000000001");
  Do([&] {
    mWorkers.Restart("w1");
    mWorkers.mLateRenewals = 1;
  });
  BOOST_REQUIRE(Until([&] { return mWorkers.mLateRenewals == 0; }));
  Wait(holder->Execute(MakeSubmission("0000000000000002")));
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 2; }));
  Wait(net::Sleep(Milliseconds(100)), true);
  Do([&] { mStore.mDelays = { Milliseconds(600) }; });
  EndIfRunning("0000000000000002.0.0.0");

  BOOST_TEST(Until([&] {
    EndOnThread("0000000000000002.0.0.0");
    return IdState("0000000000000002") == cell::JobState::Done;
  }));
  BOOST_TEST(mWorkers.mStarts.size() == 2U);
  Do([&] { holder->End(); });
}

BOOST_AUTO_TEST_SUITE_END()

/** A hosted task whose job is written before or after the next holder of the
 * host cell takes over, while the previous one still gets commands. */
struct HostedTaskAtTakeover : HolderFixture
{
  const std::string mId = "0000000000000001";
  std::shared_ptr<CellHolder> mFirst;
  std::shared_ptr<CellHolder> mNext;
  JobCommand mSync = MakeSubmission(mId);

  HostedTaskAtTakeover()
  {
    mSync.mKind = JobCommandKind::SyncHostedJob;
    mFirst = MakeHolder(1, "b/0", { "w1", "w2" });
    BOOST_REQUIRE(Until([&] {
      const auto& workers = mFirst->State().mWorkers;
      return workers.size() == 2 && workers.at("w1")->mIsKnown &&
             workers.at("w2")->mIsKnown;
    }));
  }

  ~HostedTaskAtTakeover()
  {
    Do([&] {
      mFirst->End();
      mNext->End();
    });
    StopPool();
  }

  auto TakeOver() -> void
  {
    Do([&] { mWorkers.mUnresponsive = { "w1", "w2" }; });
    mNext = MakeHolder(2, "b/0", { "w1", "w2" });
    BOOST_REQUIRE(Until([&] { return mNext->Phase() == HolderPhase::Active; }));
  }

  auto WriteHostedJob() -> void
  {
    auto hosted = mSync.mJob;
    hosted.mSpec.mSteps[0].mIsLongRunning = true;
    hosted.mHostedTasks = { { 0, 0, 0 } };
    StoreTransaction transaction;
    transaction.mPartition = PartitionName(HashOf(mId) % 2);
    transaction.mWrites.push_back(
      { { std::string(kJobTable), "b/0/" + mId }, net::Encode(hosted) });
    Wait(mStore.Commit(std::move(transaction), {}));
  }

  /** All workers reply; the task has had one run. */
  auto CheckSingleRun() -> void
  {
    Do([&] { mWorkers.mUnresponsive.clear(); });
    BOOST_TEST(
      Until([&] { return mNext->State().mUnreconciledWorkers.empty(); }));
    Wait(net::Sleep(3 * kSettlingTime), true);
    BOOST_TEST(mWorkers.mStarts.size() == 1U);
    BOOST_TEST(mWorkers.mOverlaps == 0U);
  }
};

BOOST_FIXTURE_TEST_SUITE(hosted_tasks, HostedTaskAtTakeover)

// Guards against a second run of a hosted task that the previous holder of the
// host cell has started.
BOOST_AUTO_TEST_CASE(nexthost_worker_silent_starts_no_task_of_previous_holder)
{
  WriteHostedJob();
  Do([&] { mWorkers.mUnresponsive = { "w1", "w2" }; });
  Wait(mFirst->Execute(mSync));
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 1; }));
  TakeOver();
  const auto used = mWorkers.mStarts.front().mWorker;
  Do([&] { mWorkers.mUnresponsive = { used }; });
  Wait(mNext->Execute(mSync));
  Wait(net::Sleep(3 * kSettlingTime), true);

  BOOST_TEST(mWorkers.mStarts.size() == 1U);
  CheckSingleRun();
}

// Guards against a hosted task that the previous holder of the host cell starts
// after the next one has read the cell's jobs, and against a host cell that
// starts no hosted task until all its workers have replied.
BOOST_AUTO_TEST_CASE(task_hosted_after_a_takeover_is_started_by_nextholder_only)
{
  TakeOver();
  WriteHostedJob();
  BOOST_TEST((Wait(mFirst->Execute(mSync)).mOutcome != JobOutcome::Done));
  Wait(net::Sleep(3 * kSettlingTime), true);
  BOOST_TEST(mWorkers.mStarts.empty());

  Do([&] { mWorkers.mUnresponsive = { "w1" }; });
  Wait(mNext->Execute(mSync));
  BOOST_TEST(Until([&] { return mWorkers.mStarts.size() == 1; }));
  BOOST_TEST(!mNext->State().mUnreconciledWorkers.empty());
  CheckSingleRun();
}

// Guards against a cell that refuses capacity for as long as one of its workers
// does not reply after a takeover.
BOOST_AUTO_TEST_CASE(nextholder_worker_silent_reserves_capacity_on_another)
{
  TakeOver();
  Do([&] { mWorkers.mUnresponsive = { "w1" }; });
  BOOST_REQUIRE(
    Until([&] { return mNext->State().mWorkers.at("w2")->mIsKnown; }));
  JobCommand command;
  command.mKind = JobCommandKind::ReserveCapacity;
  command.mCell = "b/0";
  command.mTimeoutMs = 400;
  command.mRequest.mNeed = { "0000000000000002.0.0.0",
                             "service",
                             { 1000, 1000, 0 } };

  BOOST_TEST((Wait(mNext->Execute(command)).mOutcome == JobOutcome::Done));
  BOOST_TEST(!mNext->State().mUnreconciledWorkers.empty());
}

BOOST_AUTO_TEST_SUITE_END()
