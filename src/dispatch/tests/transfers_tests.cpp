#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/progressrow.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeFault;
using dispatch::testing::HolderFixture;

/** Long enough for a holder to start each task that it considers startable. */
constexpr auto kSettlingTime = Milliseconds(300);
/** A lease for tests that wait until it has expired. */
constexpr std::int64_t kShortLeaseMs = 400;

/** A job with one task that uses more than half of a worker. */
auto Submission(const std::string& aId) -> JobCommand
{
  auto out = HolderFixture::MakeSubmission(aId);
  out.mJob.mSpec.mSteps[0].mNeed.mCpuMillis = 9000;
  return out;
}

auto IsKnown(const CellHolder& aHolder, const std::string& aWorker) -> bool
{
  const auto it = aHolder.State().mWorkers.find(aWorker);
  return it != aHolder.State().mWorkers.end() && it->second->mIsKnown;
}

/** A holder of w1 and w2, of which w2 has left the cell. */
struct DepartedWorker : HolderFixture
{
  std::shared_ptr<CellHolder> mHolder;

  DepartedWorker()
  {
    mSettings.mLeaseMs = kShortLeaseMs;
    mHolder = MakeHolder(1, "a/0", { "w1", "w2" });
    BOOST_REQUIRE(Until(
      [&] { return IsKnown(*mHolder, "w1") && IsKnown(*mHolder, "w2"); }));
    Do([&] {
      mWorkers.mUnresponsive = { "w2" };
      mHolder->UnlistWorker("w2");
    });
    BOOST_REQUIRE(
      Until([&] { return !mHolder->State().mWorkers.contains("w2"); }));
    Do([&] { mWorkers.mUnresponsive.clear(); });
  }

  ~DepartedWorker() { StopPool(); }

  /** A new worker makes the holder write its members, with the given fault, and
   * w2 returns before the write is repeated. */
  auto Return(FakeFault aFault) -> void
  {
    Do([&] {
      mStore.mFaults = { aFault };
      mHolder->UpdateWorker(MakeRecord("w3"));
    });
    BOOST_REQUIRE(Until([&] { return mStore.mFaults.empty(); }));
    Do([&] { mHolder->UpdateWorker(MakeRecord("w2")); });
    BOOST_REQUIRE(Until(
      [&] { return IsKnown(*mHolder, "w2") && IsKnown(*mHolder, "w3"); }));
    Wait(net::Sleep(2 * kSettlingTime), true);
  }
};

/** A job whose first step has ended in cell "b/0" and whose second one waits
 * for capacity; cell "a/0" imports it. */
struct ImportedJob : HolderFixture
{
  std::string mId = "0000000000000001";
  JobCommand mSubmission = Submission(mId);
  JobCommand mImport;
  std::shared_ptr<CellHolder> mHolder;

  ImportedJob()
  {
    const auto from = MakeHolder(1, "b/0", { "w2" });
    mHolder = MakeHolder(1, "a/0", { "w1" });
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
    auto& steps = mSubmission.mJob.mSpec.mSteps;
    auto second = steps[0];
    second.mAfter = { 0 };
    second.mNeed.mCpuMillis = 20000;
    steps.push_back(second);
    mSubmission.mCell = "b/0";
    Wait(from->Execute(mSubmission));
    mSubmission.mCell = "a/0";
    BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 1; }));
    Do([&] { mWorkers.End(mId + ".0.0.0", cell::EndKind::Done); });
    BOOST_REQUIRE(Until([&] { return CountRows(kProgressTable) == 1; }));
    Do([&] {
      from->End();
      MakeImport();
    });
  }

  ~ImportedJob() { StopPool(); }

  auto MakeImport() -> void
  {
    mImport.mKind = JobCommandKind::ImportJob;
    mImport.mCell = "a/0";
    mImport.mJobId = mId;
    mImport.mJob = mSubmission.mJob;
    mImport.mTimeoutMs = 3000;
    cell::TaskProgress done;
    done.mIsDone = true;
    mImport.mProgress.mTasks = { done };
    auto& source = mImport.mSource;
    source.mCell = "b/0";
    for (const auto& [key, it] : mStore.mRows) {
      if (it.mTable == kJobTable) {
        source.mJobVersion = it.mVersion;
        const auto* fence =
          mStore.Find(std::string(kFenceTable), std::get<1>(key), "b/0");
        source.mFenceVersion = fence->mVersion;
      } else if (it.mTable == kProgressTable) {
        source.mProgressVersion = it.mVersion;
      }
    }
  }

  auto StoredProgress() -> cell::JobProgress
  {
    for (const auto& [key, it] : mStore.mRows) {
      if (it.mTable == kProgressTable) {
        return *net::Decode<cell::JobProgress>(it.mValue);
      }
    }
    return {};
  }

  /** The job is here, and its first step has not run again. */
  auto CheckImported() -> void
  {
    Wait(net::Sleep(kSettlingTime), true);
    Do([&] {
      const auto it = mHolder->State().mJobs.find(mId);
      BOOST_TEST((it != mHolder->State().mJobs.end()));
      BOOST_TEST(mWorkers.mStarts.size() == 1U);
      const auto progress = StoredProgress();
      BOOST_TEST((!progress.mTasks.empty() && progress.mTasks[0].mIsDone));
      mHolder->End();
    });
  }
};

