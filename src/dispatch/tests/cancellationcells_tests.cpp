#include <boost/test/unit_test.hpp>

#include "cancellationfixture.h"
#include "internal/claiming.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::CallersAndCells;
using dispatch::testing::FakeFault;

/** Delays the replies to imports, which are executed at once. */
auto DelayImportReplies(CallersAndCells& aTest, Milliseconds aDelay) -> void
{
  aTest.mExecute = [&aTest,
                    aDelay](JobCommand aCommand) -> net::Task<JobReply> {
    const auto isImport = aCommand.mKind == JobCommandKind::ImportJob;
    const auto reply = co_await aTest.ExecuteInCell(std::move(aCommand));
    if (isImport) {
      co_await net::Sleep(aDelay);
    }
    co_return reply;
  };
}

/** A long-running job whose placement is delayed, so that it may migrate
 * first. */
auto MakeLongRunning(CallersAndCells& aTest) -> void
{
  auto& step = aTest.mFormats.mSpec.mSteps[0];
  step.mIsLongRunning = true;
  step.mNeed.mCpuMillis = 10000;
}

/** A job of cell "a/0" with two long-running tasks, of which "b/0" hosts the
 * second one. */
struct HostedTask : CallersAndCells
{
  const std::string mHosted = std::string(kId) + ".0.0.1";

  HostedTask()
  {
    Do([&] {
      MakeLongRunning(*this);
      mFormats.mSpec.mSteps[0].mCount = 2;
      mHostCells = { "b/0" };
    });
    BOOST_REQUIRE(
      (Request("POST", Milliseconds(3000)) == CallerOutcome::Accepted));
  }

  auto WaitUntilHosted() -> void
  {
    BOOST_REQUIRE(Until([&] { return mWorkers.mRunning.size() == 2; }));
    BOOST_REQUIRE(mWorkers.mWorkerOf.at(mHosted) == "w2");
  }

  auto Replace(const std::string& aCell, const std::string& aWorker) -> void
  {
    Do([&] {
      mCells.at(aCell)->End();
      mCells[aCell] = MakeHolder(2, aCell, { aWorker });
    });
  }

