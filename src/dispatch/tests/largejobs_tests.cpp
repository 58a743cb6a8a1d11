#define BOOST_TEST_MODULE dispatch_largejobs
#include <boost/test/unit_test.hpp>

#include "internal/progressrow.h"
#include "largejobfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeStore;
using dispatch::testing::LargeJobFixture;

constexpr std::uint32_t kManyTasks = 2000;
constexpr auto kCheckpoint = "00000bb87a21d94b";
constexpr auto kSettlingTime = Milliseconds(300);

/** A job whose first step has many tasks that are done, and whose second one
 * waits for room in cell "b/0". */
struct MigratingJob : LargeJobFixture
{
  std::shared_ptr<CellHolder> mTarget;

  MigratingJob()
  {
    Do([&] { mWorkers.mCapacities["w2"] = { 40000, 64000, 0 }; });
    auto submission = MakeLargeJob({ kManyTasks, 3 });
    submission.mJob.mSpec.mSteps[1].mNeed = { 30000, 1, 0 };
    Submit(submission);
    WaitForRuns(kManyTasks);
    mTarget = MakeHolder(1, "b/0", { "w2" });
    BOOST_REQUIRE(
      Until([&] { return mTarget->Phase() == HolderPhase::Active; }));
    Do([&] {
      mCells = { { "a/0", mHolder }, { "b/0", mTarget } };
      mFindCapacity = [](const std::string& aFrom,
                         const cell::MigratableJob& aJob) {
        return aFrom == "a/0" && !aJob.mExcludedCells.contains("b/0")
                 ? std::optional<std::string>("b/0")
                 : std::nullopt;
      };
    });
  }

  ~MigratingJob()
  {
    Do([&] { mTarget->End(); });
  }

  auto EndFirstStep() -> void
  {
    Do([&] { EndRuns(kManyTasks, cell::EndKind::Done); });
  }

  auto IsInTarget() -> bool
  {
    return Until([&] {
      return mTarget->State().mJobs.contains(mId) &&
             !mHolder->State().mJobs.contains(mId);
    });
  }

  auto CountDoneInTarget() -> std::uint32_t
  {
    std::uint32_t out = 0;
    Do([&] {
      const auto& job = *mTarget->State().mJobs.at(mId);
      out = job.mOccurrences.at(0)->mSteps[0].mDone;
    });
    return out;
  }
};

} // namespace

// Guards against cells that stand still, as the store rejects the progress of a
// job with many tasks that have checkpoints or have failed.
BOOST_FIXTURE_TEST_SUITE(largejobs, LargeJobFixture)

BOOST_AUTO_TEST_CASE(progress_of_tasks_with_checkpoints_is_stored)
{
  Submit(MakeLargeJob({ kManyTasks }));
  WaitForRuns(kManyTasks);
  Do([&] { EndRuns(kManyTasks, cell::EndKind::Stopped, kCheckpoint); });
  BOOST_TEST(AreEndsAcknowledged());
  BOOST_TEST(mStore.mRejected == 0U);
}

BOOST_AUTO_TEST_CASE(next_holder_resumes_from_the_checkpoints)
{
  Submit(MakeLargeJob({ kManyTasks }));
  WaitForRuns(kManyTasks);
  Do([&] { EndRuns(kManyTasks, cell::EndKind::Stopped, kCheckpoint); });
  BOOST_REQUIRE(AreEndsAcknowledged());
  WaitForRuns(kManyTasks);
  Do([&] { mHolder->End(); });
  Do([&] {
    mWorkers.Restart("w1");
    mWorkers.mStarts.clear();
  });
  TakeOver();
  WaitForRuns(kManyTasks);
  Do([&] {
    const auto& starts = mWorkers.mStarts;
    const auto resumed =
      std::count_if(starts.begin(), starts.end(), [](const auto& aOrder) {
        return aOrder.mCheckpoint == kCheckpoint;
      });
    BOOST_TEST(resumed == static_cast<std::ptrdiff_t>(starts.size()));
  });
}

