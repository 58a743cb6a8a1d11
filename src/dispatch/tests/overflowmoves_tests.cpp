#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "overflowfixture.h"

namespace eelgrasspost::dispatch::testing {

namespace {

/** Two cells that plan moves ten times a second by reports of each other that
 * are late. */
struct LateReports : Overflow
{
  static constexpr auto kStep = Milliseconds(100);
  static constexpr double kJobCpuMs = 5000;
  struct Cell
  {
    double mBacklog = 0;
    SentJobs mSent;
    std::vector<double> mReports;
    std::size_t mMovedAway = 0;
  };
  Cell mFirst;
  Cell mSecond;

  /** Plans moves of the jobs of a cell, with the other's report of some steps
   * ago. */
  auto Move(Cell& aFrom, Cell& aTo, std::size_t aLateSteps) -> void
  {
    const auto n = aTo.mReports.size();
    const auto known = aTo.mReports[n > aLateSteps ? n - 1 - aLateSteps : 0];
    mCells.clear();
    AddCell("a/0", static_cast<std::int64_t>(aFrom.mBacklog / kCores));
    AddCell("b/0", static_cast<std::int64_t>(known / kCores)).mAge =
      kStep * static_cast<std::int64_t>(aLateSteps);
    SetSent(aFrom.mSent);
    mCells[0].mSentBacklogs.clear();
    for (const auto& it : PlanOverflow(
           mCells, "a/0", MakeCandidates(10, kJobCpuMs), kMigrationsPerTick)) {
      AddSent(aFrom.mSent, "b/0", it.mDemand, it.mSenders, mNow);
      aFrom.mBacklog -= kJobCpuMs;
      aTo.mBacklog += kJobCpuMs;
      ++aFrom.mMovedAway;
    }
  }

  auto Run(std::size_t aSteps, std::size_t aLateSteps, double aArrivalsPerStep)
    -> void
  {
    const auto removeReported = [&](Cell& aCell) {
      // A report includes what had arrived when it was sent.
      RemoveReported(aCell.mSent,
                     "b/0",
                     mNow - kStep * static_cast<std::int64_t>(aLateSteps));
    };
    for (std::size_t i = 0; i < aSteps; ++i) {
      mNow += kStep;
      const auto work = kCores * static_cast<double>(kStep.count());
      mFirst.mBacklog =
        std::max(0.0, mFirst.mBacklog + aArrivalsPerStep * kJobCpuMs - work);
      mSecond.mBacklog = std::max(0.0, mSecond.mBacklog - work);
      mFirst.mReports.push_back(mFirst.mBacklog);
      mSecond.mReports.push_back(mSecond.mBacklog);
      removeReported(mFirst);
      removeReported(mSecond);
      Move(mFirst, mSecond, aLateSteps);
      Move(mSecond, mFirst, aLateSteps);
    }
  }
};

/** Cells "a/0" and "b/0", each with one worker that is full, and a job that
 * waits in the first. */
struct FullCells : HolderFixture
{
  static constexpr const char* kWaiting = "000000000000000c";
  std::shared_ptr<CellHolder> mFirst;
  std::shared_ptr<CellHolder> mSecond;
  /** Jobs of each cell for which moves were to be planned. */
  std::map<std::string, std::set<std::string>> mCandidates;

