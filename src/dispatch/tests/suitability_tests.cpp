#define BOOST_TEST_MODULE dispatch_suitability
#include <boost/test/unit_test.hpp>

#include "holderfixture.h"
#include "internal/cellchoice.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::HolderFixture;

/** Three cells with one worker each. The one of "c/0" is small and the only one
 * with the label "b". */
struct LabelledWorker : HolderFixture
{
  static constexpr const char* kId = "000000000000000a";
  std::shared_ptr<CellHolder> mFirst;
  std::size_t mMigrations = 0;

  LabelledWorker()
  {
    mLabels = { { "w1", { "a" } }, { "w2", { "a" } }, { "w3", { "b" } } };
    mWorkers.mCapacities = { { "w3", { 8000, 64000, 0 } } };
    mFirst = MakeHolder(1);
    const auto second = MakeHolder(1, "b/0", { "w2" });
    const auto third = MakeHolder(1, "c/0", { "w3" });
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 3; }));
    Do([&] {
      mCells = { { "a/0", mFirst }, { "b/0", second }, { "c/0", third } };
      mFindCapacity = [this](const std::string& aFrom,
                             const cell::MigratableJob& aJob) {
        auto out = ChooseCellWithCapacity(Statuses(), aFrom, aJob);
        mMigrations += out ? 1 : 0;
        return out;
      };
      mFindEmptier = [this](const std::string& aFrom,
                            const cell::MigratableJob& aJob) {
        return ChooseEmptierCell(Statuses(), aFrom, aJob);
      };
      UseRealHostChoice();
    });
  }

  ~LabelledWorker()
  {
    Do([&] {
      for (const auto& [name, it] : mCells) {
        it->End();
      }
    });
    StopPool();
  }

  auto Statuses() -> std::vector<CellStatus>
  {
    std::vector<CellStatus> out;
    out.reserve(mCells.size());
    for (const auto& [name, it] : mCells) {
      out.push_back(it->GetStatus());
    }
    return out;
  }

  static auto MakeLabelled() -> JobCommand
  {
    auto out = MakeSubmission(kId);
    out.mJob.mSpec.mSteps[0].mRequiredLabel = "b";
    return out;
  }

  auto StartedOn(const std::string& aTask) -> std::string
  {
    const auto it = mWorkers.mWorkerOf.find(aTask);
    return it == mWorkers.mWorkerOf.end() ? std::string() : it->second;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(suitability, LabelledWorker)

// Jobs that require a label moved between two cells without it for ever.
BOOST_AUTO_TEST_CASE(job_that_requires_a_label_reaches_the_cell_that_has_it)
{
  Wait(mFirst->Execute(MakeLabelled()));

  BOOST_TEST(
    Until([&] { return StartedOn(std::string(kId) + ".0.0.0") == "w3"; }));
}

// The same for a label that only a later step requires.
BOOST_AUTO_TEST_CASE(label_of_a_later_step_is_found_once_the_step_is_ready)
{
  auto submission = MakeLabelled();
  auto& steps = submission.mJob.mSpec.mSteps;
  steps.push_back(steps[0]);
  steps[0].mRequiredLabel.clear();
  steps[1].mAfter = { 0 };
  Wait(mFirst->Execute(submission));
  const auto first = std::string(kId) + ".0.0.0";
  BOOST_REQUIRE(Until([&] { return mWorkers.mRunning.contains(first); }));
  Do([&] { mWorkers.End(first, cell::EndKind::Done); });

  BOOST_TEST(
    Until([&] { return StartedOn(std::string(kId) + ".0.1.0") == "w3"; }));
}

BOOST_AUTO_TEST_CASE(long_running_job_that_requires_a_label_reaches_its_cell)
{
  auto submission = MakeLabelled();
  submission.mJob.mSpec.mSteps[0].mIsLongRunning = true;
  Wait(mFirst->Execute(submission));

  BOOST_TEST(
    Until([&] { return StartedOn(std::string(kId) + ".0.0.0") == "w3"; }));
}

BOOST_AUTO_TEST_CASE(memory_that_one_cell_has_is_found)
{
  Do([&] {
    auto record = MakeRecord("w3");
    record.mCapacity.mMemoryMb = 128000;
    mCells.at("c/0")->UpdateWorker(record);
  });
  auto submission = MakeSubmission(kId);
  submission.mJob.mSpec.mSteps[0].mNeed.mMemoryMb = 100000;
  Wait(mFirst->Execute(submission));

  BOOST_TEST(
    Until([&] { return StartedOn(std::string(kId) + ".0.0.0") == "w3"; }));
}

BOOST_AUTO_TEST_CASE(worker_that_joins_later_is_found)
{
  Do([&] { mCells.at("c/0")->UnlistWorker("w3"); });
  Wait(mFirst->Execute(MakeLabelled()));
  Wait(net::Sleep(Milliseconds(1500)), true);
  BOOST_TEST(mWorkers.mStarts.empty());

  Do([&] { mCells.at("c/0")->UpdateWorker(MakeRecord("w3")); });

  BOOST_TEST(
    Until([&] { return StartedOn(std::string(kId) + ".0.0.0") == "w3"; }));
}

// A cell with free CPU, but no room for what a job requires, took the job.
BOOST_AUTO_TEST_CASE(job_waits_in_its_cell_while_no_other_has_room_for_it)
{
  Do([&] {
    for (const auto& [cell, worker] :
         { std::pair("a/0", "w4"), std::pair("b/0", "w5") }) {
      mLabels[worker] = { "b" };
      mWorkers.mCapacities[worker] = { 1000, 64000, 0 };
      mCells.at(cell)->UpdateWorker(MakeRecord(worker));
    }
    mCells.at("c/0")->UnlistWorker("w3");
  });
  BOOST_REQUIRE(Until([&] {
    return mCells.at("a/0")->State().mWorkers.contains("w4") &&
           mCells.at("a/0")->State().mWorkers.at("w4")->mIsKnown &&
           mCells.at("b/0")->State().mWorkers.contains("w5") &&
           mCells.at("b/0")->State().mWorkers.at("w5")->mIsKnown;
  }));
  // Each of the first two jobs fills the labelled worker of its cell.
  auto other = MakeLabelled();
  other.mCell = "b/0";
  Wait(mCells.at("b/0")->Execute(other));
  auto own = MakeLabelled();
  own.mJobId = own.mJob.mSpec.mId = "000000000000000b";
  Wait(mFirst->Execute(own));
  BOOST_REQUIRE(Until([&] { return mWorkers.mStarts.size() == 2; }));
  auto waiting = MakeLabelled();
  waiting.mJobId = waiting.mJob.mSpec.mId = "000000000000000c";
  Wait(mFirst->Execute(waiting));

  Wait(net::Sleep(Milliseconds(1000)), true);
  auto isOwned = false;
  Do([&] { isOwned = mFirst->State().mJobs.contains(waiting.mJobId); });
  BOOST_TEST(isOwned);

  Do([&] { mWorkers.End(std::string(kId) + ".0.0.0", cell::EndKind::Done); });
  BOOST_TEST(
    Until([&] { return StartedOn(waiting.mJobId + ".0.0.0") == "w5"; }));
}

BOOST_AUTO_TEST_CASE(new_job_is_declined_by_a_cell_that_cannot_run_it)
{
  auto submission = MakeLabelled();
  submission.mMustBeAbleToRun = true;

  const auto declined = Wait(mFirst->Execute(submission));
  submission.mCell = "c/0";
  const auto accepted = Wait(mCells.at("c/0")->Execute(submission));

  BOOST_TEST((declined.mOutcome == JobOutcome::Declined));
  BOOST_TEST((accepted.mOutcome == JobOutcome::Done));
}

// The free CPU of workers without the label counted.
BOOST_AUTO_TEST_CASE(new_job_is_declined_by_a_cell_that_cannot_start_it_at_once)
{
  auto submission = MakeLabelled();
  submission.mMustStartAtOnce = true;

  const auto reply = Wait(mFirst->Execute(submission));

  BOOST_TEST((reply.mOutcome == JobOutcome::Declined));
}

BOOST_AUTO_TEST_SUITE_END()
