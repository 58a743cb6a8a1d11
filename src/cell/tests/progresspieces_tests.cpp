#include <random>

#include <boost/test/unit_test.hpp>

#include "cellfixture.h"
#include "eelgrasspost/cell/progresspieces.h"
#include "eelgrasspost/net/codec.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::cell;
using cell::testing::CellFixture;

/** The platform's store holds no larger rows. */
constexpr std::size_t kMaxRowBytes = 65536;
/** Tasks that a job may have. */
constexpr std::uint32_t kMaxTasks = 10000;
constexpr std::size_t kAnyRanges = 1000;

/** A job and its progress as it is stored in pieces. */
struct Pieces : CellFixture
{
  std::vector<PieceRange> mDone;
  std::map<std::uint64_t, ProgressPiece> mPieces;

  static auto MakeManySteps(const std::vector<std::uint32_t>& aCounts,
                            std::uint32_t aOccurrences) -> StoredJob
  {
    auto out = MakeJob("j", MakeStep(aCounts[0]));
    for (std::size_t i = 1; i < aCounts.size(); ++i) {
      out.mSpec.mSteps.push_back(MakeStep(aCounts[i]));
    }
    if (aOccurrences > 1) {
      out.mSpec.mRepeatCount = aOccurrences;
      out.mSpec.mFirstStartMs = 1;
    }
    return out;
  }

  template<typename F>
  static auto ForEachTask(Job& aJob, F aFunction) -> void
  {
    for (auto& [number, occurrence] : aJob.mOccurrences) {
      for (auto& step : occurrence->mSteps) {
        for (auto& it : step.mTasks) {
          aFunction(it);
        }
      }
    }
  }

  auto Store(const Job& aJob, std::size_t aMaxRanges = kAnyRanges) -> void
  {
    for (std::uint64_t i = 0; i < CountPieces(aJob.mStored); ++i) {
      if (IsPieceDone(aJob, i) && AddToRanges(mDone, i, aMaxRanges)) {
        continue;
      }
      auto piece = ProgressOfPiece(aJob, i);
      if (HasProgress(piece)) {
        mPieces[i] = std::move(piece);
      }
    }
  }

