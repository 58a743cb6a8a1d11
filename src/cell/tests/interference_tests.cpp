#include <algorithm>
#include <limits>

#include <boost/test/unit_test.hpp>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

struct PairFixture
{
  Interference mTable;
  std::size_t mHeavy = ImageIndex(mTable, "heavy");
  std::size_t mLight = ImageIndex(mTable, "light");
  std::size_t mServing = ImageIndex(mTable, "serving");

  WorkerTailOffset mOffset{ 0, 0.4 };

  auto Learn(double aTail, const std::vector<ImageUse>& aUses) -> void
  {
    LearnTail(mTable, mOffset, mServing, aTail, aUses);
  }

  auto Pressure(std::size_t aBestEffort) const -> double
  {
    return mTable.mPairs[aBestEffort][mServing].mPressure;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(interference_estimates, PairFixture)

BOOST_AUTO_TEST_CASE(pair_high_tail_with_one_image_raises_its_pressure)
{
  const auto before = Pressure(mHeavy);
  Learn(5.0, { { mHeavy, 0.1 } });
  Learn(5.0, { { mHeavy, 0.1 } });
  BOOST_TEST(Pressure(mHeavy) > 2 * before);
}

BOOST_AUTO_TEST_CASE(pair_learned_harmless_beside_heavy_one_stays_harmless)
{
  for (auto i = 0; i < 200; ++i) {
    Learn(0.4, { { mLight, 0.5 } });
  }
  const auto light = Pressure(mLight);
  for (auto i = 0; i < 5; ++i) {
    Learn(5.0, { { mLight, 0.3 }, { mHeavy, 0.1 } });
  }
  BOOST_TEST(Pressure(mLight) < 2 * light);
  BOOST_TEST(Pressure(mHeavy) > 8.0);
}

BOOST_AUTO_TEST_CASE(pair_harmless_at_small_use_stays_uncertain)
{
  for (auto i = 0; i < 200; ++i) {
    Learn(0.4, { { mLight, 0.05 } });
  }
  const auto tail = ExpectedTail(mTable, mServing, { { mLight, 0.5 } });
  BOOST_TEST(tail > 0.9);
}

BOOST_AUTO_TEST_CASE(worker_slow_by_itself_raises_no_pressure)
{
  const auto before = Pressure(mLight);
  for (auto i = 0; i < 10; ++i) {
    Decay(mOffset, 0.5);
    Learn(3.0, {});
  }
  for (auto i = 0; i < 4; ++i) {
    Decay(mOffset, 0.5);
    Learn(3.0, { { mLight, 0.1 } });
  }
  BOOST_TEST(mOffset.mLogOffset > 1.0);
  BOOST_TEST(Pressure(mLight) < 2 * before);
}

BOOST_AUTO_TEST_CASE(pair_harmless_at_growing_use_may_use_more)
{
  for (const auto use : { 0.1, 0.2, 0.4 }) {
    for (auto i = 0; i < 30; ++i) {
      Decay(mTable, 0.1);
      Learn(0.45, { { mLight, use } });
    }
    BOOST_TEST(ExpectedTail(mTable, mServing, { { mLight, 2 * use } }) < 0.85);
  }
}

BOOST_AUTO_TEST_CASE(pair_of_another_cell_with_lower_variance_is_adopted)
{
  AdoptPairEstimate(mTable, mHeavy, mServing, MakePairEstimate(12.0, 0.5));
  AdoptPairEstimate(mTable, mHeavy, mServing, MakePairEstimate(1.0, 1.0));
  BOOST_TEST(Pressure(mHeavy) == 12.0);
}

BOOST_AUTO_TEST_CASE(pair_seen_by_many_cells_is_learned_by_each_of_them)
{
  // Each of ten cells gets few reports of a harmful pair.
  constexpr auto kCells = 10;
  constexpr auto kReports = 3;
  std::vector<Interference> cells(kCells, mTable);
  for (auto& it : cells) {
    auto offset = mOffset;
    for (auto i = 0; i < kReports; ++i) {
      LearnTail(it, offset, mServing, 0.9, { { mHeavy, 0.1 } });
    }
  }
  const auto alone = cells[0].mPairs[mHeavy][mServing];
  std::vector<PairInformation> sent;
  sent.reserve(kCells);
  for (auto& it : cells) {
    sent.push_back(TakeUnsent(it, mHeavy, mServing));
  }
  for (auto i = 1; i < kCells; ++i) {
    AddInformation(cells[0], mHeavy, mServing, sent[i]);
  }
  const auto together = cells[0].mPairs[mHeavy][mServing];
  BOOST_TEST(together.mVariance < 0.5 * alone.mVariance);
  // ln(0.9 / 0.45) at a use of 0.1 is a pressure of 6.9.
  BOOST_TEST(together.mPressure > alone.mPressure);
  BOOST_TEST(together.mPressure < 8.0);
}

BOOST_AUTO_TEST_CASE(pair_malformed_values_from_another_cell_are_ignored)
{
  const auto before = mTable.mPairs[mHeavy][mServing];
  const auto nan = std::numeric_limits<double>::quiet_NaN();
  const auto infinite = std::numeric_limits<double>::infinity();
  for (const auto bad : { nan, infinite, -infinite, -1.0 }) {
    AddInformation(mTable, mHeavy, mServing, { bad, 1.0, 0.1 });
    AddInformation(mTable, mHeavy, mServing, { 1.0, 1.0, -0.1 });
    AdoptPairEstimate(mTable, mHeavy, mServing, MakePairEstimate(bad, 0.1));
  }
  for (const auto bad : { nan, infinite }) {
    AddInformation(mTable, mHeavy, mServing, { 1.0, bad, 0.1 });
    AdoptPairEstimate(mTable, mHeavy, mServing, MakePairEstimate(3.0, nan));
  }
  AdoptPairEstimate(mTable, mHeavy, mServing, MakePairEstimate(3.0, -1.0));
  const auto& after = mTable.mPairs[mHeavy][mServing];
  BOOST_TEST(after.mPressure == before.mPressure);
  BOOST_TEST(after.mVariance == before.mVariance);
}

BOOST_AUTO_TEST_CASE(pair_information_is_sent_once)
{
  Learn(2.0, { { mHeavy, 0.1 } });
  BOOST_TEST(TakeUnsent(mTable, mHeavy, mServing).mPrecision > 0);
  BOOST_TEST(TakeUnsent(mTable, mHeavy, mServing).mPrecision == 0);
}

BOOST_AUTO_TEST_CASE(pair_information_received_is_not_sent_on)
{
  AddInformation(mTable, mHeavy, mServing, { 2.0, 10.0, 0.1 });
  BOOST_TEST(TakeUnsent(mTable, mHeavy, mServing).mPrecision == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(besteffort_beside_serving, CellFixture)

BOOST_AUTO_TEST_CASE(servingtasks_with_two_workers_are_packed_on_one)
{
  AddWorker("w1");
  AddWorker("w2");
  const auto serving = MakeServing(4, 4000, "serving");
  Add(MakeJob("s", serving));
  const auto starts = Start();
  BOOST_REQUIRE(starts.size() == 4U);
  for (const auto& it : starts) {
    BOOST_TEST(it.mWorker == starts[0].mWorker);
  }

  const auto bestEffort = MakeBestEffort(4, 2000, "heavy");
  Add(MakeJob("f", bestEffort));
  for (const auto& it : Start()) {
    BOOST_TEST(it.mWorker != starts[0].mWorker);
  }
}

BOOST_AUTO_TEST_CASE(besteffortjob_estimated_harmful_at_light_load_runs)
{
  AddWorker("w1");
  const auto serving = MakeServing(1, 4000, "serving");
  Add(MakeJob("s", serving));
  const auto first = Start();
  SetEstimate("heavy", MakePairEstimate(15.0, 0.1));
  const auto bestEffort = MakeBestEffort(3, 2000, "heavy");
  Add(MakeJob("f", bestEffort));
  BOOST_TEST(Start().empty());
  Advance(Milliseconds(2000));
  Report("w1", { { first[0].mTask, first[0].mAttempt, "", 100, 8 } }, {});
  BOOST_TEST(Start().size() == 1U);
}

BOOST_AUTO_TEST_CASE(besteffortjob_without_run_in_busy_cell_is_not_starved)
{
  AddWorker("w1");
  const auto serving = MakeServing(4, 4000, "serving");
  Add(MakeJob("s", serving));
  BOOST_REQUIRE(Start().size() == 4U);
  SetEstimate("heavy", MakePairEstimate(15.0, 0.1));
  SetEstimate("light", MakePairEstimate(0.2, 0.1));
  const auto harmless = MakeBestEffort(1, 1000, "light");
  Add(MakeJob("l", harmless));
  BOOST_REQUIRE(Start().size() == 1U);
  const auto bestEffort = MakeBestEffort(3, 2000, "heavy");
  Add(MakeJob("f", bestEffort));
  const auto wait = [&](Milliseconds aTime) {
    Advance(aTime);
    mCell.mWorkers.at("w1")->mLastContact = mNow;
    const auto orders = Start();
    return std::count_if(orders.begin(), orders.end(), [](const Order& aOrder) {
      return aOrder.mKind == OrderKind::Start;
    });
  };
  // New jobs keep arriving, so the cell is not lightly loaded.
  const auto waitBusy = [&](int aSeconds) {
    std::ptrdiff_t out = 0;
    for (auto i = 0; i < aSeconds; ++i) {
      mCell.mLastNewJobAt = mNow;
      out += wait(Milliseconds(1000));
    }
    return out;
  };
  BOOST_TEST(waitBusy(20) == 0);
  BOOST_TEST(waitBusy(7) == 1);
  BOOST_TEST(waitBusy(5) == 0);
}

BOOST_AUTO_TEST_CASE(besteffortjob_without_run_after_end_of_traffic_starts)
{
  AddWorker("w1");
  const auto serving = MakeServing(4, 4000, "serving");
  Add(MakeJob("s", serving));
  BOOST_REQUIRE(Start().size() == 4U);
  SetEstimate("heavy", MakePairEstimate(15.0, 0.1));
  const auto bestEffort = MakeBestEffort(3, 2000, "heavy");
  Add(MakeJob("f", bestEffort));
  BOOST_TEST(Start().empty());
  Advance(Milliseconds(3500));
  mCell.mWorkers.at("w1")->mLastContact = mNow;
  BOOST_TEST(Start().size() == 1U);
}

BOOST_AUTO_TEST_CASE(
  besteffortimage_learned_harmful_by_another_cell_is_throttled_at_once)
{
  AddWorker("w1");
  const auto serving = MakeServing(1, 4000, "serving");
  Add(MakeJob("s", serving));
  const auto first = Start();
  BOOST_REQUIRE(first.size() == 1U);
  const auto bestEffort = MakeBestEffort(1, 2000, "heavy");
  Add(MakeJob("f", bestEffort));
  const auto second = Start();
  BOOST_REQUIRE(second.size() == 1U);
  const auto heavy = ImageIndex(mCell.mInterference, "heavy");
  const auto other = ImageIndex(mCell.mInterference, "serving");
  AdoptPairEstimate(
    mCell.mInterference, heavy, other, MakePairEstimate(8.0, 0.01));

  Report("w1",
         { { first[0].mTask, first[0].mAttempt, "", 100, 8 },
           { second[0].mTask, second[0].mAttempt, "", 10, 100 } },
         {});

  const auto orders = Start();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].mKind == OrderKind::SetCpuShare));
  BOOST_TEST(orders[0].mPercent < 80);
  BOOST_TEST(orders[0].mPercent > 40);
}

BOOST_AUTO_TEST_CASE(besteffortjob_serving_tail_over_target_is_throttled)
{
  AddWorker("w1");
  const auto serving = MakeServing(1, 4000, "serving");
  Add(MakeJob("s", serving));
  const auto first = Start();
  const auto bestEffort = MakeBestEffort(1, 1000, "heavy");
  Add(MakeJob("f", bestEffort));
  const auto second = Start();
  BOOST_REQUIRE(second.size() == 1U);

  Advance(Milliseconds(1000));
  Report("w1",
         { { first[0].mTask, first[0].mAttempt, "", 100, 90 },
           { second[0].mTask, second[0].mAttempt, "", 10, 1000 } },
         {});

  const auto orders = Start();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].mKind == OrderKind::SetCpuShare));
  BOOST_TEST(orders[0].mPercent < 50);
}

