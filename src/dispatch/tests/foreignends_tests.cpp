#include <boost/test/unit_test.hpp>

#include "holderfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::HolderFixture;

constexpr auto kSettlingTime = Milliseconds(300);

/** A job of cell "b/0" that has not started, as no worker there has room. A
 * worker of cell "a/0" lists an end of its task. */
struct ForeignEnd : HolderFixture
{
  const std::string mId = "0000000000000001";
  const std::string mTask = mId + ".0.0.0";
  std::shared_ptr<CellHolder> mOwner;
  std::shared_ptr<CellHolder> mOther;

  ForeignEnd()
  {
    mOwner = MakeHolder(1, "b/0", { "w2" });
    mOther = MakeHolder(1, "a/0", { "w1" });
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 2; }));
    auto submission = MakeSubmission(mId);
    submission.mCell = "b/0";
    submission.mJob.mSpec.mSteps[0].mNeed.mCpuMillis = 20000;
    Wait(mOwner->Execute(submission));
  }

  ~ForeignEnd()
  {
    Do([&] {
      mOwner->End();
      mOther->End();
    });
    StopPool();
  }

  auto ListEnd(cell::EndKind aKind) -> void
  {
    Do([&] { mWorkers.mEnds.push_back({ "w1", { 1, mTask, 7, aKind, "" } }); });
  }

  auto IsAcknowledged() -> bool
  {
    auto out = false;
    Do([&] { out = mWorkers.mEnds.empty(); });
    return out;
  }

  auto MakeOwnerReachable() -> void
  {
    Do([&] { mCells = { { "b/0", mOwner } }; });
  }
};

} // namespace

// Guards against tasks that start again after a cell that does not have their
// job has acknowledged their ends.
BOOST_FIXTURE_TEST_SUITE(ends_of_jobs_of_other_cells, ForeignEnd)

BOOST_AUTO_TEST_CASE(end_done_is_stored_by_its_cell_and_then_acknowledged)
{
  MakeOwnerReachable();
  ListEnd(cell::EndKind::Done);

  BOOST_TEST(Until([&] { return mWorkers.mEnds.empty(); }));
  Do([&] {
    BOOST_TEST((IdState(mId) == cell::JobState::Done));
    BOOST_TEST(mWorkers.mStarts.empty());
  });
}

BOOST_AUTO_TEST_CASE(end_is_not_acknowledged_before_its_cell_can_be_asked)
{
  ListEnd(cell::EndKind::Done);
  Wait(net::Sleep(kSettlingTime), true);
  BOOST_TEST(!IsAcknowledged());

  MakeOwnerReachable();
  BOOST_TEST(Until([&] { return mWorkers.mEnds.empty(); }));
  Do([&] { BOOST_TEST((IdState(mId) == cell::JobState::Done)); });
}

BOOST_AUTO_TEST_CASE(end_is_not_acknowledged_while_the_store_is_unavailable)
{
  MakeOwnerReachable();
  Do([&] { mStore.mIsUnavailable = true; });
  ListEnd(cell::EndKind::Done);
  Wait(net::Sleep(kSettlingTime), true);
  BOOST_TEST(!IsAcknowledged());

  Do([&] { mStore.mIsUnavailable = false; });
  BOOST_TEST(Until([&] { return mWorkers.mEnds.empty(); }));
  Do([&] { BOOST_TEST((IdState(mId) == cell::JobState::Done)); });
}

BOOST_AUTO_TEST_CASE(end_failed_counts_as_an_attempt_of_the_job)
{
  MakeOwnerReachable();
  ListEnd(cell::EndKind::Failed);

  BOOST_TEST(Until([&] { return mWorkers.mEnds.empty(); }));
  Do([&] {
    const auto& job = *mOwner->State().mJobs.at(mId);
    const auto& task = job.mOccurrences.at(0)->mSteps[0].mTasks[0];
    BOOST_TEST(task.mFailedAttempts.size() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(end_of_an_unknown_job_is_acknowledged)
{
  Do([&] {
    mWorkers.mEnds.push_back(
      { "w1", { 1, "00000000000000ff.0.0.0", 7, cell::EndKind::Done, "" } });
  });
  BOOST_TEST(Until([&] { return mWorkers.mEnds.empty(); }));
}

BOOST_AUTO_TEST_SUITE_END()