BOOST_AUTO_TEST_CASE(done_tasks_do_not_run_again_after_a_takeover)
{
  Submit(MakeLargeJob({ 1000, 1000 }));
  WaitForRuns(1000);
  Do([&] { EndRuns(777, cell::EndKind::Done); });
  BOOST_REQUIRE(AreEndsAcknowledged());
  TakeOver();
  BOOST_TEST(CountDoneTasks() == 777U);
  BOOST_TEST(Finish());
  BOOST_TEST(mStartedAgain.empty());
  BOOST_TEST(mDone.size() == 2000U);
  BOOST_TEST(mStore.mRejected == 0U);
  BOOST_TEST(HasNoRows());
}

BOOST_AUTO_TEST_CASE(holder_that_ends_between_two_transactions_loses_nothing)
{
  // All pieces change at once, and one transaction doesn't take them.
  Submit(MakeLargeJob({ 10000 }));
  WaitForRuns(10000);
  Do([&] {
    std::size_t i = 0;
    auto running = mWorkers.mRunning;
    for (const auto& [name, it] : running) {
      mWorkers.End(name, cell::EndKind::Stopped);
      mWorkers.mEnds.back().mRow.mCheckpoint =
        i++ % 2 == 0 ? kCheckpoint : std::string(900, 'c');
    }
    mWorkers.mMaxListedEnds = running.size();
    mStore.mDelays = { Milliseconds(0), Milliseconds(1000) };
  });
  BOOST_REQUIRE(Until([&] { return mStore.mDelays.empty(); }));
  TakeOver();
  BOOST_TEST(AreEndsAcknowledged());
  BOOST_TEST(mStore.mRejected == 0U);
  BOOST_TEST(Finish());
  BOOST_TEST(HasNoRows());
}

BOOST_AUTO_TEST_CASE(changes_for_several_transactions_do_not_conflict)
{
  Submit(MakeLargeJob({ 10000 }));
  WaitForRuns(10000);
  Do([&] {
    mWorkers.mMaxListedEnds = 10000;
    EndRuns(10000, cell::EndKind::Stopped, std::string(100, 'c'));
  });
  BOOST_TEST(AreEndsAcknowledged());
  BOOST_TEST(mStore.mConflicts == 0U);
  BOOST_TEST(mStore.mRejected == 0U);
}

BOOST_AUTO_TEST_CASE(cancelled_job_leaves_no_rows)
{
  Submit(MakeLargeJob({ kManyTasks }));
  WaitForRuns(kManyTasks);
  Do([&] { EndRuns(kManyTasks / 2, cell::EndKind::Failed); });
  BOOST_REQUIRE(AreEndsAcknowledged());
  JobCommand cancel;
  cancel.mKind = JobCommandKind::Cancel;
  cancel.mCell = "a/0";
  cancel.mJobId = mId;
  cancel.mTimeoutMs = 3000;
  const auto reply = Wait(mHolder->Execute(cancel));
  BOOST_TEST((reply.mState == cell::JobState::Cancelled));
  BOOST_TEST(HasNoRows());
}