/** A best-effort run beside a serving one, reported twice a second. */
struct HarmFixture : CellFixture
{
  std::vector<Order> mServing;
  std::vector<Order> mBestEffort;

  HarmFixture()
  {
    AddWorker("w1");
    Add(MakeJob("s", MakeServing(1, 4000, "serving")));
    mServing = Start();
    SetEstimate("fill", MakePairEstimate(0.2, 0.1));
    Add(MakeJob("f", MakeBestEffort(1, 1000, "fill")));
    mBestEffort = Start();
  }

  /** Reports a tail for aTime and returns the orders that it causes. */
  auto ReportTail(double aTail, Milliseconds aTime) -> std::vector<Order>
  {
    constexpr auto kInterval = Milliseconds(500);
    std::vector<Order> out;
    for (auto it = Milliseconds(0); it < aTime; it += kInterval) {
      Advance(kInterval);
      ++mBestEffortPercent;
      Report("w1",
             { { mServing.at(0).mTask, mServing[0].mAttempt, "", 100, aTail },
               { mBestEffort.at(0).mTask,
                 mBestEffort[0].mAttempt,
                 "",
                 mBestEffortPercent,
                 1000 } },
             {});
      const auto orders = Start();
      out.insert(out.end(), orders.begin(), orders.end());
    }
    return out;
  }

