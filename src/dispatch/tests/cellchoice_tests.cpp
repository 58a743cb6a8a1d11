#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/cellchoice.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::HolderFixture;

struct CellChoice
{
  std::vector<CellStatus> mCells;

  /** Adds a cell with free CPU in pieces of one size. */
  auto AddCell(const std::string& aName,
               std::int64_t aPiece,
               std::uint16_t aCount) -> CellStatus&
  {
    CellStatus out;
    out.mName = aName;
    out.mIsActive = true;
    out.mFreeCpuMillis = aPiece * aCount;
    out.mCapacityCpuMillis = 1000000;
    out.mLeftoverCpuMillis = 1000000;
    out.mLargestCpuMillis = aPiece;
    for (std::size_t i = 0; i < cell::kTaskSizes.size(); ++i) {
      out.mStartable.at(i) =
        static_cast<std::uint16_t>(aCount * (aPiece / cell::kTaskSizes.at(i)));
    }
    mCells.push_back(out);
    return mCells.back();
  }

  static auto MakeJob(std::uint32_t aCount, std::int64_t aCpu) -> cell::JobSpec
  {
    cell::StepSpec step;
    step.mCount = aCount;
    step.mNeed = { aCpu, 1000, 0 };
    cell::JobSpec out;
    out.mId = "job";
    out.mSteps = { step };
    return out;
  }

  auto Plan(const cell::JobSpec& aJob) const -> std::string
  {
    std::string out;
    for (const auto& it : PlanOffers(mCells, aJob, "a")) {
      out += it.mCell + (it.mMustStartAtOnce ? "! " : " ");
    }
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cellchoice, CellChoice)

// Cells with much free CPU in small pieces were preferred.
BOOST_AUTO_TEST_CASE(cell_that_can_start_all_tasks_comes_first)
{
  AddCell("a/0", 3000, 200);
  AddCell("b/0", 4000, 20);
  BOOST_TEST(Plan(MakeJob(10, 3500)) == "b/0! b/0 a/0 ");
}

BOOST_AUTO_TEST_CASE(task_larger_than_all_pieces_is_not_offered)
{
  AddCell("a/0", 3000, 20);
  AddCell("b/0", 3000, 200);
  BOOST_TEST(Plan(MakeJob(1, 20000)) == "b/0 a/0 ");
}

// A task larger than all counted sizes was never offered nor moved.
BOOST_AUTO_TEST_CASE(task_larger_than_all_counted_sizes_is_offered)
{
  AddCell("a/0", 3000, 200);
  AddCell("b/0", 64000, 1);
  BOOST_TEST(Plan(MakeJob(1, 40000)) == "b/0! b/0 a/0 ");
  BOOST_TEST(
    ChooseCellWithCapacity(mCells, "a/0", { "job", 40000, 0, 1, 40000 })
      .has_value());
}

BOOST_AUTO_TEST_CASE(inactive_cell_is_the_last_choice)
{
  AddCell("a/0", 4000, 200).mIsActive = false;
  AddCell("b/0", 4000, 1);
  BOOST_TEST(Plan(MakeJob(10, 3500)) == "b/0 a/0 ");
}

BOOST_AUTO_TEST_CASE(besteffort_job_is_not_offered)
{
  AddCell("a/0", 4000, 200);
  AddCell("b/0", 4000, 20).mBestEffortCpuMillis = 900000;
  auto job = MakeJob(10, 3500);
  job.mSteps[0].mIsBestEffort = true;
  BOOST_TEST(Plan(job) == "a/0 b/0 ");
}

// A job moved only to cells without any waiting task.
BOOST_AUTO_TEST_CASE(waiting_job_moves_to_a_cell_that_can_start_its_tasks)
{
  AddCell("a/0", 4000, 200);
  AddCell("b/0", 3000, 200);
  AddCell("c/0", 4000, 10).mWaitingCpuMillis = 50000;
  const auto choose = [&](std::uint32_t aTasks) {
    const auto need = aTasks * std::int64_t{ 3500 };
    return ChooseCellWithCapacity(
             mCells, "a/0", { "job", need, 0, aTasks, 3500 })
      .value_or("none");
  };
  BOOST_TEST(choose(10) == "c/0");
  BOOST_TEST(choose(11) == "none");
}

BOOST_AUTO_TEST_CASE(job_that_reserves_cpu_moves_sooner_than_a_besteffort_one)
{
  cell::MigratableJob job;
  job.mWaited = Milliseconds(300);
  BOOST_TEST(!IsMigrationDue(job));
  job.mReservingTasks = 1;
  BOOST_TEST(IsMigrationDue(job));
  job.mWaited = Milliseconds(100);
  BOOST_TEST(!IsMigrationDue(job));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(offers, HolderFixture)

// A holder accepted jobs that it could not start.
BOOST_AUTO_TEST_CASE(full_cell_declines_a_job_that_must_start_at_once)
{
  const auto holder = MakeHolder(1);
  BOOST_REQUIRE(Until([&] { return holder->GetStatus().mStartable[0] > 0; }));
  auto command = MakeSubmission("0000000000000001");
  command.mMustStartAtOnce = true;
  command.mJob.mSpec.mSteps[0].mCount = 100;
  const auto declined = Wait(holder->Execute(command));
  BOOST_TEST((declined.mOutcome == JobOutcome::Declined));
  BOOST_TEST(CountRows(kJobTable) == 0U);

  command.mMustStartAtOnce = false;
  const auto accepted = Wait(holder->Execute(command));
  BOOST_TEST((accepted.mOutcome == JobOutcome::Done));
  // A repeated submission of a job that the cell has is not declined.
  command.mMustStartAtOnce = true;
  const auto repeated = Wait(holder->Execute(command));
  BOOST_TEST((repeated.mOutcome == JobOutcome::Done));
  Do([&] { holder->End(); });
}

BOOST_AUTO_TEST_SUITE_END()