// Guards against a job that has ended and is started again by the next holder,
// as its rows are removed by several transactions.
BOOST_AUTO_TEST_CASE(ended_job_with_many_rows_is_not_started_by_next_holder)
{
  auto submission = MakeLargeJob({ 100, 100 });
  submission.mJob.mSpec.mRepeatCount = 200;
  submission.mJob.mSpec.mFirstStartMs = 1;
  submission.mJob.mSpec.mSteps[0].mNeed = { 0, 0, 0 };
  submission.mJob.mSpec.mSteps[1].mNeed = { 0, 0, 0 };
  Submit(submission);
  WaitForRuns(20000);
  Do([&] {
    // One task of each occurrence has a checkpoint, so that each piece has a
    // row.
    auto running = mWorkers.mRunning;
    for (const auto& [name, it] : running) {
      if (name.ends_with(".0.7")) {
        mWorkers.End(name, cell::EndKind::Stopped);
        mWorkers.mEnds.back().mRow.mCheckpoint = kCheckpoint;
      }
    }
  });
  BOOST_REQUIRE(AreEndsAcknowledged());
  BOOST_REQUIRE(Until([&] { return CountRows(kPieceTable) > 150U; }));
  // The holder ends while it removes the rows.
  Do([&] { mStore.mDelays = { Milliseconds(0), Milliseconds(500) }; });
  JobCommand cancel;
  cancel.mKind = JobCommandKind::Cancel;
  cancel.mCell = "a/0";
  cancel.mJobId = mId;
  cancel.mTimeoutMs = 3000;
  const auto reply = Wait(mHolder->Execute(cancel));
  BOOST_TEST((reply.mState == cell::JobState::Cancelled));
  Do([&] {
    mHolder->End();
    mWorkers.Restart("w1");
    mWorkers.mStarts.clear();
  });
  BOOST_TEST(CountRows(kJobTable) == 1U);
  TakeOver();
  BOOST_TEST(HasNoRows());
  Wait(net::Sleep(kSettlingTime), true);
  Do([&] { BOOST_TEST(mWorkers.mStarts.empty()); });
}

// Guards against progress of the version before that is lost at an upgrade.
BOOST_AUTO_TEST_CASE(progress_row_of_the_version_before_is_taken_over)
{
  Submit(MakeLargeJob({ kManyTasks }));
  WaitForRuns(kManyTasks);
  Do([&] {
    mHolder->End();
    cell::JobProgress progress;
    cell::DoneTasks done;
    done.mBits = std::string(kManyTasks / 16, '\xff');
    progress.mDoneTasks = { done };
    cell::TaskProgress task;
    task.mIndex = kManyTasks - 1;
    task.mCheckpoint = kCheckpoint;
    progress.mTasks = { task };
    for (auto& [key, it] : std::map(mStore.mRows)) {
      if (it.mTable == kJobTable) {
        StoreTransaction transaction;
        transaction.mPartition = it.mPartition;
        transaction.mWrites = { { { std::string(kProgressTable), it.mKey },
                                  net::Encode(progress) } };
        mStore.Apply(transaction);
      }
    }
    mWorkers.Restart("w1");
    mWorkers.mStarts.clear();
  });
  TakeOver();
  BOOST_TEST(CountDoneTasks() == kManyTasks / 2);
  WaitForRuns(kManyTasks / 2);
  // The pieces have replaced the row.
  BOOST_TEST(Until([&] { return CountRows(kPieceTable) > 0; }));
  TakeOver();
  BOOST_TEST(CountDoneTasks() == kManyTasks / 2);
  Do([&] {
    const auto& starts = mWorkers.mStarts;
    BOOST_TEST(starts.size() == kManyTasks / 2);
    const auto right =
      std::count_if(starts.begin(), starts.end(), [](const auto& aOrder) {
        const auto isLast =
          aOrder.mTask.ends_with(base::Cat(".", kManyTasks - 1));
        return aOrder.mCheckpoint == (isLast ? kCheckpoint : "");
      });
    BOOST_TEST(right == static_cast<std::ptrdiff_t>(starts.size()));
  });
}

BOOST_AUTO_TEST_CASE(job_whose_progress_cannot_be_read_is_not_started_again)
{
  Submit(MakeLargeJob({ kManyTasks }));
  WaitForRuns(kManyTasks);
  Do([&] { EndRuns(kManyTasks / 2, cell::EndKind::Done); });
  BOOST_REQUIRE(AreEndsAcknowledged());
  Do([&] {
    mHolder->End();
    for (auto& [key, it] : mStore.mRows) {
      if (it.mTable == kPieceTable || it.mTable == kProgressTable) {
        it.mValue = "not a row";
      }
    }
    mWorkers.Restart("w1");
    mWorkers.mStarts.clear();
  });
  TakeOver();
  Wait(net::Sleep(kSettlingTime), true);
  Do([&] { BOOST_TEST(mWorkers.mStarts.empty()); });
  BOOST_TEST(CountRows(kJobTable) == 1U);
}

