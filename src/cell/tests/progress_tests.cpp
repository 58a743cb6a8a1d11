#include <boost/test/unit_test.hpp>

#include "cellfixture.h"
#include "eelgrasspost/net/codec.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::cell;
using cell::testing::CellFixture;

/** The platform's store holds no larger rows. */
constexpr std::size_t kMaxRowBytes = 65536;
/** Tasks that a job may have. */
constexpr std::uint32_t kMaxTasks = 10000;

/** A job with a step of many tasks, all of which run. */
struct ManyTasks : CellFixture
{
  Job* mJob = nullptr;
  std::vector<Order> mStarted;

  auto StartTasks(std::uint32_t aCount) -> void
  {
    AddWorker("w1", 1000000);
    auto step = MakeStep(aCount);
    step.mNeed = { 1, 1, 0 };
    mJob = &Add(MakeJob("j", step));
    mStarted = Start();
    BOOST_REQUIRE(mStarted.size() == aCount);
  }

  /** Ends every aEach-th task as done. */
  auto EndTasks(std::size_t aEach) -> void
  {
    std::vector<EndRow> ends;
    for (std::size_t i = 0; i < mStarted.size(); i += aEach) {
      ends.push_back({ ends.size() + 1,
                       mStarted[i].mTask,
                       mStarted[i].mAttempt,
                       EndKind::Done,
                       "" });
    }
    Report("w1", {}, std::move(ends));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(progress, ManyTasks)

// Guards against a cell that stands still for good, as the store refuses the
// progress of a job with many tasks that are done.
BOOST_AUTO_TEST_CASE(job_with_most_tasks_half_of_them_done_fits_into_a_row)
{
  StartTasks(kMaxTasks);
  EndTasks(2);
  const auto& step = mJob->mOccurrences.at(0)->mSteps[0];
  BOOST_REQUIRE(step.mDone == kMaxTasks / 2);

  BOOST_TEST(net::Encode(ProgressOf(*mJob)).size() < kMaxRowBytes);
}

BOOST_AUTO_TEST_CASE(job_with_many_occurrences_done_fits_into_a_row)
{
  constexpr std::uint32_t kOccurrences = 2000;
  auto stored = MakeJob("j", MakeStep(8));
  stored.mSpec.mRepeatCount = kOccurrences;
  stored.mSpec.mFirstStartMs = 1;
  stored.mSpec.mIntervalMs = 1;
  auto& job = AddJob(mCell, stored, {}, false, mNow, kOccurrences + 1);
  for (auto& [number, occurrence] : job.mOccurrences) {
    for (std::uint32_t i = 0; i < 8; ++i) {
      TaskProgress done;
      done.mOccurrence = number;
      done.mIndex = i;
      done.mIsDone = number != 7;
      ApplyForeignEnd(mCell, job, done, mNow);
    }
  }

  const auto progress = ProgressOf(job);
  BOOST_TEST(net::Encode(progress).size() < kMaxRowBytes);
  CellState next;
  auto& again = AddJob(next, stored, progress, true, mNow, kOccurrences + 1);
  BOOST_TEST(again.mOccurrencesDone.size() == kOccurrences - 1);
  BOOST_TEST(!again.mOccurrencesDone.contains(7));
}

BOOST_AUTO_TEST_CASE(progress_that_is_read_again_has_the_same_tasks_done)
{
  StartTasks(21);
  EndTasks(3);

  CellState next;
  auto& again = AddJob(next, mJob->mStored, ProgressOf(*mJob), true, mNow, 0);
  const auto& tasks = again.mOccurrences.at(0)->mSteps[0].mTasks;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    BOOST_TEST((tasks[i].mPhase == TaskPhase::Done) ==
               (mJob->mOccurrences.at(0)->mSteps[0].mTasks[i].mPhase ==
                TaskPhase::Done));
  }
  BOOST_TEST(again.mOccurrences.at(0)->mSteps[0].mDone == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