  double mBestEffortPercent = 1;
};

/** Tails in ms; MakeServing sets a target of 18 ms. */
constexpr double kTailJustOverTarget = 19;
constexpr double kTailFarOverTarget = 60;
constexpr double kTailBelowTarget = 9;

auto HasKind(const std::vector<Order>& aOrders, OrderKind aKind) -> bool
{
  return std::any_of(aOrders.begin(), aOrders.end(), [&](const Order& aOrder) {
    return aOrder.mKind == aKind;
  });
}

BOOST_FIXTURE_TEST_CASE(tail_just_over_target_for_a_moment_throttles_nothing,
                        HarmFixture)
{
  BOOST_TEST(ReportTail(kTailJustOverTarget, Milliseconds(1000)).empty());
  BOOST_TEST(ReportTail(kTailBelowTarget, Milliseconds(1000)).empty());
  BOOST_TEST(ReportTail(kTailJustOverTarget, Milliseconds(1000)).empty());
}

BOOST_FIXTURE_TEST_CASE(tail_just_over_target_that_persists_pauses_besteffort,
                        HarmFixture)
{
  const auto orders = ReportTail(kTailJustOverTarget, Milliseconds(2500));
  BOOST_REQUIRE(HasKind(orders, OrderKind::SetCpuShare));
  BOOST_TEST(orders.back().mPercent == 0);
}