// Guards against a checkpoint of any length that keeps the progress of its job
// from being stored.
BOOST_AUTO_TEST_CASE(checkpoint_longer_than_a_row_is_left_out)
{
  for (const auto count : { 2U, 300U }) {
    auto submission = MakeLargeJob({ count });
    submission.mJobId.back() = count == 2 ? '2' : '3';
    submission.mJob.mSpec.mId = submission.mJobId;
    Submit(submission);
    WaitForRuns(count);
    Do([&] {
      EndRuns(
        1, cell::EndKind::Stopped, std::string(FakeStore::kMaxRowBytes, 'c'));
    });
    BOOST_TEST(AreEndsAcknowledged());
    BOOST_TEST(mStore.mRejected == 0U);
    Do([&] { EndRuns(count, cell::EndKind::Done); });
  }
}

// Guards against writes that grow with the tasks of a job, not with what has
// changed.
BOOST_AUTO_TEST_CASE(bytes_written_for_an_end_do_not_grow_with_the_job)
{
  std::map<std::uint32_t, std::size_t> bytes;
  Do([&] { mWorkers.mMaxListedEnds = 10000; });
  for (const auto count : { 100U, 1000U, 10000U }) {
    auto submission = MakeLargeJob({ count });
    submission.mJobId = base::Cat("00000000000", count).substr(0, 16);
    submission.mJob.mSpec.mId = submission.mJobId;
    Submit(submission);
    WaitForRuns(count);
    Do([&] { EndRuns(count, cell::EndKind::Stopped, kCheckpoint); });
    BOOST_REQUIRE(AreEndsAcknowledged());
    WaitForRuns(count);
    Do([&] { mStore.mWrittenBytes = 0; });
    constexpr auto kEnds = 5;
    for (auto i = 0; i < kEnds; ++i) {
      Do([&] { EndRuns(1, cell::EndKind::Done); });
      BOOST_REQUIRE(AreEndsAcknowledged());
    }
    Do([&] {
      bytes[count] = mStore.mWrittenBytes / kEnds;
      EndRuns(count, cell::EndKind::Done);
    });
    BOOST_REQUIRE(AreEndsAcknowledged());
    BOOST_TEST_MESSAGE("bytes written for an end of a job of "
                       << count << " tasks: " << bytes[count]);
  }
  // A piece has up to 128 tasks.
  BOOST_TEST(bytes[1000] <= bytes[100] * 3 / 2);
  BOOST_TEST(bytes[10000] <= bytes[100] * 3 / 2);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against progress that is lost, or that its new cell cannot store, when
// a job with many tasks migrates.
BOOST_FIXTURE_TEST_SUITE(migration_of_a_large_job, MigratingJob)

BOOST_AUTO_TEST_CASE(job_keeps_its_progress_and_its_pieces)
{
  EndFirstStep();
  BOOST_REQUIRE(IsInTarget());
  BOOST_TEST(CountDoneInTarget() == kManyTasks);
  WaitForRuns(1);

  Do([&] { mTarget->End(); });
  mTarget = MakeHolder(2, "b/0", { "w2" });
  BOOST_REQUIRE(Until([&] { return mTarget->Phase() == HolderPhase::Active; }));
  BOOST_TEST(CountDoneInTarget() == kManyTasks);
  BOOST_TEST(Finish());
  BOOST_TEST(mStartedAgain.empty());
  BOOST_TEST(mStore.mRejected == 0U);
  BOOST_TEST(HasNoRows());
}

BOOST_AUTO_TEST_CASE(import_without_reply_keeps_the_progress)
{
  EndFirstStep();
  BOOST_REQUIRE(AreEndsAcknowledged());
  Do([&] { mStore.mFaults = { dispatch::testing::FakeFault::LoseReply }; });
  BOOST_REQUIRE(IsInTarget());
  BOOST_TEST(CountDoneInTarget() == kManyTasks);
  BOOST_TEST(Finish());
  BOOST_TEST(mStartedAgain.empty());
  BOOST_TEST(HasNoRows());
}

BOOST_AUTO_TEST_SUITE_END()
