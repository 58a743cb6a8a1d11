#include <random>

#include <boost/test/unit_test.hpp>

#include "largejobfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeFault;
using dispatch::testing::LargeJobFixture;

constexpr unsigned kSeeds = 6;

/** The first seed; another one can be given after "--". */
auto FirstSeed() -> unsigned
{
  const auto& suite = boost::unit_test::framework::master_test_suite();
  return suite.argc > 1 ? static_cast<unsigned>(std::stoul(suite.argv[1])) : 1;
}

/** A job of a random shape, of which runs end, and whose holder and store fail,
 * at random moments. */
struct RandomLargeJob : LargeJobFixture
{
  std::mt19937 mRandom;
  std::size_t mTasks = 0;

  explicit RandomLargeJob(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  auto Draw(std::size_t aCount) -> std::size_t { return mRandom() % aCount; }

  auto SubmitRandomJob() -> void
  {
    constexpr std::array<std::uint32_t, 6> kCounts = { 1,   12,   128,
                                                       129, 1000, 3000 };
    constexpr std::array<std::int64_t, 3> kAttempts = { 16, 100, 1000 };
    std::vector<std::uint32_t> counts(1 + Draw(4));
    for (auto& it : counts) {
      it = kCounts[Draw(kCounts.size())];
    }
    auto submission = MakeLargeJob(counts);
    auto& spec = submission.mJob.mSpec;
    submission.mJob.mQueue.mMaxAttempts = kAttempts[Draw(kAttempts.size())];
    for (auto& it : spec.mSteps) {
      it.mNeed = { 0, 0, 0 };
      if (Draw(3) == 0) {
        it.mAfter.clear();
      }
      mTasks += it.mCount;
    }
    if (mTasks < 500 && Draw(2) == 0) {
      spec.mRepeatCount = static_cast<std::uint32_t>(1 + Draw(12));
      spec.mFirstStartMs = 1;
      mTasks *= spec.mRepeatCount;
    }
    Submit(submission);
  }

  auto EndSomeRuns() -> void
  {
    Do([&] {
      const auto count = 1 + Draw(mWorkers.mRunning.size() + 1);
      switch (Draw(4)) {
        case 0:
          EndRuns(count, cell::EndKind::Failed);
          break;
        case 1:
          EndRuns(count, cell::EndKind::Stopped, "00000bb87a21d94b");
          break;
        default:
          EndRuns(count, cell::EndKind::Done);
      }
    });
  }

  auto AddFaults() -> void
  {
    constexpr std::array kFaults = { FakeFault::None,
                                     FakeFault::Refuse,
                                     FakeFault::LoseReply,
                                     FakeFault::LoseCall,
                                     FakeFault::ApplyLate };
    Do([&] {
      for (auto i = Draw(4); i > 0; --i) {
        mStore.mFaults.push_back(kFaults[Draw(kFaults.size())]);
      }
      if (Draw(3) == 0) {
        mStore.mDelays.push_back(Milliseconds(Draw(150)));
      }
    });
  }

  auto Play() -> void
  {
    SubmitRandomJob();
    constexpr auto kRounds = 25;
    for (auto i = 0; i < kRounds; ++i) {
      switch (Draw(8)) {
        case 0:
          TakeOver();
          break;
        case 1:
          AddFaults();
          break;
        case 2:
          Do([&] { mStore.ApplyLateCalls(); });
          break;
        default:
          EndSomeRuns();
      }
      Wait(net::Sleep(Milliseconds(Draw(60))), true);
    }
    Do([&] { mStore.mFaults.clear(); });
  }

  auto Check() -> void
  {
    BOOST_TEST(Finish());
    BOOST_TEST(mDone.size() == mTasks);
    BOOST_TEST(AreEndsAcknowledged());
    BOOST_TEST(HasNoRows());
    Do([&] {
      mStore.ApplyLateCalls();
      CheckStarts();
    });
    BOOST_TEST(HasNoRows());
    BOOST_TEST(mStartedAgain.empty());
    BOOST_TEST(mWorkers.mOverlaps == 0U);
    BOOST_TEST(mStore.mRejected == 0U);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(largejob_events)

// Guards against jobs of any shape of which progress is rejected, lost or
// repeated when it is stored, taken over and stored again.
BOOST_AUTO_TEST_CASE(job_of_any_shape_is_done_once)
{
  const auto first = FirstSeed();
  for (auto seed = first; seed < first + kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RandomLargeJob job(seed);
      job.Play();
      job.Check();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