/** A command that asks cell "a/0" for a worker. */
auto MakeTransfer() -> JobCommand
{
  JobCommand out;
  out.mKind = JobCommandKind::TransferWorker;
  out.mCell = "a/0";
  out.mRequest = { "b/0", { "", "service", { 1000, 1000, 0 } } };
  out.mTimeoutMs = 3000;
  return out;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(transfers, HolderFixture)

// The holder forgot the token of the loan, was refused by the worker and ended
// itself, though no other entry had claimed the cell.
BOOST_AUTO_TEST_CASE(holder_transfer_of_a_borrowed_worker_fails_stays_active)
{
  const auto holder = MakeHolder(1);
  Do([&] { holder->RaiseMinToken("w1", 5000); });
  BOOST_REQUIRE(Until([&] {
    return IsKnown(*holder, "w1") && mWorkers.mTokens["w1"] >= 5000 * 65536ULL;
  }));
  Do([&] {
    mStore.mFaults = { FakeFault::Refuse,
                       FakeFault::Refuse,
                       FakeFault::Refuse };
  });

  const auto reply = Wait(holder->Execute(MakeTransfer()));
  Wait(net::Sleep(kSettlingTime), true);

  BOOST_TEST((reply.mOutcome == JobOutcome::Refused));
  BOOST_TEST((holder->Phase() == HolderPhase::Active));
  Do([&] { holder->End(); });
}

// The next holder did not ask w2 for its runs, as the row had been removed, and
// started its task on another worker.
BOOST_FIXTURE_TEST_CASE(
  member_removal_without_reply_worker_returns_row_is_written_again,
  DepartedWorker)
{
  Return(FakeFault::LoseReply);
  for (const auto* id :
       { "0000000000000001", "0000000000000002", "0000000000000003" }) {
    Wait(mHolder->Execute(Submission(id)));
  }
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 3; }));
  const auto members = CountRows(kMemberTable);
  Do([&] {
    mHolder->End();
    for (const auto& [task, worker] : mWorkers.mWorkerOf) {
      if (worker != "w2") {
        mWorkers.End(task, cell::EndKind::Done);
      }
    }
    mWorkers.mUnresponsive = { "w2" };
  });
  const auto next = MakeHolder(2, "a/0", { "w1", "w2", "w3" });
  BOOST_REQUIRE(Until([&] { return next->Phase() == HolderPhase::Active; }));
  // Well below the lease that the first holder granted.
  Wait(net::Sleep(Milliseconds(150)), true);

  BOOST_TEST(members == 3U);
  BOOST_TEST(mWorkers.mStarts.size() == 3U);
  BOOST_TEST(mWorkers.mOverlaps == 0U);
  Do([&] { next->End(); });
}

// A removal named no version, so it removed the row that was written after it.
BOOST_FIXTURE_TEST_CASE(
  member_removal_executed_after_the_worker_returned_row_stays,
  DepartedWorker)
{
  Return(FakeFault::ApplyLate);
  Do([&] { mStore.ApplyLateCalls(); });

  BOOST_TEST(CountRows(kMemberTable) == 3U);
  Do([&] { mHolder->End(); });
}

// The removals of a transfer that had failed were executed late, and the holder
// gave orders to a worker without a row.
BOOST_AUTO_TEST_CASE(transfer_removals_without_reply_row_is_written_again)
{
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return IsKnown(*holder, "w1"); }));
  Do([&] {
    mStore.mFaults = { FakeFault::ApplyLate,
                       FakeFault::ApplyLate,
                       FakeFault::ApplyLate };
  });

  const auto reply = Wait(holder->Execute(MakeTransfer()));
  BOOST_REQUIRE(Until([&] { return IsKnown(*holder, "w1"); }));
  Do([&] { mStore.ApplyLateCalls(); });

  BOOST_TEST((reply.mOutcome == JobOutcome::Refused));
  BOOST_TEST(CountRows(kMemberTable) == 1U);
  Do([&] { holder->End(); });
}

