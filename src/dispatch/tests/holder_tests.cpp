#include <boost/test/unit_test.hpp>

#include "eelgrasspost/net/codec.h"
#include "fakestore.h"
#include "internal/cellholder.h"
#include "internal/claiming.h"
#include "poolfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeFault;
using dispatch::testing::FakeStore;
using dispatch::testing::PoolFixture;

/** Workers that execute all orders; the test ends their runs. */
class FakeWorkers final : public IWorkerOrders
{
public:
  std::vector<cell::Order> mStarts;
  std::vector<cell::Order> mStops;
  std::map<std::string, std::string> mWorkerOf;
  std::map<std::string, cell::RunningRow> mRunning;
  std::vector<cell::EndRow> mEnds;
  std::uint64_t mAcknowledged = 0;
  std::uint64_t mHighestToken = 0;
  std::int64_t mClockMs = 1000;
  bool mIsUnresponsive = false;

  auto End(const std::string& aTask, cell::EndKind aKind) -> void
  {
    const auto attempt = mRunning.at(aTask).mAttempt;
    mRunning.erase(aTask);
    mEnds.push_back({ ++mLastEnd, aTask, attempt, aKind, "" });
  }

  auto Send(WorkerCall aCall, const cell::Order& aOrder, std::int64_t)
    -> net::Task<OrderReply> override
  {
    if (aCall.mToken < mHighestToken) {
      co_return OrderReply{ cell::OrderOutcome::Superseded, ++mClockMs };
    }
    mHighestToken = aCall.mToken;
    if (aOrder.mKind == cell::OrderKind::Start) {
      mStarts.push_back(aOrder);
      mWorkerOf[aOrder.mTask] = aCall.mWorker;
      mRunning[aOrder.mTask] = { aOrder.mTask, aOrder.mAttempt, "", 1, 0 };
    }
    if (aOrder.mKind == cell::OrderKind::Stop) {
      mStops.push_back(aOrder);
    }
    co_return OrderReply{ cell::OrderOutcome::Done, ++mClockMs };
  }

  auto Renew(WorkerCall aCall, LeaseRenewal aRenewal)
    -> net::Task<LeaseRenewalReply> override
  {
    co_await net::Sleep(Milliseconds(5));
    LeaseRenewalReply out;
    if (mIsUnresponsive) {
      co_return out;
    }
    if (aCall.mToken < mHighestToken) {
      out.mOutcome = cell::OrderOutcome::Superseded;
      co_return out;
    }
    mHighestToken = aCall.mToken;
    mAcknowledged = std::max(mAcknowledged, aRenewal.mStoredEnds);
    std::erase_if(mEnds, [&](const cell::EndRow& aEnd) {
      return aEnd.mNumber <= mAcknowledged;
    });
    out.mOutcome = cell::OrderOutcome::Done;
    out.mReport.mIncarnationStartMs = 1;
    mClockMs += 10;
    out.mReport.mClockMs = mClockMs;
    for (auto& [name, it] : mRunning) {
      if (mWorkerOf.at(name) == aCall.mWorker) {
        it.mPercent += 1;
        out.mReport.mRunning.push_back(it);
      }
    }
    for (const auto& it : mEnds) {
      if (mWorkerOf.at(it.mTask) == aCall.mWorker) {
        out.mReport.mEnds.push_back(it);
      }
    }
    co_return out;
  }

private:
  std::uint64_t mLastEnd = 0;
};

struct HolderFixture : PoolFixture
{
  DispatchSettings mSettings;
  FakeStore mStore;
  FakeWorkers mWorkers;
  base::Metrics mMetrics;
  base::EventLog mLog{ "test" };

  ~HolderFixture() { StopPool(); }

  /** Holders by cell name, for commands between cells. */
  std::map<std::string, std::shared_ptr<CellHolder>> mCells;
  /** The cells that report capacity for long-running tasks, the one with the
   * most first. */
  std::vector<std::string> mHostCells;
  /** Time for which the VM of the holders was suspended. */
  Milliseconds mSuspended{ 0 };

  auto MakeHolder(std::uint64_t aTerm,
                  const std::string& aCell = "a/0",
                  const std::string& aWorker = "w1")
    -> std::shared_ptr<CellHolder>
  {
    HolderContext context{
      mSettings,
      mStore,
      mWorkers,
      mMetrics,
      mLog,
      mPool.Executor(0),
      1,
      2,
      [](const cell::MigratableJob&) { return std::optional<std::string>(); },
      [](const cell::MigratableJob&) { return std::optional<std::string>(); },
      [this](JobCommand aCommand) -> net::Task<JobReply> {
        const auto it = mCells.find(aCommand.mCell);
        if (it == mCells.end()) {
          co_return JobReply{ JobOutcome::CellNotHeld };
        }
        co_return co_await it->second->Execute(std::move(aCommand));
      },
      [this](const cell::Resources&, const std::set<std::string>& aExcluded) {
        for (const auto& it : mHostCells) {
          if (!aExcluded.contains(it)) {
            return std::optional(it);
          }
        }
        return std::optional<std::string>();
      },
      [] { return std::vector<std::string>(); },
      [this] { return base::BootNow() + mSuspended; }
    };
    CellRow row;
    row.mName = aCell;
    row.mDomain = "a";
    row.mTerm = aTerm;
    auto out = std::make_shared<CellHolder>(context, row, aTerm * 1000);
    cell::WorkerRecord worker;
    worker.mId = aWorker;
    worker.mService = "service";
    worker.mCapacity = { 16000, 64000, 0 };
    mPool.Spawn(mPool.Executor(0), out->Run({ worker }, true));
    return out;
  }

  static auto MakeSubmission(const std::string& aId) -> JobCommand
  {
    JobCommand out;
    out.mCell = "a/0";
    out.mJobId = aId;
    out.mTimeoutMs = 3000;
    out.mJob.mSpec.mId = aId;
    cell::StepSpec step;
    step.mCount = 1;
    step.mNeed = { 1000, 1000, 0 };
    out.mJob.mSpec.mSteps = { step };
    out.mJob.mQueue.mName = "queue";
    out.mJob.mQueue.mService = "service";
    out.mJob.mQueue.mMaxAttempts = 3;
    return out;
  }

  auto IdState(const std::string& aId) -> std::optional<cell::JobState>
  {
    for (const auto& [key, it] : mStore.mRows) {
      if (it.mTable == kIdTable && it.mKey == aId) {
        return net::Decode<JobIdRow>(it.mValue)->mState;
      }
    }
    return std::nullopt;
  }

  auto CountRows(std::string_view aTable) -> std::size_t
  {
    std::size_t out = 0;
    for (const auto& [key, it] : mStore.mRows) {
      out += it.mTable == aTable ? 1 : 0;
    }
    return out;
  }
};

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
    mWorkers.mIsUnresponsive = true;
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
  auto host = MakeHolder(1, "b/0", "w2");
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
  const auto nextHost = MakeHolder(2, "b/0", "w2");
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
  const auto host = MakeHolder(1, "b/0", "w2");
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
