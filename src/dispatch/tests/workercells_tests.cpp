#define BOOST_TEST_MODULE dispatch_workercells
#include <boost/test/unit_test.hpp>

#include "entryfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::EntryFixture;
using dispatch::testing::FakeFault;
using dispatch::testing::HolderFixture;

constexpr auto kSettlingTime = Milliseconds(300);

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

/** A holder of "a/0" with worker w1, whose row of a transfer is written late:
 * the commit that precedes it removes the worker from the members. */
struct LateTransfer : HolderFixture
{
  std::shared_ptr<CellHolder> mFirst = MakeHolder(1);
  JobOutcome mOutcome = JobOutcome::Done;

  LateTransfer()
  {
    BOOST_REQUIRE(Until([&] {
      const auto& workers = mFirst->State().mWorkers;
      return workers.contains("w1") && workers.at("w1")->mIsKnown;
    }));
    Do([&] { mStore.mFaults = { FakeFault::None, FakeFault::ApplyLate }; });
    mOutcome = Wait(mFirst->Execute(MakeTransfer())).mOutcome;
  }

  ~LateTransfer() { StopPool(); }

  auto IsLent() -> bool
  {
    auto out = false;
    Do([&] {
      out = mStore.Find(std::string(kControlTable), "", "lent/w1") != nullptr;
    });
    return out;
  }
};

} // namespace

// Guards against a worker in two cells, of which the one that did not start a
// task acknowledges its end: the task then starts again.
BOOST_AUTO_TEST_SUITE(worker_in_two_cells)

// The row of the transfer was written after the next holder had claimed the
// cell, together with the worker.
BOOST_FIXTURE_TEST_CASE(
  transfer_written_after_the_cell_was_claimed_again_has_no_effect,
  LateTransfer)
{
  const auto next = MakeHolder(2);
  BOOST_REQUIRE(Until([&] { return next->Phase() == HolderPhase::Active; }));
  Do([&] { mStore.ApplyLateCalls(); });

  BOOST_TEST((mOutcome == JobOutcome::Refused));
  BOOST_TEST(!IsLent());
  Do([&] {
    mFirst->End();
    next->End();
  });
}

// The row of an earlier transfer replaced that of a later one.
BOOST_FIXTURE_TEST_CASE(
  transfer_written_after_a_later_one_of_the_worker_has_no_effect,
  LateTransfer)
{
  const auto later = net::Encode(WorkerTransferRow{ "w1", "c/0" });
  Do([&] {
    StoreTransaction transaction;
    transaction.mWrites.push_back(
      { { std::string(kControlTable), "lent/w1" }, later });
    mStore.Apply(transaction);
    mStore.ApplyLateCalls();
  });

  Do([&] {
    const auto* row = mStore.Find(std::string(kControlTable), "", "lent/w1");
    BOOST_TEST((row->mValue == later));
    mFirst->End();
  });
}

// The worker was used again as it had been listed before the transfer.
BOOST_FIXTURE_TEST_CASE(
  worker_that_drains_during_a_refused_transfer_gets_no_start,
  HolderFixture)
{
  constexpr auto kCommitTime = Milliseconds(200);
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] {
    const auto& workers = holder->State().mWorkers;
    return workers.contains("w1") && workers.at("w1")->mIsKnown;
  }));
  Do([&] {
    mStore.mFaults = { FakeFault::None, FakeFault::Refuse };
    mStore.mDelays = { kCommitTime };
    mPool.Spawn(mPool.Executor(0),
                [](std::shared_ptr<CellHolder> aHolder) -> net::Task<void> {
                  co_await aHolder->Execute(MakeTransfer());
                }(holder));
  });
  BOOST_REQUIRE(
    Until([&] { return !holder->State().mWorkers.contains("w1"); }));
  Do([&] {
    mWorkers.mDraining = { "w1" };
    holder->UpdateWorker(MakeRecord("w1"));
  });
  BOOST_REQUIRE(Until([&] { return holder->State().mWorkers.contains("w1"); }));
  Wait(holder->Execute(MakeSubmission("0000000000000001")));
  Wait(net::Sleep(kSettlingTime), true);

  Do([&] {
    BOOST_TEST(mWorkers.mStarts.empty());
    holder->End();
  });
}

BOOST_FIXTURE_TEST_CASE(
  worker_that_leaves_during_a_refused_transfer_is_not_used_again,
  HolderFixture)
{
  constexpr auto kCommitTime = Milliseconds(200);
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] {
    const auto& workers = holder->State().mWorkers;
    return workers.contains("w1") && workers.at("w1")->mIsKnown;
  }));
  Do([&] {
    mStore.mFaults = { FakeFault::None, FakeFault::Refuse };
    mStore.mDelays = { kCommitTime };
    mPool.Spawn(mPool.Executor(0),
                [](std::shared_ptr<CellHolder> aHolder) -> net::Task<void> {
                  co_await aHolder->Execute(MakeTransfer());
                }(holder));
  });
  BOOST_REQUIRE(
    Until([&] { return !holder->State().mWorkers.contains("w1"); }));
  Do([&] { holder->UnlistWorker("w1"); });
  Wait(net::Sleep(2 * kCommitTime), true);

  Do([&] {
    BOOST_TEST(!holder->State().mWorkers.contains("w1"));
    holder->End();
  });
}

// An entry claimed a cell before it had read that a worker had left the cell,
// and kept the worker.
BOOST_FIXTURE_TEST_CASE(
  cell_claimed_before_a_transfer_was_read_worker_gets_no_call,
  EntryFixture)
{
  ListWorker(16000);
  AddJob(1);
  Set(mStore.mRefusesFeeds, true);
  StartEntry("other");
  Wait(net::Sleep(kSettlingTime), true);
  Write("",
        kControlTable,
        "lent/w1",
        net::Encode(WorkerTransferRow{ "w1", "b/0" }));
  BOOST_REQUIRE(Until([&] {
    const auto* row = mStore.Find(std::string(kControlTable), "", "cell/a/0");
    return net::Decode<CellRow>(row->mValue)->mHolder == "entry";
  }));
  Settle();

  BOOST_TEST(CountStarts() == 0U);
  Until([&] {
    BOOST_TEST(mWorkers.mTokens.empty());
    return true;
  });
}

BOOST_AUTO_TEST_SUITE_END()