// The late write added the row of a worker that another cell had by then.
BOOST_AUTO_TEST_CASE(transfer_soon_after_member_write_without_reply_is_refused)
{
  // The first two commits raise the fences.
  mStore.mFaults = { FakeFault::None, FakeFault::None, FakeFault::ApplyLate };
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return IsKnown(*holder, "w1"); }));
  const auto late = mStore.mLateCalls.size();

  const auto reply = Wait(holder->Execute(MakeTransfer()));

  BOOST_TEST(late == 1U);
  BOOST_TEST((reply.mOutcome == JobOutcome::Refused));
  Do([&] { holder->End(); });
}

// Orders to a worker that returned were sent while the removal of its row was
// still in progress.
BOOST_FIXTURE_TEST_CASE(
  member_removal_in_progress_worker_returns_gets_no_order_before_its_row,
  DepartedWorker)
{
  Do([&] {
    mStore.mDelays = { kSettlingTime };
    mHolder->UpdateWorker(MakeRecord("w3"));
  });
  BOOST_REQUIRE(Until([&] { return mStore.mDelays.empty(); }));
  Do([&] { mHolder->UpdateWorker(MakeRecord("w2")); });
  Wait(net::Sleep(kSettlingTime / 2), true);
  const auto isEarly = IsKnown(*mHolder, "w2");
  BOOST_REQUIRE(Until([&] { return IsKnown(*mHolder, "w2"); }));

  BOOST_TEST(!isEarly);
  BOOST_TEST(CountRows(kMemberTable) == 3U);
  Do([&] { mHolder->End(); });
}

// The submission added the job without its progress, so that its first step ran
// again.
BOOST_FIXTURE_TEST_CASE(
  submission_again_while_an_import_is_unresolved_keeps_the_progress,
  ImportedJob)
{
  Do([&] {
    mStore.mFaults = { FakeFault::LoseReply };
    mStore.mReadDelays = { kSettlingTime, kSettlingTime };
  });

  const auto imported = Wait(mHolder->Execute(mImport));
  const auto submitted = Wait(mHolder->Execute(mSubmission));

  BOOST_TEST((imported.mOutcome == JobOutcome::Uncertain));
  BOOST_TEST((submitted.mOutcome == JobOutcome::Done));
  CheckImported();
}

// The same of a submission that finds rows which this holder has not loaded.
BOOST_FIXTURE_TEST_CASE(
  submission_again_of_a_stored_job_with_progress_keeps_the_progress,
  ImportedJob)
{
  const auto other = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return IsKnown(*other, "w1"); }));
  Wait(other->Execute(mImport));
  Do([&] { other->End(); });

  const auto submitted = Wait(mHolder->Execute(mSubmission));

  BOOST_TEST((submitted.mOutcome == JobOutcome::Done));
  CheckImported();
}

// A version that lists each task that is done wrote rows without the rest.
BOOST_AUTO_TEST_CASE(progress_row_of_an_earlier_version_is_read)
{
  cell::TaskProgress done;
  done.mIndex = 3;
  done.mIsDone = true;
  const auto row = net::Encode(std::vector<cell::TaskProgress>{ done });

  const auto progress = DecodeProgress(row);

  BOOST_REQUIRE(progress.ok());
  BOOST_REQUIRE(progress->mTasks.size() == 1U);
  BOOST_TEST(progress->mTasks[0].mIndex == 3U);
  BOOST_TEST(progress->mTasks[0].mIsDone);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a worker in two cells, of which the other one acknowledges
// ends of tasks that it does not know.
BOOST_FIXTURE_TEST_CASE(worker_listed_during_its_transfer_leaves_the_cell,
                        HolderFixture)
{
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return IsKnown(*holder, "w1"); }));
  Do([&] { mStore.mDelays = { Milliseconds(0), Milliseconds(500) }; });
  JobCommand command;
  command.mKind = JobCommandKind::TransferWorker;
  command.mCell = "a/0";
  command.mRequest = { "b/0", { "", "service", { 1000, 1000, 0 } } };
  command.mTimeoutMs = 3000;
  auto transfer = [](std::shared_ptr<CellHolder> aHolder,
                     JobCommand aCommand) -> net::Task<void> {
    co_await aHolder->Execute(std::move(aCommand));
  };
  mPool.Spawn(mPool.Executor(0), transfer(holder, command));
  BOOST_REQUIRE(Until([&] { return mStore.mDelays.empty(); }));

  Do([&] { holder->UpdateWorker(MakeRecord("w1")); });
  Wait(net::Sleep(Milliseconds(700)), true);

  BOOST_TEST(!holder->State().mWorkers.contains("w1"));
  Do([&] {
    holder->RaiseMinToken("w1", 5000);
    holder->UpdateWorker(MakeRecord("w1"));
  });
  BOOST_TEST(Until([&] { return IsKnown(*holder, "w1"); }));
  Do([&] { holder->End(); });
}