  /** Whether all is gone within the limit and stays away. */
  auto IsGoneWithinLimit() -> bool
  {
    const auto isGone = IsCancelledWithinLimit();
    auto isAllGone = false;
    Do([&] {
      isAllGone = mWorkers.mRunning.empty() && CountRows(kJobTable) == 0 &&
                  CountRows(kProgressTable) == 0 &&
                  IdState(kId) == cell::JobState::Cancelled;
    });
    return isGone && isAllGone;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(cancellation_across_cells)

// A job ended in its former cell while its import by another cell got no reply
// yet; the former cell acknowledged its cancellation, and the job ran on.
BOOST_FIXTURE_TEST_CASE(
  cancellation_job_that_ended_during_its_migration_takes_effect,
  CallersAndCells)
{
  Do([&] {
    mSettings.mLeaseMs = 600;
    mFormats.mQueue.mMaxAttempts = 1;
    mFirst->End();
    mFirst = MakeHolder(2);
    mCells["a/0"] = mFirst;
  });
  SubmitAndStart();
  Do([&] {
    // The end is listed only after the lease has expired.
    mWorkers.mUnresponsive.insert("w1");
    mWorkers.End(mTask, cell::EndKind::Failed);
    mFindCapacity = [](const std::string& aFrom, const cell::MigratableJob&) {
      return aFrom == "a/0" ? std::optional<std::string>("b/0") : std::nullopt;
    };
    DelayImportReplies(*this, Milliseconds(1000));
  });
  BOOST_REQUIRE(Until([&] { return mWorkers.mRunning.contains(mTask); }));
  Do([&] { mWorkers.mUnresponsive.clear(); });
  Wait(net::Sleep(Milliseconds(600)), true);
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  BOOST_TEST(IsCancelledWithinLimit());
  Do([&] { BOOST_TEST((IdState(kId) == cell::JobState::Cancelled)); });
}

// A cell that had not learned yet that its job was in another cell confirmed
// the job's import back; the job was in no cell's memory and did not run.
BOOST_FIXTURE_TEST_CASE(migration_back_before_the_reply_job_is_started,
                        CallersAndCells)
{
  Do([&] {
    MakeLongRunning(*this);
    mFindEmptier = [moves = 0](const std::string& aFrom,
                               const cell::MigratableJob&) mutable {
      return ++moves > 2
               ? std::nullopt
               : std::optional<std::string>(aFrom == "a/0" ? "b/0" : "a/0");
    };
    DelayImportReplies(*this, Milliseconds(350));
  });
  BOOST_REQUIRE(
    (Request("POST", Milliseconds(3000)) == CallerOutcome::Accepted));
  BOOST_TEST(Until([&] { return mWorkers.mRunning.contains(mTask); }));
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  BOOST_TEST(IsCancelledWithinLimit());
}

// A submission that came after the cancellation of its job was answered as
// accepted, but the job never ran and was not shown.
BOOST_FIXTURE_TEST_CASE(submission_after_cancellation_is_not_accepted,
                        CallersAndCells)
{
  BOOST_TEST(
    (Request("DELETE", Milliseconds(2000)) == CallerOutcome::UnknownJob));
  BOOST_TEST((Request("POST", Milliseconds(2000)) == CallerOutcome::NotRun));
  BOOST_TEST((Request("GET", Milliseconds(2000)) == CallerOutcome::UnknownJob));
  BOOST_TEST(
    (Request("DELETE", Milliseconds(2000)) == CallerOutcome::UnknownJob));
  Do([&] {
    BOOST_TEST(mWorkers.mStarts.empty());
    BOOST_TEST(CountRows(kJobTable) == 0U);
  });
}

// A cancellation that reached a cell during the import of its job read the rows
// before the import got its reply, and the job was added again after it had
// been cancelled.
BOOST_FIXTURE_TEST_CASE(cancellation_job_being_imported_is_not_added_again,
                        CallersAndCells)
{
  auto import = MakeSubmission(kId);
  Do([&] {
    StoreTransaction transaction;
    transaction.mPartition =
      PartitionName(static_cast<std::uint32_t>(HashOf(kId) % kPartitions));
    transaction.mWrites = {
      { { std::string(kIdTable), kId },
        net::Encode(JobIdRow{ "c/0", cell::JobState::Queued, 1 }) },
      { { std::string(kJobTable), std::string("c/0/") + kId },
        net::Encode(import.mJob) }
    };
    import.mSource = { "c/0", 0, mStore.Apply(transaction).mVersion, 0 };
    mStore.mReadDelays = { Milliseconds(200) };
    mStore.mReplyDelays = { Milliseconds(500) };
  });
  import.mKind = JobCommandKind::ImportJob;
  auto cancel = import;
  cancel.mKind = JobCommandKind::Cancel;
  cancel.mTimeoutMs = 2000;
  auto isImportAnswered = false;
  mPool.Spawn(mPool.Executor(0),
              [](CallersAndCells& aTest,
                 JobCommand aImport,
                 bool& aIsAnswered) -> net::Task<void> {
                // The cancellation reaches the cell first.
                co_await net::Sleep(Milliseconds(50));
                co_await aTest.ExecuteInCell(std::move(aImport));
                aIsAnswered = true;
              }(*this, import, isImportAnswered));
  const auto reply = Wait(ExecuteInCell(cancel));
  BOOST_REQUIRE(Until([&] { return isImportAnswered; }));
  Wait(net::Sleep(Milliseconds(500)), true);
  Do([&] {
    const auto isAcknowledged = reply.mOutcome == JobOutcome::Done;
    BOOST_TEST((!isAcknowledged || mWorkers.mStarts.empty()));
    BOOST_TEST((isAcknowledged || IdState(kId) == cell::JobState::Queued));
  });
}

// Guards against a host cell that keeps the task of a cancelled job.
BOOST_FIXTURE_TEST_CASE(cancellation_hosted_task_is_stopped, HostedTask)
{
  WaitUntilHosted();
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  BOOST_TEST(IsGoneWithinLimit());
}

// Guards against the next holder of a host cell that has read the rows of a
// hosted task before the job was cancelled.
BOOST_FIXTURE_TEST_CASE(cancellation_during_takeover_of_host_task_is_stopped,
                        HostedTask)
{
  WaitUntilHosted();
  Do([&] {
    // The fences, then the rows of both partitions.
    mStore.mReadDelays = {
      Milliseconds(0), Milliseconds(0),   Milliseconds(0),
      Milliseconds(0), Milliseconds(500), Milliseconds(500)
    };
  });
  Replace("b/0", "w2");
  Wait(net::Sleep(Milliseconds(100)), true);
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  BOOST_TEST(IsGoneWithinLimit());
}

// Guards against the write of a final state of a holder that has been replaced.
BOOST_FIXTURE_TEST_CASE(
  cancellation_written_late_by_replaced_owner_takes_effect,
  HostedTask)
{
  WaitUntilHosted();
  Do([&] { mStore.mFaults = { FakeFault::ApplyLate }; });
  std::thread replacing([&] {
    Until([&] { return !mStore.mLateCalls.empty(); });
    Replace("a/0", "w1");
  });
  const auto outcome = Request("DELETE", Milliseconds(1500));
  replacing.join();
  Do([&] { mStore.ApplyLateCalls(); });
  BOOST_TEST((outcome == CallerOutcome::Cancelled ||
              outcome == CallerOutcome::Uncertain));
  BOOST_TEST(IsGoneWithinLimit());
}

// Guards against the late execution of the write that moves a task to a host.
BOOST_FIXTURE_TEST_CASE(cancellation_before_late_move_to_host_adds_no_row,
                        HostedTask)
{
  BOOST_REQUIRE(Until([&] { return mWorkers.mRunning.size() == 1; }));
  BOOST_REQUIRE(Until([&] {
    const auto* job = mFirst->State().mJobs.at(kId).get();
    const auto isMoved = !cell::RemoteTasksByHost(*job).empty();
    if (isMoved) {
      mStore.mFaults = { FakeFault::ApplyLate };
    }
    return isMoved;
  }));
  BOOST_REQUIRE(Until([&] { return !mStore.mLateCalls.empty(); }));
  BOOST_REQUIRE(std::any_of(mStore.mLateCalls[0].mWrites.begin(),
                            mStore.mLateCalls[0].mWrites.end(),
                            [](const RowWrite& aWrite) {
                              return aWrite.mRow.mKey ==
                                     std::string("b/0/") + kId;
                            }));
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  Do([&] { mStore.ApplyLateCalls(); });
  BOOST_TEST(IsGoneWithinLimit());
  Do([&] { BOOST_TEST(!mWorkers.mWorkerOf.contains(mHosted)); });
}

// Guards against the return of a hosted task, the write of which is executed
// before or after that of the cancellation.
BOOST_FIXTURE_TEST_CASE(cancellation_during_return_of_task_starts_it_nowhere,
                        HostedTask)
{
  WaitUntilHosted();
  Do([&] {
    mHostCells.clear();
    auto record = MakeRecord("w2");
    record.mState = cell::WorkerState::Draining;
    mSecond->UpdateWorker(record);
    mFirst->UpdateWorker(MakeRecord("w4"));
    mExecute = [this](JobCommand aCommand) -> net::Task<JobReply> {
      if (aCommand.mKind == JobCommandKind::ReturnTasks) {
        mStore.mFaults = { FakeFault::ApplyLate };
      }
      co_return co_await ExecuteInCell(std::move(aCommand));
    };
  });
  BOOST_REQUIRE(Until([&] { return !mStore.mLateCalls.empty(); }));
  const auto starts = mWorkers.CountStarts(mHosted);
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  Do([&] { mStore.ApplyLateCalls(); });
  BOOST_TEST(IsGoneWithinLimit());
  Do([&] { BOOST_TEST(mWorkers.CountStarts(mHosted) == starts); });
}

// Guards against a start that a worker executes after the job was cancelled and
// its stop was answered.
BOOST_FIXTURE_TEST_CASE(cancellation_start_executed_late_is_stopped,
                        CallersAndCells)
{
  Do([&] { mWorkers.mHoldsOrders = true; });
  BOOST_REQUIRE(
    (Request("POST", Milliseconds(3000)) == CallerOutcome::Accepted));
  BOOST_REQUIRE(Until([&] { return !mWorkers.mHeldOrders.empty(); }));
  Do([&] { mWorkers.mHoldsOrders = false; });
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  BOOST_REQUIRE(Until([&] { return !mWorkers.mStops.empty(); }));
  Wait(net::Sleep(Milliseconds(500)), true);
  Do([&] { mWorkers.ExecuteHeldOrders(); });
  BOOST_TEST(IsCancelledWithinLimit());
}

// Guards against a run that goes on after its stop was lost.
BOOST_FIXTURE_TEST_CASE(cancellation_stop_lost_is_sent_again, CallersAndCells)
{
  SubmitAndStart();
  Do([&] { mWorkers.mHoldsOrders = true; });
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  BOOST_REQUIRE(Until([&] { return !mWorkers.mHeldOrders.empty(); }));
  Do([&] {
    mWorkers.mHeldOrders.clear();
    mWorkers.mHoldsOrders = false;
  });
  BOOST_TEST(IsCancelledWithinLimit());
}

// While a job's cell had no holder, each of its cancellations read the store 16
// times a second for as long as that lasted.
BOOST_FIXTURE_TEST_CASE(cancellation_cell_without_holder_reads_store_rarely,
                        CallersAndCells)
{
  SubmitAndStart();
  Do([&] {
    mFirst->End();
    mCells.erase("a/0");
  });
  BOOST_TEST(
    (Request("DELETE", Milliseconds(100)) == CallerOutcome::Uncertain));
  std::size_t before = 0;
  Do([&] { before = mStore.mReads; });
  Wait(net::Sleep(Milliseconds(3000)), true);
  // Attempts after 0.1, 0.2, 0.4 and 0.8 s, then each second.
  constexpr std::size_t kMaxAttempts = 5;
  Do([&] { BOOST_TEST(mStore.mReads - before <= kMaxAttempts); });
}

// Guards against the import of a job that is executed late, after its former
// cell has gone on with the job and cancelled it.
BOOST_FIXTURE_TEST_CASE(cancellation_before_late_import_takes_effect,
                        CallersAndCells)
{
  Do([&] {
    MakeLongRunning(*this);
    mFindEmptier = [moves = 0](const std::string&,
                               const cell::MigratableJob&) mutable {
      return ++moves > 1 ? std::nullopt : std::optional<std::string>("b/0");
    };
    mExecute = [this](JobCommand aCommand) -> net::Task<JobReply> {
      if (aCommand.mKind == JobCommandKind::ImportJob) {
        mStore.mFaults = { FakeFault::ApplyLate };
      }
      co_return co_await ExecuteInCell(std::move(aCommand));
    };
  });
  BOOST_REQUIRE(
    (Request("POST", Milliseconds(3000)) == CallerOutcome::Accepted));
  BOOST_REQUIRE(Until([&] { return !mStore.mLateCalls.empty(); }));
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  Do([&] { mStore.ApplyLateCalls(); });
  BOOST_TEST(IsCancelledWithinLimit());
  Do([&] {
    BOOST_TEST((IdState(kId) == cell::JobState::Cancelled));
    BOOST_TEST(CountRows(kJobTable) == 0U);
  });
}

// A cancellation whose final write lost its reply is confirmed by the row of
// the id.
BOOST_FIXTURE_TEST_CASE(cancellation_final_write_without_reply_is_acknowledged,
                        CallersAndCells)
{
  SubmitAndStart();
  Do([&] { mStore.mFaults = { FakeFault::LoseReply }; });
  BOOST_TEST(
    (Request("DELETE", Milliseconds(3000)) == CallerOutcome::Cancelled));
  BOOST_TEST(IsCancelledWithinLimit());
}

BOOST_AUTO_TEST_SUITE_END()