  /** The job as the next holder of the cell reads it. */
  auto Load(CellState& aCell, const Job& aJob) -> Job&
  {
    return AddJob(aCell,
                  aJob.mStored,
                  MergePieces(aJob.mStored, mDone, mPieces),
                  true,
                  mNow,
                  1000000);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(progress_pieces, Pieces)

// Guards against rows that the store rejects, as the tasks of a job that are
// not done have checkpoints or have failed.
BOOST_AUTO_TEST_CASE(piece_of_tasks_that_all_have_progress_fits_into_a_row)
{
  for (const auto attempts : { 1, 4, 16, 1000 }) {
    auto stored = MakeJob("j", MakeStep(kMaxTasks));
    stored.mQueue.mMaxAttempts = attempts;
    auto& job = Add(stored);
    ForEachTask(job, [&](Task& aTask) {
      aTask.mFailedAttempts.assign(static_cast<std::size_t>(attempts), 1);
      aTask.mCheckpoint = "00000bb87a21d94b";
      aTask.mHostCell = "gt-central-a/12";
      aTask.mCrashes = { 1, 1 };
    });
    for (std::uint64_t i = 0; i < CountPieces(stored); ++i) {
      BOOST_REQUIRE(net::Encode(ProgressOfPiece(job, i)).size() < kMaxRowBytes);
    }
  }
}

// Guards against tasks that run again, or lose their failures or checkpoints,
// after the pieces of their job were read.
BOOST_AUTO_TEST_CASE(pieces_that_are_read_again_have_the_same_progress)
{
  std::mt19937 random(7); // NOLINT: the same shapes in each run
  const std::vector<std::vector<std::uint32_t>> shapes = {
    { 200 }, { 1, 127, 1, 300 }, { 128, 128 }, { 7, 3, 5 }, { 1000 }
  };
  for (const auto& counts : shapes) {
    for (const auto occurrences : { 1U, 40U }) {
      for (const auto ranges : { kAnyRanges, std::size_t(1) }) {
        mDone.clear();
        mPieces.clear();
        CellState cell;
        auto& job = AddJob(
          cell, MakeManySteps(counts, occurrences), {}, false, mNow, 1000000);
        const auto donePercent = random() % 101;
        ForEachTask(job, [&](Task& aTask) {
          if (random() % 100 < donePercent) {
            TaskProgress done{
              aTask.mOccurrence, aTask.mStep, aTask.mIndex, true
            };
            ApplyForeignEnd(cell, job, done, mNow);
          } else if (random() % 3 == 0) {
            aTask.mCheckpoint = "checkpoint";
            aTask.mFailedAttempts = { random() % 10 };
          }
        });
        Store(job, ranges);

        CellState next;
        auto& again = Load(next, job);
        BOOST_REQUIRE(again.mOccurrences.size() == job.mOccurrences.size());
        ForEachTask(again, [&](Task& aTask) {
          const auto& was =
            *FindTask(job, { aTask.mOccurrence, aTask.mStep, aTask.mIndex });
          BOOST_REQUIRE((aTask.mPhase == TaskPhase::Done) ==
                        (was.mPhase == TaskPhase::Done));
          BOOST_REQUIRE(aTask.mCheckpoint == was.mCheckpoint);
          BOOST_REQUIRE(aTask.mFailedAttempts == was.mFailedAttempts);
        });
        BOOST_TEST((again.mState == JobState::Done) ==
                   (job.mState == JobState::Done));
      }
    }
  }
}

// Guards against members of a gang that are started again without the others,
// as the pieces of the gang were written by several transactions.
BOOST_AUTO_TEST_CASE(gang_of_which_some_pieces_are_stored_is_done_as_a_whole)
{
  auto step = MakeStep(300);
  step.mIsGang = true;
  auto& job = Add(MakeJob("j", step));
  ForEachTask(job, [](Task& aTask) { aTask.mFailedAttempts = { 5 }; });
  Store(job);
  mPieces.erase(1);
  CellState next;
  ForEachTask(Load(next, job), [](Task& aTask) {
    BOOST_REQUIRE(aTask.mFailedAttempts.size() == 1U);
  });

  ApplyForeignEnd(mCell, job, { 0, 0, 3, true }, mNow);
  mPieces.clear();
  mPieces[2] = ProgressOfPiece(job, 2);
  CellState afterNext;
  BOOST_TEST((Load(afterNext, job).mState == JobState::Done));
}

BOOST_AUTO_TEST_CASE(changes_of_a_task_mark_its_piece_only)
{
  AddWorker("w1", 1000000);
  auto step = MakeStep(1000);
  step.mNeed = { 1, 1, 0 };
  auto& job = Add(MakeJob("j", step));
  const auto started = Start();
  BOOST_REQUIRE(started.size() == 1000U);
  Report(
    "w1",
    {},
    { { 1, "j.0.0.300", started[300].mAttempt, EndKind::Done, "" },
      { 2, "j.0.0.999", started[999].mAttempt, EndKind::Failed, "" },
      { 3, "j.0.0.5", started[5].mAttempt, EndKind::Stopped, "checkpoint" } });
  BOOST_TEST((job.mChangedPieces == std::set<std::uint64_t>{ 0, 2, 7 }));
}

BOOST_AUTO_TEST_CASE(longest_checkpoints_are_left_out_until_the_rest_fits)
{
  std::vector<TaskProgress> tasks(3);
  tasks[0].mCheckpoint = std::string(100, 'a');
  tasks[1].mCheckpoint = std::string(kMaxRowBytes, 'b');
  tasks[2].mCheckpoint = std::string(200, 'c');
  BOOST_TEST(LimitCheckpoints(tasks, kMaxRowBytes) == 1U);
  BOOST_TEST(tasks[0].mCheckpoint.size() == 100U);
  BOOST_TEST(tasks[1].mCheckpoint.empty());
  BOOST_TEST(tasks[2].mCheckpoint.size() == 200U);
}

BOOST_AUTO_TEST_CASE(ranges_merge_and_keep_their_limit)
{
  std::vector<PieceRange> ranges;
  for (const auto it : { 5U, 3U, 4U, 9U, 5U }) {
    BOOST_TEST(AddToRanges(ranges, it, 2));
  }
  BOOST_TEST((ranges == std::vector<PieceRange>{ { 3, 3 }, { 9, 1 } }));
  BOOST_TEST(!AddToRanges(ranges, 7, 2));
  BOOST_TEST(AddToRanges(ranges, 8, 2));
  BOOST_TEST(IsInRanges(ranges, 4));
  BOOST_TEST(IsInRanges(ranges, 8));
  BOOST_TEST(!IsInRanges(ranges, 7));
}

BOOST_AUTO_TEST_SUITE_END()
