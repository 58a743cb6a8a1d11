#define BOOST_TEST_MODULE dispatch_hosting
#include <boost/test/unit_test.hpp>

#include "holderfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeFault;
using dispatch::testing::FakeStore;
using dispatch::testing::HolderFixture;

/** Time in which a long-running task without a run has to be at work again. */
constexpr auto kRestartLimit = Milliseconds(6000);

/** A job of cell "a/0" with two long-running tasks that need more than half of
 * a worker. The second one is hosted by "b/0"; "c/0" has an idle worker. */
struct HostedTask : HolderFixture
{
  static constexpr const char* kId = "000000000000000c";
  const std::string mTask = std::string(kId) + ".0.0.1";
  std::shared_ptr<CellHolder> mOwner;
  std::shared_ptr<CellHolder> mHost;
  std::shared_ptr<CellHolder> mOther;

  HostedTask()
  {
    mOwner = MakeHolder(1);
    mHost = MakeHolder(1, "b/0", { "w2" });
    mOther = MakeHolder(1, "c/0", { "w3" });
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 3; }));
    Do([&] {
      mCells = { { "a/0", mOwner }, { "b/0", mHost }, { "c/0", mOther } };
      mHostCells = { "b/0" };
    });
    auto submission = MakeSubmission(kId);
    auto& step = submission.mJob.mSpec.mSteps[0];
    step.mCount = 2;
    step.mNeed.mCpuMillis = 10000;
    step.mIsLongRunning = true;
    Wait(mOwner->Execute(submission));
    BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 2; }));
    BOOST_REQUIRE(mWorkers.mWorkerOf.at(mTask) == "w2");
    Do([&] { mHostCells = { "b/0", "c/0" }; });
  }

  ~HostedTask()
  {
    Do([&] {
      for (const auto& [name, it] : mCells) {
        it->End();
      }
    });
    StopPool();
  }

  /** The worker of the host cell drains, so that the task is stopped. */
  auto DrainHost() -> void
  {
    Do([&] {
      auto record = MakeRecord("w2");
      record.mState = cell::WorkerState::Draining;
      mHost->UpdateWorker(record);
    });
    BOOST_REQUIRE(Until([&] { return !mWorkers.mStops.empty(); }));
    Do([&] { mWorkers.End(mTask, cell::EndKind::Stopped); });
  }

  auto FindRow(std::string_view aTable, const std::string& aKey)
    -> const StoreRow*
  {
    for (const auto& [key, it] : mStore.mRows) {
      if (it.mTable == aTable && it.mKey == aKey) {
        return &it;
      }
    }
    return nullptr;
  }

  /** The command by which the host cell returns its task. */
  auto MakeReturn() -> JobCommand
  {
    JobCommand out;
    out.mKind = JobCommandKind::ReturnTasks;
    out.mCell = "a/0";
    out.mJobId = kId;
    out.mJob.mHostedTasks = { { 0, 0, 1 } };
    out.mTimeoutMs = 3000;
    out.mSource.mCell = "b/0";
    Do([&] {
      const auto& row = *FindRow(kJobTable, "b/0/" + std::string(kId));
      out.mSource.mJobVersion = row.mVersion;
      const auto* fence =
        mStore.Find(std::string(kFenceTable), row.mPartition, "b/0");
      out.mSource.mFenceVersion = fence->mVersion;
    });
    return out;
  }

  auto IsRunningOn(const std::string& aWorker) -> bool
  {
    return mWorkers.mRunning.contains(mTask) &&
           mWorkers.mWorkerOf.at(mTask) == aWorker;
  }

  auto WaitUntilRunningOn(const std::string& aWorker) -> bool
  {
    const auto end = base::MonotonicClock::now() + kRestartLimit;
    while (base::MonotonicClock::now() < end) {
      auto isRunning = false;
      Do([&] { isRunning = IsRunningOn(aWorker); });
      if (isRunning) {
        return true;
      }
      Wait(net::Sleep(Milliseconds(20)), true);
    }
    return false;
  }
};

/** Cell "a/0" has a full worker and a long-running task that needs one; cell
 * "b/0" can host it. */
