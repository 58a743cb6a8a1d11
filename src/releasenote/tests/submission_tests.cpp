#include <optional>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "internal/submission.h"

namespace {

using namespace eelgrasspost::releasenote;

/** Model of the head row, with commits that have not reached it yet. */
struct ModelTable
{
  int mHead = 0;
  std::optional<int> mWinner;
  std::vector<int> mInFlight;

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

/** Runs single steps of operators' submissions with random faults. */
class RandomRun
{
public:
  RandomRun(std::uint32_t aSeed, bool aIsFaulty)
    : mRandom(aSeed)
    , mIsFaulty(aIsFaulty)
  {
  }

  auto Chance(unsigned aPercent) -> bool { return mRandom() % 100 < aPercent; }

  auto RunStep(int aOperator, Submission& aSubmission) -> void
  {
    if (mIsFaulty && Chance(3)) {
      aSubmission.Handle(SubmissionEvent::DeadlineExpired);
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
      mTable.mInFlight.push_back(aOperator);
      return SubmissionEvent::CommitUnconfirmed;
    }
    const auto isApplied = mTable.Apply(aOperator);
    const auto isLost = mIsFaulty && Chance(30);
    return isApplied && !isLost ? SubmissionEvent::Committed
                                : SubmissionEvent::CommitUnconfirmed;
  }

  std::minstd_rand mRandom;
  bool mIsFaulty;
};

auto CheckOutcome(const ModelTable& aTable, int aOperator, SubmissionStep aStep)
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

BOOST_AUTO_TEST_CASE(
  racing_submissions_under_random_faults_report_the_real_outcome)
{
  constexpr std::uint32_t kSeeds = 5000;
  constexpr int kMaxSteps = 200;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto run = RandomRun(seed, true);
      std::vector<Submission> operators(2);
      for (int i = 0; i < kMaxSteps; ++i) {
        const auto n = run.Chance(50) ? 1U : 0U;
        if (!IsFinal(operators[n].Step())) {
          run.RunStep(static_cast<int>(n), operators[n]);
        }
        auto& late = run.mTable.mInFlight;
        if (!late.empty() && run.Chance(10)) {
          run.mTable.Apply(late.back());
          late.pop_back();
        }
      }
      for (const auto late : run.mTable.mInFlight) {
        run.mTable.Apply(late);
      }
      for (int n = 0; n < 2; ++n) {
        CheckOutcome(
          run.mTable, n, operators[static_cast<std::size_t>(n)].Step());
      }
      // Each operator submits its note again once no more faults occur.
      auto faultless = RandomRun(seed, false);
      faultless.mTable = run.mTable;
      for (int n = 0; n < 2; ++n) {
        Submission again;
        for (int i = 0; i < kMaxSteps && !IsFinal(again.Step()); ++i) {
          faultless.RunStep(n, again);
        }
        BOOST_TEST((again.Step() == SubmissionStep::Accepted) ==
                   (faultless.mTable.mWinner == n));
        CheckOutcome(faultless.mTable, n, again.Step());
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
