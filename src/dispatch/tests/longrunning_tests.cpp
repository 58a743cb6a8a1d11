#define BOOST_TEST_MODULE dispatch_longrunning
#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/holdertimes.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeFault;
using dispatch::testing::HolderFixture;

/** Time in which a long-running task without a run has to be at work again. */
constexpr auto kRestartLimit = Milliseconds(6000);

/** Four cells with one worker each; two tasks of 10000 CPU millis don't fit on
 * one worker. */
struct FourCells : HolderFixture
{
  static constexpr const char* kId = "000000000000000c";
  const std::string mTask = std::string(kId) + ".0.0.1";

  FourCells()
  {
    mWorkers.mHasRealClock = true;
    mWorkers.mPorts = {
      { "w1", 1 }, { "w2", 2 }, { "w3", 3 }, { "w4", 4 }, { "w5", 5 }
    };
    UseRealHostChoice();
    Add("a/0", { "w1" });
    Add("b/0", { "w2" });
  }

  ~FourCells()
  {
    Do([&] {
      for (const auto& [name, it] : mCells) {
        it->End();
      }
    });
    StopPool();
  }

  auto Add(const std::string& aCell, const std::vector<std::string>& aWorkers)
    -> void
  {
    auto holder = MakeHolder(1, aCell, aWorkers);
    BOOST_REQUIRE(Until([&] {
      return holder->Phase() == HolderPhase::Active &&
             std::all_of(aWorkers.begin(), aWorkers.end(), [&](const auto& it) {
               return holder->State().mWorkers.at(it)->mIsKnown;
             });
    }));
    Do([&] { mCells[aCell] = holder; });
  }

  /** Adds cells with room after the task is in the cell where it should be. */
  auto AddSpareCells() -> void
  {
    Add("c/0", { "w3" });
    Add("d/0", { "w4" });
  }

  static auto MakeLongRunning(const std::string& aId, std::uint32_t aCount)
    -> JobCommand
  {
    auto out = MakeSubmission(aId);
    auto& step = out.mJob.mSpec.mSteps[0];
    step.mCount = aCount;
    step.mNeed.mCpuMillis = 10000;
    step.mIsLongRunning = true;
    return out;
  }

  auto Submit(const JobCommand& aCommand) -> void
  {
    BOOST_REQUIRE(
      (Wait(mCells.at("a/0")->Execute(aCommand)).mOutcome == JobOutcome::Done));
  }

  auto IsRunning(const std::string& aTask) -> bool
  {
    auto out = false;
    Do([&] { out = mWorkers.mRunning.contains(aTask); });
    return out;
  }

  auto RunsWithin(const std::string& aTask, Milliseconds aLimit) -> bool
  {
    const auto end = base::MonotonicClock::now() + aLimit;
    while (!IsRunning(aTask) && base::MonotonicClock::now() < end) {
      Wait(net::Sleep(Milliseconds(20)), true);
    }
    return IsRunning(aTask);
  }

  /** The worker drains; the run of the task there ends when it is stopped. */
  auto Drain(const std::string& aCell, const std::string& aWorker) -> void
  {
    const auto stops = mWorkers.mStops.size();
    Do([&] {
      auto record = MakeRecord(aWorker);
      record.mState = cell::WorkerState::Draining;
      mCells.at(aCell)->UpdateWorker(record);
    });
    BOOST_REQUIRE(Until([&] { return mWorkers.mStops.size() > stops; }));
    Do([&] { mWorkers.End(mTask, cell::EndKind::Stopped); });
  }

  /** Waits on the pool's thread until a holder is active. */
  static auto AwaitActive(std::shared_ptr<CellHolder> aHolder)
    -> net::Task<void>
  {
    while (aHolder->Phase() == HolderPhase::TakingOver) {
      co_await net::Sleep(Milliseconds(5));
    }
  }

  /** The next holder of "b/0" takes over while the present one, which hears no
   * worker any more, still believes that it holds the cell and gets the
   * commands. */
  std::shared_ptr<CellHolder> mOld;
  std::shared_ptr<CellHolder> mNext;
  auto TakeOverHost() -> net::Task<void>
  {
    mOld = mCells.at("b/0");
    mWorkers.mLowestHeardTokens["w2"] = 2000 * kTokensPerVersion;
    mNext = MakeHolder(2, "b/0", { "w2" });
    co_await AwaitActive(mNext);
  }