  FullCells()
  {
    mSettings.mHasOverflow = true;
    for (const auto* it : { "w1", "w2" }) {
      mWorkers.mCapacities[it] = { 1000, 64000, 0 };
    }
    mPlanOverflow = [this](const std::string& aFrom,
                           const std::vector<OverflowCandidate>& aCandidates) {
      std::vector<OverflowMove> out;
      for (const auto& it : aCandidates) {
        mCandidates[aFrom].insert(it.mJob.mId);
        out.push_back({ it.mJob, it.mDemand, aFrom == "a/0" ? "b/0" : "a/0" });
      }
      return out;
    };
    mFirst = MakeHolder(1);
    mSecond = MakeHolder(1, "b/0", { "w2" });
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
    Do([&] { mCells = { { "a/0", mFirst }, { "b/0", mSecond } }; });
    Submit("a/0", "000000000000000a");
    Submit("b/0", "000000000000000b");
    BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 2; }));
  }

  ~FullCells()
  {
    Do([&] {
      mFirst->End();
      mSecond->End();
    });
    StopPool();
  }

  auto Submit(const std::string& aCell, const std::string& aId) -> void
  {
    auto submission = MakeSubmission(aId);
    submission.mCell = aCell;
    submission.mJob.mSpec.mSteps[0].mEstimatedMs = 60000;
    submission.mJob.mAcceptedMs = base::WallClockMs();
    BOOST_REQUIRE((Wait(mCells.at(aCell)->Execute(submission)).mOutcome ==
                   JobOutcome::Done));
  }

  auto IsIn(const CellHolder& aHolder, const std::string& aJob) const -> bool
  {
    return aHolder.State().mJobs.contains(aJob);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(waitingjobs, Overflow)

BOOST_AUTO_TEST_CASE(crest_moves_waiting_jobs_at_most_a_few_per_tick)
{
  AddCell("a/0", 8000);
  AddCell("b/0", 300);
  const auto moves = Moves(10);
  BOOST_REQUIRE(moves.size() == kMigrationsPerTick);
  BOOST_TEST(moves[0].mCell == "b/0");
  BOOST_TEST(moves[0].mWaitHere.count() >= 8000);
}

BOOST_AUTO_TEST_CASE(gain_that_is_small_or_below_twice_moves_nothing)
{
  AddCell("a/0", 600);
  AddCell("b/0", 0);
  BOOST_TEST(Moves(1).empty());
  mCells = { MakeCell("a/0", 8000), MakeCell("b/0", 5000) };
  BOOST_TEST(Moves(1).empty());
  mCells = { MakeCell("a/0", 8000), MakeCell("b/0", 3000) };
  BOOST_TEST(Moves(1).size() == 1U);
}

BOOST_AUTO_TEST_CASE(large_job_does_not_move_where_its_work_takes_the_gain)
{
  AddCell("a/0", 3000);
  AddCell("b/0", 0);
  const auto isMoved = [&](double aCpuMs) {
    return !PlanOverflow(mCells, "a/0", { MakeCandidate("job", aCpuMs) }, 1)
              .empty();
  };
  BOOST_TEST(isMoved(50000));
  BOOST_TEST(!isMoved(200000));
}

BOOST_AUTO_TEST_CASE(closed_inactive_excluded_and_outdated_cells_get_nothing)
{
  AddCell("a/0", 9000);
  AddCell("b/0", 0).mIsClosed = true;
  AddCell("c/0", 0).mIsActive = false;
  AddCell("d/0", 0).mAge = Milliseconds(1200);
  AddCell("e/0", 0).mLoad = {};
  AddCell("f/0", 0);
  auto candidate = MakeCandidate("job");
  candidate.mJob.mExcludedCells = { "f/0" };
  BOOST_TEST(PlanOverflow(mCells, "a/0", { candidate }, 3).empty());
  BOOST_TEST(Moves(1).at(0).mCell == "f/0");
}

BOOST_AUTO_TEST_CASE(jobs_of_one_tick_fill_the_target_only_to_the_half)
{
  AddCell("a/0", 4000);
  AddCell("b/0", 0);
  const auto moves =
    PlanOverflow(mCells, "a/0", MakeCandidates(100, 20000), 100);
  const auto moved = static_cast<double>(moves.size()) * 20000 / kCores;
  BOOST_TEST(moved >= 500);
  BOOST_TEST(4000 - moved >= moved);
}

// Many loaded cells see one with room and do not know of each other's moves.
BOOST_AUTO_TEST_CASE(moves_of_many_cells_do_not_fill_one_beyond_them)
{
  constexpr auto kCells = 10;
  constexpr double kWaitMs = 6000;
  constexpr double kJobCpuMs = 20000;
  for (auto i = 0; i < kCells; ++i) {
    AddCell(base::Cat("a/", i), static_cast<std::int64_t>(kWaitMs));
  }
  AddCell("b/0", 0);
  std::size_t moves = 0;
  for (auto i = 0; i < kCells; ++i) {
    moves += PlanOverflow(
               mCells, base::Cat("a/", i), MakeCandidates(100, kJobCpuMs), 100)
               .size();
  }
  BOOST_TEST(moves > 0U);
  BOOST_TEST(static_cast<double>(moves) * kJobCpuMs / kCores <= kWaitMs);
}

// A late job is started after all others.
BOOST_AUTO_TEST_CASE(late_job_moves_by_its_wait_behind_all_jobs)
{
  AddCell("a/0", 300);
  mCells[0].mLoad.mBacklogs.push_back({ RoomKind::Reserved, 1, 0, 0, 1e6 });
  AddCell("b/0", 300);
  auto candidate = MakeCandidate("job");
  BOOST_TEST(PlanOverflow(mCells, "a/0", { candidate }, 1).empty());
  candidate.mJob.mLateness = cell::Lateness::Late;
  BOOST_TEST(PlanOverflow(mCells, "a/0", { candidate }, 1).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(latereports, LateReports)

BOOST_AUTO_TEST_CASE(two_cells_that_report_late_do_not_exchange_jobs)
{
  for (const std::size_t late : { 0, 3, 6, 9 }) {
    mFirst = {};
    mSecond = {};
    mFirst.mBacklog = 12000 * kCores;
    Run(200, late, 0);
    BOOST_TEST(mFirst.mMovedAway > 0U);
    BOOST_TEST(mSecond.mMovedAway == 0U);
    BOOST_TEST(static_cast<double>(mFirst.mMovedAway) * kJobCpuMs <=
               6000 * kCores);
  }
}

// A crest that comes back to the first cell again and again.
BOOST_AUTO_TEST_CASE(crest_that_lasts_moves_jobs_in_one_direction)
{
  for (const std::size_t late : { 3, 9 }) {
    mFirst = {};
    mSecond = {};
    Run(300, late, 3.5);
    BOOST_TEST(mFirst.mMovedAway > 100U);
    BOOST_TEST(mSecond.mMovedAway == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(holders, FullCells)

BOOST_AUTO_TEST_CASE(load_is_reported_without_admission)
{
  BOOST_TEST(
    Until([&] { return mFirst->GetStatus().mLoad.mReserved.mCores == 1.0; }));
}

// Only cells that could start the job at once accepted it.
BOOST_AUTO_TEST_CASE(waiting_job_moves_to_a_full_cell_and_rests_there)
{
  Submit("a/0", kWaiting);

  BOOST_REQUIRE(Until([&] { return IsIn(*mSecond, kWaiting); }));
  Wait(net::Sleep(Milliseconds(1000)), true);

  Do([&] {
    BOOST_TEST(IsIn(*mSecond, kWaiting));
    BOOST_TEST(!IsIn(*mFirst, kWaiting));
    BOOST_TEST(!mCandidates["b/0"].contains(kWaiting));
  });
  Do([&] { mWorkers.End("000000000000000b.0.0.0", cell::EndKind::Done); });
  BOOST_TEST(Until([&] { return mWorkers.mStarts.size() == 3; }));
}

BOOST_AUTO_TEST_CASE(job_that_is_of_no_use_any_more_stays)
{
  auto submission = MakeSubmission(kWaiting);
  submission.mJob.mSpec.mSteps[0].mEstimatedMs = 1;
  submission.mJob.mAcceptedMs = base::WallClockMs() - 60000;
  Wait(mFirst->Execute(submission));
  Wait(net::Sleep(Milliseconds(1000)), true);

  Do([&] {
    BOOST_TEST(IsIn(*mFirst, kWaiting));
    BOOST_TEST(mCandidates.empty());
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::dispatch::testing
