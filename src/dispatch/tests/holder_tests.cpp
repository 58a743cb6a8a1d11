#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/claiming.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeFault;
using dispatch::testing::HolderFixture;

} // namespace

BOOST_FIXTURE_TEST_SUITE(holder, HolderFixture)

BOOST_AUTO_TEST_CASE(job_submitted_runs_and_is_reported_done_once_stored)
{
  const auto holder = MakeHolder(1);
  const auto reply = Wait(holder->Execute(MakeSubmission("0000000000000001")));
  BOOST_TEST((reply.mOutcome == JobOutcome::Done));
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 1; }));
  BOOST_REQUIRE(Until([&] {
    mWorkers.End("0000000000000001.0.0.0", cell::EndKind::Done);
    return true;
  }));

  BOOST_TEST(
    Until([&] { return IdState("0000000000000001") == cell::JobState::Done; }));
  BOOST_TEST(Until([&] { return mWorkers.mAcknowledged == 1; }));
  BOOST_TEST(CountRows(kJobTable) == 0U);
  Until([&] {
    holder->End();
    return true;
  });
}

BOOST_AUTO_TEST_CASE(job_store_reply_lost_is_accepted_once)
{
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return holder->Phase() == HolderPhase::Active; }));
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 1; }));
  Until([&] {
    mStore.mFaults = { FakeFault::LoseReply };
    return true;
  });

  const auto reply = Wait(holder->Execute(MakeSubmission("0000000000000002")));

  BOOST_TEST((reply.mOutcome == JobOutcome::Done));
  BOOST_TEST(Until([&] { return mWorkers.mStarts.size() == 1; }));
  BOOST_TEST(CountRows(kJobTable) == 1U);
  Until([&] {
    holder->End();
    return true;
  });
}

BOOST_AUTO_TEST_CASE(job_store_refuses_is_not_run)
{
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 1; }));
  Until([&] {
    mStore.mFaults = { FakeFault::Refuse };
    return true;
  });

  const auto reply = Wait(holder->Execute(MakeSubmission("0000000000000003")));

  BOOST_TEST((reply.mOutcome == JobOutcome::Refused));
  BOOST_TEST(mWorkers.mStarts.empty());
  Until([&] {
    holder->End();
    return true;
  });
}

BOOST_AUTO_TEST_CASE(nextholder_adopts_runs_and_the_previous_one_ends)
{
  const auto first = MakeHolder(1);
  Wait(first->Execute(MakeSubmission("0000000000000004")));
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 1; }));

  const auto second = MakeHolder(2);

  BOOST_TEST(Until([&] { return first->Phase() == HolderPhase::Ended; }));
  BOOST_REQUIRE(Until([&] { return second->Phase() == HolderPhase::Active; }));
  BOOST_REQUIRE(
    Until([&] { return second->State().mUnreconciledWorkers.empty(); }));
  Until([&] {
    mWorkers.End("0000000000000004.0.0.0", cell::EndKind::Done);
    return true;
  });
  BOOST_TEST(
    Until([&] { return IdState("0000000000000004") == cell::JobState::Done; }));
  BOOST_TEST(mWorkers.mStarts.size() == 1U);
  Until([&] {
    second->End();
    return true;
  });
}

BOOST_AUTO_TEST_CASE(shutdown_during_a_slow_write_acknowledges_only_stored_ends)
{
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 1; }));
  for (const auto* id : { "0000000000000006", "0000000000000007" }) {
    auto submission = MakeSubmission(id);
    submission.mJob.mSpec.mSteps[0].mCount = 2;
    Wait(holder->Execute(submission));
  }
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 4; }));
  Until([&] {
    mStore.mDelays = { Milliseconds(600) };
    mStore.mFaults = { FakeFault::LoseCall };
    mWorkers.End("0000000000000006.0.0.0", cell::EndKind::Done);
    return true;
  });
  BOOST_REQUIRE(Until([&] { return !holder->State().mDirty.empty(); }));

  auto finish = [](std::shared_ptr<CellHolder> aHolder) -> net::Task<void> {
    co_await aHolder->Shutdown();
  };
  mPool.Spawn(mPool.Executor(0), finish(holder));
  BOOST_REQUIRE(Until([&] { return mStore.mDelays.empty(); }));
  Until([&] {
    mWorkers.End("0000000000000007.0.0.0", cell::EndKind::Done);
    return true;
  });

  BOOST_TEST(Until([&] { return holder->Phase() == HolderPhase::Ended; }));
  BOOST_TEST(mWorkers.mAcknowledged == 0U);
}

BOOST_AUTO_TEST_CASE(worker_unresponsive_loses_its_runs_when_its_lease_expires)
{
  mSettings.mLeaseMs = 400;
  const auto holder = MakeHolder(1);
  Wait(holder->Execute(MakeSubmission("000000000000000b")));
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 1; }));
  const auto runs = [&] {
    return holder->State().mWorkers.at("w1")->mRuns.size();
  };
  BOOST_REQUIRE(Until([&] { return runs() == 1; }));
  Until([&] {
    mWorkers.mUnresponsive = { "w1" };
    return true;
  });
  BOOST_TEST(Until([&] { return runs() == 0; }));
  Until([&] {
    holder->End();
    return true;
  });
}