  /** What the cells know about the task. */
  auto Describe() -> std::string
  {
    std::string out;
    Do([&] {
      for (const auto& [name, holder] : { std::pair("a/0", mCells.at("a/0")),
                                          std::pair("b/0, old", mOld),
                                          std::pair("b/0, next", mNext) }) {
        auto& state = const_cast<cell::CellState&>(holder->State());
        const auto* task = cell::FindTask(state, mTask);
        out += std::string(name) + ": " +
               (task ? "phase " + std::to_string(int(task->mPhase)) +
                         " host '" + task->mHostCell + "'"
                     : "does not know the task") +
               "; ";
      }
    });
    return out;
  }

  /** The entries learn of the claim. */
  auto AnnounceNextHost() -> void
  {
    Do([&] {
      mCells["b/0"] = mNext;
      mOld->End();
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(longrunning, FourCells)

BOOST_AUTO_TEST_CASE(hostedtask_host_cell_loses_its_workers_runs_within_limit)
{
  Do([&] { mCells.at("b/0")->UpdateWorker(MakeRecord("w5")); });
  Submit(MakeLongRunning(kId, 2));
  BOOST_REQUIRE(RunsWithin(mTask, kRestartLimit));
  AddSpareCells();
  for (const auto* it : { "w2", "w5" }) {
    auto isThere = false;
    Do([&] { isThere = mWorkers.mWorkerOf.at(mTask) == it; });
    if (isThere) {
      Drain("b/0", it);
      BOOST_TEST(RunsWithin(mTask, kRestartLimit));
    } else {
      Do([&] {
        auto record = MakeRecord(it);
        record.mState = cell::WorkerState::Draining;
        mCells.at("b/0")->UpdateWorker(record);
      });
    }
  }
  Do([&] { BOOST_TEST(mWorkers.mOverlaps == 0U); });
}

// Guards against a hosted task that only an earlier holder of the host cell
// learns of.
BOOST_AUTO_TEST_CASE(hostedtask_host_taken_over_before_the_write_runs)
{
  Do([&] {
    mExecute = [this](JobCommand aCommand) -> net::Task<JobReply> {
      const auto kind = aCommand.mKind;
      auto reply = co_await ExecuteInCell(std::move(aCommand));
      if (kind == JobCommandKind::ReserveCapacity && !mNext) {
        co_await TakeOverHost();
      }
      co_return reply;
    };
  });
  Submit(MakeLongRunning(kId, 2));
  BOOST_REQUIRE(Until([&] {
    return mStore.Find(
             std::string(kJobTable), "p0", "b/0/" + std::string(kId)) ||
           mStore.Find(std::string(kJobTable), "p1", "b/0/" + std::string(kId));
  }));
  Wait(net::Sleep(Milliseconds(500)), true);
  AnnounceNextHost();
  const auto isRunning = RunsWithin(mTask, kRestartLimit);
  BOOST_TEST(isRunning, Describe());
  Do([&] { BOOST_TEST(mWorkers.mOverlaps == 0U); });
}

BOOST_AUTO_TEST_CASE(hostedtask_host_taken_over_after_the_write_runs)
{
  Do([&] {
    mExecute = [this](JobCommand aCommand) -> net::Task<JobReply> {
      if (aCommand.mKind == JobCommandKind::SyncHostedJob && !mNext) {
        co_await TakeOverHost();
      }
      co_return co_await ExecuteInCell(std::move(aCommand));
    };
  });
  Submit(MakeLongRunning(kId, 2));
  BOOST_REQUIRE(Until([&] { return mNext != nullptr; }));
  Wait(net::Sleep(Milliseconds(500)), true);
  AnnounceNextHost();
  const auto isRunning = RunsWithin(mTask, kRestartLimit);
  BOOST_TEST(isRunning, Describe());
  Do([&] { BOOST_TEST(mWorkers.mOverlaps == 0U); });
}

// Guards against tasks that wait for a worker that left the cell, without a
// run, before its holder changed.
BOOST_AUTO_TEST_CASE(task_worker_left_before_a_takeover_runs)
{
  Submit(MakeLongRunning(kId, 1));
  const auto task = std::string(kId) + ".0.0.0";
  BOOST_REQUIRE(RunsWithin(task, kRestartLimit));
  const auto old = mCells.at("a/0");
  Do([&] { old->UpdateWorker(MakeRecord("w5")); });
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 3; }));
  Do([&] {
    mWorkers.mDraining = { "w5" };
    old->UpdateWorker(MakeRecord("w5"));
  });
  Wait(net::Sleep(Milliseconds(2000)), true);
  Do([&] {
    mWorkers.mUnresponsive = { "w5" };
    old->UnlistWorker("w5");
  });
  Wait(net::Sleep(Milliseconds(1000)), true);
  std::shared_ptr<CellHolder> next;
  Do([&] {
    old->End();
    mWorkers.End(task, cell::EndKind::Stopped);
    next = MakeHolder(2);
    mCells["a/0"] = next;
  });
  BOOST_TEST(RunsWithin(task, kRestartLimit));
  Do([&] { BOOST_TEST(mWorkers.mOverlaps == 0U); });
}

// Guards against tasks that wait for a worker that left the cell, without a
// run, right before its holder changed.
BOOST_AUTO_TEST_CASE(task_worker_left_right_before_a_takeover_runs)
{
  Submit(MakeLongRunning(kId, 1));
  const auto task = std::string(kId) + ".0.0.0";
  BOOST_REQUIRE(RunsWithin(task, kRestartLimit));
  const auto old = mCells.at("a/0");
  Do([&] { old->UpdateWorker(MakeRecord("w5")); });
  BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 3; }));
  Wait(net::Sleep(Milliseconds(500)), true);
  Do([&] {
    mWorkers.mUnresponsive = { "w5" };
    old->UnlistWorker("w5");
  });
  Wait(net::Sleep(Milliseconds(10)), true);
  std::shared_ptr<CellHolder> next;
  Do([&] {
    old->End();
    mWorkers.End(task, cell::EndKind::Stopped);
    next = MakeHolder(2);
    mCells["a/0"] = next;
  });
  BOOST_TEST(RunsWithin(task, kRestartLimit));
  Do([&] { BOOST_TEST(mWorkers.mOverlaps == 0U); });
}

