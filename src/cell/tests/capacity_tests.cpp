#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

struct CapacityFixture : CellFixture
{
  CapacityFixture() { mCell.mPolicy.mPlacementDelay = Milliseconds(0); }

  /** The platform lists a worker with another capacity. */
  auto SetCapacity(const std::string& aId, Resources aCapacity) -> void
  {
    auto record = mCell.mWorkers.at(aId)->mRecord;
    record.mCapacity = aCapacity;
    UpdateWorker(mCell, record, mNow);
  }

  /** Collects the orders after the interval at which waiting tasks are tried
   * again. */
  auto StartLater() -> std::vector<Order>
  {
    Advance(Milliseconds(50));
    return Start();
  }

  static auto CountStarts(const std::vector<Order>& aOrders) -> std::size_t
  {
    return static_cast<std::size_t>(
      std::count_if(aOrders.begin(), aOrders.end(), [](const Order& aOrder) {
        return aOrder.mKind == OrderKind::Start;
      }));
  }

  static auto RowOf(const Order& aOrder) -> RunningRow
  {
    return { aOrder.mTask, aOrder.mAttempt, "", 1, 0 };
  }

  static auto EndOf(const Order& aOrder, std::uint64_t aNumber, EndKind aKind)
    -> EndRow
  {
    return { aNumber, aOrder.mTask, aOrder.mAttempt, aKind, "" };
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(capacity, CapacityFixture)

BOOST_AUTO_TEST_CASE(worker_with_less_capacity_keeps_its_runs)
{
  AddWorker("w1", 4000);
  Add(MakeJob("1", MakeStep(4)));
  BOOST_REQUIRE(CountStarts(Start()) == 4U);
  SetCapacity("w1", { 1000, 64000, 0 });
  Advance(Milliseconds(50));
  CheckRuns(mCell, mNow);
  BOOST_TEST(Start().empty());
}

BOOST_AUTO_TEST_CASE(worker_with_less_capacity_counts_what_is_being_stopped)
{
  AddWorker("w1", 4000);
  Add(MakeJob("1", MakeStep(4)));
  const auto starts = Start();
  BOOST_REQUIRE(CountStarts(starts) == 4U);
  SetCapacity("w1", { 3000, 64000, 0 });
  RemoveJob(mCell, "1");
  Add(MakeJob("2", MakeStep(1)));
  BOOST_TEST(CountStarts(StartLater()) == 0U);
  // Two ends are listed; the other two runs still use 2000 of 3000.
  Report("w1",
         { RowOf(starts[2]), RowOf(starts[3]) },
         { EndOf(starts[0], 1, EndKind::Stopped),
           EndOf(starts[1], 2, EndKind::Stopped) });
  BOOST_TEST(CountStarts(StartLater()) == 1U);
}

BOOST_AUTO_TEST_CASE(worker_with_less_memory_gets_no_besteffort_task_over_it)
{
  AddWorker("w1", 8000);
  Add(MakeJob("1", MakeBestEffort(2, 1000, "filler")));
  BOOST_REQUIRE(CountStarts(Start()) == 2U);
  SetCapacity("w1", { 8000, 2500, 0 });
  Add(MakeJob("2", MakeBestEffort(1, 1000, "filler")));
  BOOST_TEST(CountStarts(StartLater()) == 0U);
  SetCapacity("w1", { 8000, 3000, 0 });
  BOOST_TEST(CountStarts(StartLater()) == 1U);
}

BOOST_AUTO_TEST_CASE(worker_with_fewer_accelerators_gets_no_task_over_them)
{
  AddWorker("w1", 8000);
  SetCapacity("w1", { 8000, 64000, 2 });
  auto step = MakeStep(2, 100);
  step.mNeed.mAccelerators = 1;
  Add(MakeJob("1", step));
  BOOST_REQUIRE(CountStarts(Start()) == 2U);
  SetCapacity("w1", { 8000, 64000, 1 });
  step.mCount = 1;
  Add(MakeJob("2", step));
  BOOST_TEST(CountStarts(StartLater()) == 0U);
  SetCapacity("w1", { 8000, 64000, 3 });
  BOOST_TEST(CountStarts(StartLater()) == 1U);
}

// A run was added to the use of its image as a share of one capacity and
// subtracted as a share of another, so that the image seemed to run for ever.
BOOST_AUTO_TEST_CASE(besteffortuse_after_a_change_of_capacity_leaves_no_residue)
{
  AddWorker("w1", 8000);
  Add(MakeJob("1", MakeBestEffort(2, 1000, "filler")));
  const auto starts = Start();
  BOOST_REQUIRE(CountStarts(starts) == 2U);
  SetCapacity("w1", { 16000, 64000, 0 });
  const auto& uses = mCell.mWorkers.at("w1")->mBestEffortUses;
  BOOST_REQUIRE(uses.size() == 1U);
  BOOST_TEST(uses[0].mUse == 2000.0 / 16000.0);
  Report(
    "w1",
    {},
    { EndOf(starts[0], 1, EndKind::Done), EndOf(starts[1], 2, EndKind::Done) });
  BOOST_TEST(uses.empty());
}

// Free capacity of a worker over its capacity was negative and hid that of the
// other workers from other cells.
BOOST_AUTO_TEST_CASE(room_of_a_worker_over_its_capacity_hides_no_other_room)
{
  AddWorker("w1", 8000);
  Add(MakeJob("1", MakeStep(8)));
  BOOST_REQUIRE(CountStarts(Start()) == 8U);
  SetCapacity("w1", { 2000, 4000, 0 });
  AddWorker("w2", 5000);
  const auto room = RoomOf(mCell, mNow);
  BOOST_TEST(room.mFree.mCpuMillis == 5000);
  BOOST_TEST(room.mFree.mMemoryMb == 64000);
  BOOST_TEST(room.mLargestCpuMillis == 5000);
  BOOST_TEST(room.mLeftoverCpuMillis == 5000);
  BOOST_TEST(room.mCapacityCpuMillis == 7000);
}

// An untracked run was counted with the capacity that its worker had when the
// run was found; it may use more once the worker has regained capacity.
BOOST_AUTO_TEST_CASE(untrackedrun_on_a_worker_with_more_capacity_blocks_starts)
{
  AddWorker("w1", 2000);
  Report("w1", { { "unknown.0.0.0", 7, "", 1, 0 } }, {});
  SetCapacity("w1", { 16000, 128000, 0 });
  Add(MakeJob("1", MakeStep(1)));
  Add(MakeJob("2", MakeBestEffort(1, 1000, "filler")));
  BOOST_TEST(CountStarts(StartLater()) == 0U);
  BOOST_TEST(RoomOf(mCell, mNow).mLargestCpuMillis == 0);
  Report("w1", {}, { { 1, "unknown.0.0.0", 7, EndKind::Stopped, "" } });
  BOOST_TEST(CountStarts(StartLater()) == 2U);
}

// A reservation that no longer fits kept the capacity from short tasks.
BOOST_AUTO_TEST_CASE(reservation_over_the_capacity_is_given_up)
{
  AddWorker("w1", 8000);
  BOOST_REQUIRE(ReserveCapacity(
    mCell, { "2.0.0.0", "service", { 6000, 1000, 0 } }, false, mNow));
  SetCapacity("w1", { 4000, 64000, 0 });
  Add(MakeJob("1", MakeStep(4)));
  BOOST_TEST(CountStarts(StartLater()) == 4U);
}

BOOST_AUTO_TEST_CASE(longrunningtask_waiting_for_capacity_starts_when_it_grows)
{
  AddWorker("w1", 4000);
  auto step = MakeStep(1, 6000);
  step.mIsLongRunning = true;
  Add(MakeJob("1", step));
  BOOST_TEST(CountStarts(Start()) == 0U);
  SetCapacity("w1", { 6000, 64000, 0 });
  BOOST_TEST(CountStarts(StartLater()) == 1U);
}

BOOST_AUTO_TEST_CASE(worker_with_less_capacity_is_not_transferred_for_more)
{
  AddWorker("w1", 8000);
  const auto need = Resources{ 6000, 1000, 0 };
  BOOST_TEST(FindTransferable(mCell, "service", need, mNow) != nullptr);
  SetCapacity("w1", { 4000, 64000, 0 });
  BOOST_TEST(FindTransferable(mCell, "service", need, mNow) == nullptr);
  BOOST_TEST(
    !ReserveCapacity(mCell, { "2.0.0.0", "service", need }, true, mNow));
}

BOOST_AUTO_TEST_CASE(worker_not_listed_gets_no_start_whatever_its_capacity)
{
  AddWorker("w1", 8000);
  UnlistWorker(mCell, "w1");
  Add(MakeJob("1", MakeStep(1)));
  BOOST_TEST(CountStarts(StartLater()) == 0U);
  SetCapacity("w1", { 500, 64000, 0 });
  BOOST_TEST(CountStarts(StartLater()) == 0U);
  SetCapacity("w1", { 1000, 64000, 0 });
  BOOST_TEST(CountStarts(StartLater()) == 1U);
}

BOOST_AUTO_TEST_CASE(workerlist_outdated_allows_starts_up_to_lowest_capacities)
{
  AddWorker("w1", 8000);
  AddWorker("w2", 3000);
  SetCapacity("w1", { 2000, 64000, 0 });
  SetCapacity("w1", { 8000, 64000, 0 });
  mCell.mWorkerListState = WorkerListState::Outdated;
  Add(MakeJob("1", MakeStep(20)));
  BOOST_TEST(CountStarts(StartLater()) == 5U);
  mCell.mWorkerListState = WorkerListState::Current;
  BOOST_TEST(CountStarts(StartLater()) == 6U);
}

BOOST_AUTO_TEST_CASE(workerlist_outdated_counts_only_the_current_incarnation)
{
  AddWorker("w1", 2000);
  auto record = mCell.mWorkers.at("w1")->mRecord;
  record.mIncarnationStartMs = 2;
  record.mCapacity.mCpuMillis = 4000;
  UpdateWorker(mCell, record, mNow);
  BOOST_TEST(mCell.mWorkers.at("w1")->mLowestCapacity.mCpuMillis == 4000);
}

BOOST_AUTO_TEST_CASE(workerlist_unconfirmed_allows_stops_but_no_starts)
{
  AddWorker("w1", 8000);
  Add(MakeJob("1", MakeStep(1)));
  BOOST_REQUIRE(CountStarts(Start()) == 1U);
  RemoveJob(mCell, "1");
  Add(MakeJob("2", MakeStep(1)));
  mCell.mWorkerListState = WorkerListState::Unconfirmed;
  const auto orders = StartLater();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].mKind == OrderKind::Stop));
  mCell.mWorkerListState = WorkerListState::Current;
  BOOST_TEST(CountStarts(StartLater()) == 1U);
}

