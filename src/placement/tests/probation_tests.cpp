#include <boost/test/unit_test.hpp>

#include "eelgrasspost/placement/probation.h"

namespace {

using namespace eelgrasspost::placement;
using eelgrasspost::base::Milliseconds;
using eelgrasspost::base::MonotonicTime;

struct ProbationFixture
{
  auto Run(const std::string& aWorker, const std::string& aJob, bool aSucceeded)
    -> void
  {
    mTracker.Record(aWorker, aJob, aSucceeded, mNow);
  }

  ProbationTracker mTracker{ ProbationPolicy{} };
  MonotonicTime mNow = MonotonicTime() + std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(probation, ProbationFixture)

BOOST_AUTO_TEST_CASE(worker_failing_jobs_that_succeed_on_others_is_paused)
{
  for (const auto* job : { "a", "b", "c" }) {
    Run("good", job, true);
    Run("bad", job, false);
  }
  BOOST_TEST((mTracker.StateOf("bad", mNow) == ProbationState::Paused));
  BOOST_TEST((mTracker.StateOf("good", mNow) == ProbationState::Good));
  for (const auto* job : { "a", "b", "c" }) {
    BOOST_TEST(!mTracker.ReasonToPark(job).has_value());
  }
}

BOOST_AUTO_TEST_CASE(worker_on_trial_recovers_on_success_or_pauses_longer)
{
  for (const auto* job : { "a", "b", "c" }) {
    Run("good", job, true);
    Run("bad", job, false);
  }
  mNow += Milliseconds(30000);
  BOOST_TEST((mTracker.StateOf("bad", mNow) == ProbationState::Trial));
  Run("bad", "a", false);
  mNow += Milliseconds(30000);
  BOOST_TEST((mTracker.StateOf("bad", mNow) == ProbationState::Paused));
  mNow += Milliseconds(30000);
  Run("bad", "a", true);
  BOOST_TEST((mTracker.StateOf("bad", mNow) == ProbationState::Good));
}

BOOST_AUTO_TEST_CASE(job_failing_on_many_good_workers_is_parked)
{
  for (const auto* worker : { "w1", "w2", "w3" }) {
    Run(worker, "fine", true);
    Run(worker, "broken", false);
  }
  BOOST_TEST(mTracker.ReasonToPark("broken").has_value());
  BOOST_TEST(!mTracker.ReasonToPark("fine").has_value());
  for (const auto* worker : { "w1", "w2", "w3" }) {
    BOOST_TEST((mTracker.StateOf(worker, mNow) == ProbationState::Good));
  }
}

BOOST_AUTO_TEST_SUITE_END()