BOOST_FIXTURE_TEST_CASE(besteffort_throttled_for_a_moment_keeps_its_worker,
                        HarmFixture)
{
  AddWorker("w2");
  auto orders = ReportTail(kTailFarOverTarget, Milliseconds(1000));
  const auto after = ReportTail(kTailBelowTarget, Milliseconds(500));
  orders.insert(orders.end(), after.begin(), after.end());
  BOOST_TEST(HasKind(orders, OrderKind::SetCpuShare));
  BOOST_TEST(!HasKind(orders, OrderKind::Stop));
}

BOOST_FIXTURE_TEST_CASE(besteffort_throttled_for_long_moves_to_a_free_worker,
                        HarmFixture)
{
  AddWorker("w2");
  const auto orders = ReportTail(kTailFarOverTarget, Milliseconds(3500));
  BOOST_TEST(HasKind(orders, OrderKind::Stop));
}

BOOST_AUTO_TEST_CASE(longrunningjobs_arriving_together_are_packed_by_image)
{
  mCell.mPolicy.mPlacementDelay = Milliseconds(500);
  AddWorker("w1");
  AddWorker("w2");
  for (const auto* id : { "a1", "b1", "a2", "b2" }) {
    const auto serving = MakeServing(2, 4000, std::string(id, 1));
    Add(MakeJob(id, serving));
    BOOST_TEST(Start().empty());
  }
  BOOST_TEST(FindDelayedJobs(mCell, mNow).size() == 4U);
  Advance(Milliseconds(500));
  BOOST_TEST(Start().size() == 8U);
  for (const auto& [id, worker] : mCell.mWorkers) {
    BOOST_TEST(worker->mServingImages.size() == 1U);
  }
  BOOST_TEST(FindDelayedJobs(mCell, mNow).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(full_cell_after_drain, CellFixture)

BOOST_AUTO_TEST_CASE(longrunningtask_without_room_after_wait_is_starved)
{
  AddWorker("w1", 4000);
  auto longRunning = MakeStep(2, 3000);
  longRunning.mIsLongRunning = true;
  Add(MakeJob("j", longRunning));
  BOOST_REQUIRE(Start().size() == 1U);
  BOOST_TEST(FindStarved(mCell, mNow, Milliseconds(500)).empty());
  Advance(Milliseconds(600));
  BOOST_TEST(FindStarved(mCell, mNow, Milliseconds(500)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(worker_with_longrunning_run_is_not_transferable)
{
  AddWorker("w1");
  auto longRunning = MakeStep(1, 3000);
  longRunning.mIsLongRunning = true;
  Add(MakeJob("j", longRunning));
  BOOST_REQUIRE(Start().size() == 1U);
  const auto need = Resources{ 2000, 1000, 0 };
  BOOST_TEST(FindTransferable(mCell, "service", need, mNow) == nullptr);
  AddWorker("w2");
  auto* worker = FindTransferable(mCell, "service", need, mNow);
  BOOST_REQUIRE(worker != nullptr);
  BOOST_TEST(worker->mRecord.mId == "w2");
  PrepareTransfer(*worker);
  Add(MakeJob("k", MakeStep(1, 14000)));
  BOOST_TEST(Start().empty());
}

BOOST_AUTO_TEST_CASE(job_without_runs_may_migrate_and_one_with_runs_may_not)
{
  AddWorker("w1", 1000);
  Add(MakeJob("j", MakeStep(2)));
  Add(MakeJob("k", MakeStep(1, 2000)));
  BOOST_REQUIRE(Start().size() == 1U);
  Advance(Milliseconds(2000));
  const auto migratable = FindMigratable(mCell, mNow, Milliseconds(1000));
  BOOST_REQUIRE(migratable.size() == 1U);
  BOOST_TEST(migratable[0].mId == "k");
  BOOST_TEST(migratable[0].mReservingCpuMillis == 2000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(besteffort_order, CellFixture)

BOOST_AUTO_TEST_CASE(job_that_surely_misses_its_objective_yields_to_one_in_time)
{
  // Both have the same work left. The older one is still younger than its
  // objective, but its estimated run time no longer fits.
  auto step = MakeBestEffort(1, 1000, "fill");
  step.mEstimatedMs = 4000;
  auto stored = MakeJob("old", step);
  stored.mQueue.mStretch = 2.0;
  auto& old = Add(stored);
  Advance(Milliseconds(6000));
  stored.mSpec.mId = "new";
  auto& recent = Add(stored);
  BOOST_TEST((RankJob(old, mNow).mLateness == Lateness::Late));
  BOOST_TEST((RankJob(recent, mNow) < RankJob(old, mNow)));
}

BOOST_AUTO_TEST_CASE(job_with_its_longest_step_done_is_still_in_time)
{
  auto first = MakeBestEffort(1, 1000, "fill");
  first.mEstimatedMs = 6000;
  auto second = MakeBestEffort(1, 1000, "fill");
  second.mEstimatedMs = 1000;
  second.mAfter = { 0 };
  auto stored = MakeJob("j", first);
  stored.mSpec.mSteps.push_back(second);
  stored.mQueue.mStretch = 1.5;
  JobProgress progress;
  progress.mTasks.push_back({ 0, 0, 0, true, {}, "", "" });
  auto& job = Add(stored, progress);
  Advance(Milliseconds(9000));
  BOOST_TEST((RankJob(job, mNow).mLateness == Lateness::InTime));
}

BOOST_AUTO_TEST_SUITE_END()