BOOST_AUTO_TEST_CASE(workerlist_is_outdated_only_with_a_recent_failure)
{
  const auto classify = [](std::int64_t aConfirmed, std::int64_t aFailed) {
    return ClassifyWorkerList(
      { Milliseconds(aConfirmed), Milliseconds(aFailed) },
      Milliseconds(2500),
      Milliseconds(2900));
  };
  BOOST_TEST((classify(2500, 10) == WorkerListState::Current));
  BOOST_TEST((classify(2501, 10) == WorkerListState::Outdated));
  BOOST_TEST((classify(5000, 2900) == WorkerListState::Outdated));
  BOOST_TEST((classify(5000, 2901) == WorkerListState::Unconfirmed));
}

BOOST_AUTO_TEST_CASE(startable_tasks_are_counted_by_size_and_worker)
{
  AddWorker("w1", 7000);
  AddWorker("w2", 4000);
  const auto counts = RoomOf(mCell, mNow).mStartable;
  BOOST_TEST(CountStartable(counts, 3000) == 3U);
  BOOST_TEST(CountStartable(counts, 3500) == 2U);
  BOOST_TEST(CountStartable(counts, 6000) == 1U);
  BOOST_TEST(CountStartable(counts, 8000) == 0U);
  BOOST_TEST(CountStartable(counts, 20000) == 0U);
}

// The counts of cells with many large workers wrapped around.
BOOST_AUTO_TEST_CASE(startable_tasks_of_large_workers_are_capped)
{
  for (auto i = 0; i < 140; ++i) {
    AddWorker("w" + std::to_string(i), 256000);
  }
  const auto counts = RoomOf(mCell, mNow).mStartable;
  BOOST_TEST(CountStartable(counts, 500) == 65535U);
  BOOST_TEST(CountStartable(counts, 1000) == 35840U);
}

BOOST_AUTO_TEST_SUITE_END()