BOOST_AUTO_TEST_CASE(
  longrunningtask_without_capacity_runs_in_another_cell_until_cancelled)
{
  const auto full = MakeHolder(1);
  auto host = MakeHolder(1, "b/0", { "w2" });
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
  Until([&] {
    mCells = { { "a/0", full }, { "b/0", host } };
    mHostCells = { "b/0" };
    return true;
  });
  const auto* id = "000000000000000c";
  auto submission = MakeSubmission(id);
  auto& step = submission.mJob.mSpec.mSteps[0];
  step.mCount = 2;
  step.mNeed.mCpuMillis = 10000;
  step.mIsLongRunning = true;
  Wait(full->Execute(submission));

  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 2; }));
  BOOST_TEST(mWorkers.mWorkerOf.at("000000000000000c.0.0.0") == "w1");
  BOOST_TEST(mWorkers.mWorkerOf.at("000000000000000c.0.0.1") == "w2");

  // The next holders know which cell runs which task, and start none twice.
  const auto nextFull = MakeHolder(2);
  const auto nextHost = MakeHolder(2, "b/0", { "w2" });
  Until([&] {
    mCells = { { "a/0", nextFull }, { "b/0", nextHost } };
    return true;
  });
  for (const auto& it : { nextFull, nextHost }) {
    BOOST_REQUIRE(Until([&] { return it->Phase() == HolderPhase::Active; }));
    BOOST_REQUIRE(
      Until([&] { return it->State().mUnreconciledWorkers.empty(); }));
  }
  Wait(net::Sleep(Milliseconds(1500)), 0);
  BOOST_TEST(mWorkers.mStarts.size() == 2U);

  auto cancel = submission;
  cancel.mKind = JobCommandKind::Cancel;
  cancel.mCell = "b/0";
  BOOST_TEST(
    (Wait(nextHost->Execute(cancel)).mOutcome == JobOutcome::NotInCell));
  BOOST_TEST((Wait(nextFull->Execute(cancel)).mOutcome == JobOutcome::Done));
  BOOST_TEST(Until([&] { return mWorkers.mStops.size() == 2; }));
  BOOST_TEST(CountRows(kJobTable) == 0U);
  Until([&] {
    nextFull->End();
    nextHost->End();
    return true;
  });
}

BOOST_AUTO_TEST_CASE(
  longrunningtask_refused_by_the_freest_cell_is_hosted_by_another)
{
  const auto full = MakeHolder(1);
  const auto host = MakeHolder(1, "b/0", { "w2" });
  BOOST_REQUIRE(Until([&] { return full->Phase() == HolderPhase::Active; }));
  BOOST_REQUIRE(Until([&] { return host->Phase() == HolderPhase::Active; }));
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
  Until([&] {
    // Nobody holds "c/0", so it refuses.
    mCells = { { "a/0", full }, { "b/0", host } };
    mHostCells = { "c/0", "b/0" };
    return true;
  });
  auto submission = MakeSubmission("000000000000000d");
  auto& step = submission.mJob.mSpec.mSteps[0];
  step.mCount = 2;
  step.mNeed.mCpuMillis = 10000;
  step.mIsLongRunning = true;
  Wait(full->Execute(submission));
  BOOST_TEST(Until([&] { return mWorkers.mStarts.size() == 2; }));
  Until([&] {
    full->End();
    host->End();
    return true;
  });
}

BOOST_AUTO_TEST_CASE(shutdown_during_a_submission_is_not_reported_as_not_run)
{
  const auto submit = [&](const std::string& aId, FakeFault aFault) {
    const auto holder = MakeHolder(1);
    Until([&] { return holder->Phase() == HolderPhase::Active; });
    Until([&] { return CountRows(kMemberTable) == 1; });
    Until([&] {
      mStore.mDelays = { Milliseconds(100) };
      mStore.mFaults = { aFault };
      return true;
    });
    auto end = [](std::shared_ptr<CellHolder> aHolder) -> net::Task<void> {
      co_await net::Sleep(Milliseconds(50));
      co_await aHolder->Shutdown();
    };
    mPool.Spawn(mPool.Executor(0), end(holder));
    return Wait(holder->Execute(MakeSubmission(aId))).mOutcome;
  };
  BOOST_TEST((submit("0000000000000008", FakeFault::None) == JobOutcome::Done));
  BOOST_TEST((submit("0000000000000009", FakeFault::LoseReply) ==
              JobOutcome::Uncertain));
  BOOST_TEST(
    (submit("000000000000000a", FakeFault::Refuse) == JobOutcome::CellNotHeld));
}

BOOST_AUTO_TEST_CASE(
  holder_suspended_longer_than_its_claim_lasts_waits_for_a_confirmation)
{
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return holder->Phase() == HolderPhase::Active; }));
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 1; }));
  mSuspended = Milliseconds(30000);
  const auto refused =
    Wait(holder->Execute(MakeSubmission("0000000000000001")));
  BOOST_TEST((refused.mOutcome == JobOutcome::CellNotHeld));
  BOOST_TEST(mWorkers.mStarts.empty());
  BOOST_TEST(!holder->GetStatus().mIsActive);

  Until([&] {
    holder->ConfirmClaim(base::BootNow() + mSuspended);
    return true;
  });
  const auto reply = Wait(holder->Execute(MakeSubmission("0000000000000001")));
  BOOST_TEST((reply.mOutcome == JobOutcome::Done));
  BOOST_TEST(Until([&] { return mWorkers.mStarts.size() == 1; }));
  Until([&] {
    holder->End();
    return true;
  });
}

BOOST_AUTO_TEST_CASE(job_cancelled_is_stored_before_the_reply)
{
  const auto holder = MakeHolder(1);
  Wait(holder->Execute(MakeSubmission("0000000000000005")));
  auto cancel = MakeSubmission("0000000000000005");
  cancel.mKind = JobCommandKind::Cancel;

  const auto reply = Wait(holder->Execute(cancel));

  BOOST_TEST((reply.mOutcome == JobOutcome::Done));
  BOOST_TEST((IdState("0000000000000005") == cell::JobState::Cancelled));
  Until([&] {
    holder->End();
    return true;
  });
}

BOOST_AUTO_TEST_SUITE_END()
