#include <boost/test/unit_test.hpp>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

/** Time after which a reservation that is not complete gives way. */
constexpr auto kExclusiveTime = Milliseconds(700);

/** A worker of 8000 CPU millis with a short run of 4500, so that 3500 stand
 * free. */
struct BusyWorker : CellFixture
{
  Order mShort;

  BusyWorker() { mShort = AddBusyWorker("w1", 8000, 4500); }

  /** Adds a worker with one short run. */
  auto AddBusyWorker(const std::string& aId,
                     std::int64_t aCpu,
                     std::int64_t aUsed) -> Order
  {
    AddWorker(aId, aCpu);
    Add(MakeJob("short" + aId, MakeStep(1, aUsed)));
    const auto orders = Start();
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_REQUIRE(orders[0].mWorker == aId);
    return orders[0];
  }

  /** A task that lost its run reserves 4600 on the worker. */
  auto ReserveForLarge() -> void
  {
    AddRestart("large", 4600);
    BOOST_REQUIRE(Start().empty());
    BOOST_REQUIRE(IsReserved("w1", "large.0.0.0"));
  }

  auto AddLongRunning(const std::string& aId, std::int64_t aCpu) -> Job&
  {
    auto step = MakeStep(1, aCpu);
    step.mIsLongRunning = true;
    return Add(MakeJob(aId, step));
  }

  auto AddRestart(const std::string& aId, std::int64_t aCpu) -> void
  {
    auto& job = AddLongRunning(aId, aCpu);
    job.mHasStarted = true;
    job.mOccurrences.at(0)->mSteps.at(0).mTasks.at(0).mMayHaveRun = true;
  }

  auto IsReserved(const std::string& aWorker, const std::string& aTask) const
    -> bool
  {
    return mCell.mWorkers.at(aWorker)->mReservations.contains(aTask);
  }

  /** Lets the cell place tasks until the given time has passed. */
  auto StartsWithin(Milliseconds aTime) -> std::vector<std::string>
  {
    constexpr auto kStep = Milliseconds(50);
    std::vector<std::string> out;
    for (const auto end = mNow + aTime; mNow < end; Advance(kStep)) {
      for (auto& [id, worker] : mCell.mWorkers) {
        worker->mLastContact = mNow;
      }
      for (const auto& it : Start()) {
        out.push_back(it.mTask);
      }
    }
    return out;
  }

  auto EndShortRun() -> void
  {
    Report(
      "w1", {}, { { 1, mShort.mTask, mShort.mAttempt, EndKind::Done, "" } });
  }

  /** The request of another cell. */
  auto ReserveForOtherCell(std::int64_t aCpu, bool aIsRestart) -> bool
  {
    LongRunningNeed need{ "other.0.0.0", "service", { aCpu, 1000, 0 } };
    need.mIsRestart = aIsRestart;
    return ReserveCapacity(mCell, need, true, mNow);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(displacement, BusyWorker)

// Guards against free CPU that is kept for a task that does not fit there yet,
// while another one that lost its run would fit.
BOOST_AUTO_TEST_CASE(
  restart_starts_in_capacity_that_another_task_cannot_use_yet)
{
  ReserveForLarge();
  AddRestart("small", 3450);

  const auto starts = StartsWithin(2 * kExclusiveTime);

  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0] == "small.0.0.0");
  BOOST_TEST(!IsReserved("w1", "large.0.0.0"));
}

BOOST_AUTO_TEST_CASE(reservation_completed_in_time_is_not_displaced)
{
  ReserveForLarge();
  AddRestart("small", 3450);
  BOOST_TEST(StartsWithin(kExclusiveTime / 2).empty());
  EndShortRun();

  const auto starts = StartsWithin(kExclusiveTime);

  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0] == "large.0.0.0");
}

BOOST_AUTO_TEST_CASE(new_task_does_not_displace_a_reservation)
{
  ReserveForLarge();
  AddLongRunning("new", 3450);

  BOOST_TEST(StartsWithin(3 * kExclusiveTime).empty());
  BOOST_TEST(IsReserved("w1", "large.0.0.0"));
}

// A task that gave way keeps its next reservation for as long as the first one,
// so that smaller tasks do not pass it at once.
BOOST_AUTO_TEST_CASE(displaced_task_reserves_on_another_worker)
{
  AddBusyWorker("w2", 6000, 5000);
  ReserveForLarge();
  AddRestart("small", 3450);
  BOOST_REQUIRE(StartsWithin(2 * kExclusiveTime).size() == 1U);

  BOOST_TEST(IsReserved("w2", "large.0.0.0"));
}

BOOST_AUTO_TEST_CASE(reservation_that_lacks_most_is_displaced_and_others_stay)
{
  AddBusyWorker("w2", 20000, 16400);
  AddRestart("huge", 9000);
  AddRestart("middle", 8100);
  BOOST_REQUIRE(StartsWithin(kExclusiveTime).empty());
  BOOST_REQUIRE(IsReserved("w2", "huge.0.0.0"));
  BOOST_REQUIRE(IsReserved("w2", "middle.0.0.0"));
  AddRestart("small", 3550);

  const auto starts = StartsWithin(kExclusiveTime / 2);

  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0] == "small.0.0.0");
  BOOST_TEST(!IsReserved("w2", "huge.0.0.0"));
  BOOST_TEST(IsReserved("w2", "middle.0.0.0"));
}

// Guards against a task that no worker of its own cell can hold, and that was
// refused by a cell with free but reserved CPU.
BOOST_AUTO_TEST_CASE(request_of_another_cell_displaces_for_a_restart)
{
  ReserveForLarge();
  Advance(kExclusiveTime);
  BOOST_TEST(!ReserveForOtherCell(3450, false));
  BOOST_TEST(RoomOf(mCell, mNow).mLargestForRestartCpuMillis == 3500);
  BOOST_TEST(RoomOf(mCell, mNow).mLargestCpuMillis <= 0);

  BOOST_TEST(ReserveForOtherCell(3450, true));

  BOOST_TEST(IsReserved("w1", "other.0.0.0"));
  BOOST_TEST(!IsReserved("w1", "large.0.0.0"));
}

BOOST_AUTO_TEST_CASE(reservation_is_kept_from_other_cells_at_first)
{
  ReserveForLarge();
  BOOST_TEST(!ReserveForOtherCell(3450, true));
  BOOST_TEST(RoomOf(mCell, mNow).mLargestForRestartCpuMillis == 3400);
  BOOST_TEST(IsReserved("w1", "large.0.0.0"));
}

// The task of another cell arrives a moment after its capacity was reserved.
BOOST_AUTO_TEST_CASE(complete_reservation_of_another_cell_is_not_displaced)
{
  AddWorker("w2", 5000);
  BOOST_REQUIRE(ReserveForOtherCell(4900, true));
  BOOST_REQUIRE(IsReserved("w2", "other.0.0.0"));
  Advance(kExclusiveTime);
  mCell.mWorkers.at("w2")->mLastContact = mNow;

  AddRestart("small", 4800);

  BOOST_TEST(StartsWithin(2 * kExclusiveTime).empty());
  BOOST_TEST(IsReserved("w2", "other.0.0.0"));
}

BOOST_AUTO_TEST_SUITE_END()