struct TaskToMove : HolderFixture
{
  static constexpr const char* kId = "000000000000000d";
  const std::string mTask = std::string(kId) + ".0.0.1";
  std::shared_ptr<CellHolder> mOwner;
  std::shared_ptr<CellHolder> mHost;

  TaskToMove()
  {
    mOwner = MakeHolder(1);
    mHost = MakeHolder(1, "b/0", { "w2" });
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
    Do([&] { mCells = { { "a/0", mOwner }, { "b/0", mHost } }; });
  }

  ~TaskToMove()
  {
    Do([&] {
      for (const auto& [name, it] : mCells) {
        it->End();
      }
    });
    StopPool();
  }

  static auto MakeTwoTasks() -> JobCommand
  {
    auto out = MakeSubmission(kId);
    auto& step = out.mJob.mSpec.mSteps[0];
    step.mCount = 2;
    step.mNeed.mCpuMillis = 10000;
    step.mIsLongRunning = true;
    return out;
  }

  auto Submit() -> void { Wait(mOwner->Execute(MakeTwoTasks())); }

  auto IsStartedWithinLimit() -> bool
  {
    const auto end = base::MonotonicClock::now() + kRestartLimit;
    auto isRunning = false;
    while (!isRunning && base::MonotonicClock::now() < end) {
      Wait(net::Sleep(Milliseconds(20)), true);
      Do([&] { isRunning = mWorkers.mRunning.contains(mTask); });
    }
    return isRunning;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(moving, TaskToMove)

// The host cell was notified after an earlier write of the progress, found no
// row of the task, and was not notified again.
BOOST_AUTO_TEST_CASE(task_moved_after_a_write_without_reply_is_started_by_host)
{
  Do([&] { mOwner->UpdateWorker(MakeRecord("w4")); });
  Submit();
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 2; }));
  const auto worker = mWorkers.mWorkerOf.at(mTask);
  Do([&] {
    auto record = MakeRecord(worker);
    record.mState = cell::WorkerState::Draining;
    mOwner->UpdateWorker(record);
  });
  BOOST_REQUIRE(Until([&] { return !mWorkers.mStops.empty(); }));
  Do([&] {
    // The checkpoint is written, but its reply is lost only after the task has
    // been moved.
    mStore.mFaults = { FakeFault::LoseReply };
    mStore.mDelays = { Milliseconds(1600) };
    mWorkers.End(mTask, cell::EndKind::Stopped);
    mWorkers.mEnds.back().mRow.mCheckpoint = "checkpoint";
    mHostCells = { "b/0" };
  });
  BOOST_TEST(IsStartedWithinLimit());
}

// The previous holder of the host cell confirmed that it knew the task; the
// next one had read the rows before the task was written there.
BOOST_AUTO_TEST_CASE(task_confirmed_by_a_superseded_holder_is_started_by_next)
{
  // Orders of the previous holder are refused only once its polls return.
  Do([&] { mWorkers.mWaitsForEnds = true; });
  Submit();
  Wait(net::Sleep(Milliseconds(1800)), true);
  const auto next = MakeHolder(2, "b/0", { "w2" });
  BOOST_REQUIRE(Until([&] { return next->Phase() == HolderPhase::Active; }));
  Do([&] { mHostCells = { "b/0" }; });
  Wait(net::Sleep(Milliseconds(700)), true);
  Do([&] {
    mHost->End();
    mCells["b/0"] = next;
  });
  BOOST_TEST(IsStartedWithinLimit());
}

