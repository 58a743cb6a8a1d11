#include <optional>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "internal/submission.h"

namespace {

using namespace eelgrasspost::releasenote;

/** The head row, and commits that are still on their way to it. */
struct ModelTable
{
  int mHead = 0;
  std::optional<int> mWinner;
  std::vector<int> mOnTheirWay;

  auto Apply(int aOperator) -> bool
  {
    if (mHead != 0) {
      return false;
    }
    mHead = 1;
    mWinner = aOperator;
    return true;
  }
};

/** Plays one step of an operator's submission with random faults. */
class RandomRun
{
public:
  RandomRun(std::uint32_t aSeed, bool aIsFaulty)
    : mRandom(aSeed)
    , mIsFaulty(aIsFaulty)
  {
  }

  auto Chance(unsigned aPercent) -> bool { return mRandom() % 100 < aPercent; }

  auto Play(int aOperator, Submission& aSubmission) -> void
  {
    if (mIsFaulty && Chance(3)) {
      aSubmission.Handle(SubmissionEvent::OutOfTime);
      return;
    }
    if (mIsFaulty && aSubmission.Step() != SubmissionStep::Commit &&
        Chance(20)) {
      aSubmission.Handle(SubmissionEvent::ReadFailed);
      return;
    }
    aSubmission.Handle(Observe(aOperator, aSubmission.Step()));
  }

  ModelTable mTable;

private:
  auto Observe(int aOperator, SubmissionStep aStep) -> SubmissionEvent
  {
    if (aStep == SubmissionStep::ReadHead) {
      return mTable.mHead == 0 ? SubmissionEvent::HeadIsBase
                               : SubmissionEvent::HeadIsNewer;
    }
    if (aStep == SubmissionStep::ReadWinner) {
      return mTable.mWinner == aOperator ? SubmissionEvent::WinnerIsOwn
                                         : SubmissionEvent::WinnerIsOther;
    }
    if (mIsFaulty && Chance(20)) {
      return SubmissionEvent::CommitNotSent;
    }
    if (mIsFaulty && Chance(40)) {
      mTable.mOnTheirWay.push_back(aOperator);
      return SubmissionEvent::CommitUnclear;
    }
    const auto isApplied = mTable.Apply(aOperator);
    const auto isLost = mIsFaulty && Chance(30);
    return isApplied && !isLost ? SubmissionEvent::Committed
                                : SubmissionEvent::CommitUnclear;
  }

  std::minstd_rand mRandom;
  bool mIsFaulty;
};

auto CheckVerdict(const ModelTable& aTable, int aOperator, SubmissionStep aStep)
  -> void
{
  const auto hasWon = aTable.mWinner == aOperator;
  if (aStep == SubmissionStep::Accepted) {
    BOOST_TEST(hasWon);
  }
  if (aStep == SubmissionStep::Conflict) {
    BOOST_TEST((aTable.mWinner && !hasWon));
  }
  if (aStep == SubmissionStep::NotSubmitted) {
    BOOST_TEST(!hasWon);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(submission)

BOOST_AUTO_TEST_CASE(racing_submissions_under_random_faults_tell_the_truth)
{
  constexpr std::uint32_t kSeeds = 5000;
  constexpr int kMostSteps = 200;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto run = RandomRun(seed, true);
      std::vector<Submission> operators(2);
      for (int i = 0; i < kMostSteps; ++i) {
        const auto n = run.Chance(50) ? 1U : 0U;
        if (!IsFinal(operators[n].Step())) {
          run.Play(static_cast<int>(n), operators[n]);
        }
        auto& late = run.mTable.mOnTheirWay;
        if (!late.empty() && run.Chance(10)) {
          run.mTable.Apply(late.back());
          late.pop_back();
        }
      }
      for (const auto late : run.mTable.mOnTheirWay) {
        run.mTable.Apply(late);
      }
      for (int n = 0; n < 2; ++n) {
        CheckVerdict(
          run.mTable, n, operators[static_cast<std::size_t>(n)].Step());
      }
      // Each repeats its note when the table is well again.
      auto calm = RandomRun(seed, false);
      calm.mTable = run.mTable;
      for (int n = 0; n < 2; ++n) {
        Submission again;
        for (int i = 0; i < kMostSteps && !IsFinal(again.Step()); ++i) {
          calm.Play(n, again);
        }
        BOOST_TEST((again.Step() == SubmissionStep::Accepted) ==
                   (calm.mTable.mWinner == n));
        CheckVerdict(calm.mTable, n, again.Step());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(final_step_given_any_event_stays_final)
{
  constexpr std::uint32_t kSeeds = 500;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    std::minstd_rand random(seed);
    Submission submission;
    auto last = submission.Step();
    for (int i = 0; i < 50; ++i) {
      submission.Handle(kSubmissionEvents[random() % kSubmissionEvents.size()]);
      BOOST_TEST((!IsFinal(last) || submission.Step() == last));
      last = submission.Step();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