BOOST_AUTO_TEST_CASE(migration_reply_lost_store_answers_again_task_runs)
{
  AddSpareCells();
  for (const auto fault : { FakeFault::LoseReply, FakeFault::LoseCall }) {
    const auto isApplied = fault == FakeFault::LoseReply;
    const std::string id = isApplied ? "0000000000000001" : "0000000000000002";
    auto hasMigrated = false;
    Do([&] {
      mFindEmptier = [&](const std::string& aFrom,
                         const cell::MigratableJob& aJob) {
        return !hasMigrated && aFrom == "a/0" && aJob.mId == id
                 ? std::optional<std::string>("b/0")
                 : std::nullopt;
      };
      mExecute = [&](JobCommand aCommand) -> net::Task<JobReply> {
        if (aCommand.mKind == JobCommandKind::ImportJob) {
          hasMigrated = true;
          mStore.mFaults.assign(1000, FakeFault::Refuse);
          mStore.mFaults.push_front(fault);
        }
        return ExecuteInCell(std::move(aCommand));
      };
    });
    Submit(MakeLongRunning(id, 1));
    BOOST_REQUIRE(Until([&] { return hasMigrated; }));
    Wait(net::Sleep(Milliseconds(2000)), true);
    Do([&] { mStore.mFaults.clear(); });
    BOOST_TEST(RunsWithin(id + ".0.0.0", kRestartLimit));
    Do([&] {
      mFindEmptier = [](const std::string&, const cell::MigratableJob&) {
        return std::optional<std::string>();
      };
      mExecute = [this](JobCommand aCommand) {
        return ExecuteInCell(std::move(aCommand));
      };
      BOOST_TEST(mWorkers.mOverlaps == 0U);
    });
  }
}

BOOST_AUTO_TEST_SUITE_END()
