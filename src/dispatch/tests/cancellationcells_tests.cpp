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
    mFindCapacity = [this](const std::string& aFrom,
                           const cell::MigratableJob&) {
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

BOOST_AUTO_TEST_SUITE_END()