// Guards against a job that is never stored again, as the row of its hosted
// tasks is larger than a row of the store.
BOOST_AUTO_TEST_CASE(task_whose_row_would_be_too_large_is_not_hosted)
{
  Do([&] { mHostCells = { "b/0" }; });
  auto submission = MakeTwoTasks();
  auto& spec = submission.mJob.mSpec;
  const auto bytes = net::Encode(submission.mJob).size();
  spec.mPayload = std::string(FakeStore::kMaxRowBytes - bytes - 5, 'p');
  Wait(mOwner->Execute(submission));
  Wait(net::Sleep(Milliseconds(2000)), true);
  Do([&] {
    BOOST_TEST(mWorkers.mStarts.size() == 1U);
    BOOST_TEST(mStore.mRejected == 0U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(hosting, HostedTask)

// A hosted task that its host cell could not start again was offered to no
// other cell and never ran again.
BOOST_AUTO_TEST_CASE(hostedtask_of_a_full_host_cell_runs_in_a_third_cell)
{
  DrainHost();
  BOOST_TEST(WaitUntilRunningOn("w3"));
  Do([&] {
    BOOST_TEST(mWorkers.mOverlaps == 0U);
    for (const auto& [key, it] : mStore.mRows) {
      BOOST_TEST(it.mKey != "b/0/" + std::string(kId));
    }
  });
}

BOOST_AUTO_TEST_CASE(hostedtask_returns_to_its_owner_that_has_room_again)
{
  Do([&] {
    mHostCells = { "b/0" };
    mOwner->UpdateWorker(MakeRecord("w4"));
  });
  DrainHost();
  BOOST_TEST(WaitUntilRunningOn("w4"));
  Do([&] { BOOST_TEST(mWorkers.mOverlaps == 0U); });
}

// Guards against a task that never runs again: a return stored that the task is
// hosted elsewhere, but not the row from which that host learns of it.
BOOST_AUTO_TEST_CASE(holder_ends_after_a_return_moved_task_has_its_host_row)
{
  // The other task moves to "c/0", and the write of that move takes long.
  Do([&] {
    mHostCells = { "c/0" };
    auto record = MakeRecord("w1");
    record.mState = cell::WorkerState::Draining;
    mOwner->UpdateWorker(record);
  });
  BOOST_REQUIRE(Until([&] { return !mWorkers.mStops.empty(); }));
  Do(
    [&] { mWorkers.End(std::string(kId) + ".0.0.0", cell::EndKind::Stopped); });
  BOOST_REQUIRE(Until([&] {
    const auto& job = *mOwner->State().mJobs.at(kId);
    const auto& task = job.mOccurrences.at(0)->mSteps[0].mTasks[0];
    if (task.mPhase != cell::TaskPhase::Remote) {
      return false;
    }
    mStore.mDelays = { Milliseconds(800) };
    return true;
  }));
  BOOST_REQUIRE(Until([&] { return mStore.mDelays.empty(); }));

  const auto reply = Wait(mOwner->Execute(MakeReturn()));
  Do([&] { mOwner->End(); });
  Wait(net::Sleep(Milliseconds(1000)), true);

  BOOST_REQUIRE((reply.mOutcome == JobOutcome::Done));
  Do([&] {
    const auto* row = FindRow(kJobTable, "c/0/" + std::string(kId));
    BOOST_TEST(row != nullptr);
    if (row) {
      const auto hosted = net::Decode<cell::StoredJob>(row->mValue);
      BOOST_TEST(hosted->mHostedTasks.size() == 1U);
    }
  });
}

BOOST_AUTO_TEST_CASE(return_whose_write_has_no_reply_task_runs_in_one_cell)
{
  for (const auto fault : { FakeFault::LoseReply, FakeFault::LoseCall }) {
    Do([&] { mStore.mFaults = { fault }; });
    DrainHost();
    BOOST_REQUIRE(Until([&] { return mStore.mFaults.empty(); }));
    // The worker has room again.
    Do([&] { mHost->UpdateWorker(MakeRecord("w2")); });
    auto isRunning = false;
    for (auto i = 0; i < 300 && !isRunning; ++i) {
      Wait(net::Sleep(Milliseconds(20)), true);
      Do([&] { isRunning = mWorkers.mRunning.contains(mTask); });
    }
    BOOST_TEST(isRunning);
    Wait(net::Sleep(Milliseconds(1500)), true);
    auto isOnHost = false;
    Do([&] {
      BOOST_TEST(mWorkers.mOverlaps == 0U);
      isOnHost = IsRunningOn("w2");
      mWorkers.mStops.clear();
    });
    if (!isOnHost) {
      break;
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
