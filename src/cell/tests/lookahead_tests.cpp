#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cellfixture.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/lookahead.h"

namespace eelgrasspost::cell::testing {

namespace {

/** Two workers of 16 cores, small jobs that arrive all the time, and a large
 * task that needs half of a worker. */
struct LookAheadFixture : CellFixture
{
  static constexpr std::int64_t kLargeCpu = 8000;
  std::size_t mJobs = 0;

  LookAheadFixture()
  {
    mCell.mPolicy.mLooksAhead = true;
    AddWorker("w1");
    AddWorker("w2");
  }

  static auto MakeTimed(std::uint32_t aCount,
                        std::int64_t aCpu,
                        std::int64_t aEstimatedMs) -> StepSpec
  {
    auto out = MakeStep(aCount, aCpu);
    out.mEstimatedMs = aEstimatedMs;
    return out;
  }

  auto AddTimed(std::uint32_t aCount,
                std::int64_t aCpu,
                std::int64_t aEstimatedMs) -> std::string
  {
    auto job = MakeJob(base::Cat("job-", ++mJobs),
                       MakeTimed(aCount, aCpu, aEstimatedMs));
    job.mQueue.mStretch = 10;
    Add(std::move(job));
    return base::Cat("job-", mJobs);
  }

  auto Place() -> std::vector<Order>
  {
    mCell.mHasNewReady = true;
    return Start();
  }

  auto RunOf(const std::string& aTask) -> const Run*
  {
    for (const auto& [id, it] : mCell.mWorkers) {
      const auto run = it->mRuns.find(aTask);
      if (run != it->mRuns.end()) {
        return &run->second;
      }
    }
    return nullptr;
  }

  /** Ends the runs of a worker that have run for the given time. */
  auto EndAfter(Milliseconds aTime) -> void
  {
    for (const auto& id : { "w1", "w2" }) {
      auto& worker = *mCell.mWorkers.at(id);
      std::vector<EndRow> ends;
      std::vector<RunningRow> running;
      for (const auto& [name, run] : worker.mRuns) {
        if (mNow - run.mStartedAt >= aTime) {
          ends.push_back({ worker.mSeenEnds + ends.size() + 1,
                           name,
                           run.mAttempt,
                           EndKind::Done,
                           "" });
        } else {
          running.push_back({ name, run.mAttempt, "", 0, 0 });
        }
      }
      Report(id, std::move(running), std::move(ends));
    }
  }

  /** Waits of the large task under a stream of small ones. */
  auto WaitOfLargeTask() -> Milliseconds
  {
    constexpr auto kStep = Milliseconds(50);
    constexpr auto kSmallTime = Milliseconds(1000);
    for (auto i = 0; i < 20; ++i) {
      AddTimed(2, 1000, kSmallTime.count());
      Place();
      Advance(kStep);
    }
    const auto large = AddTimed(1, kLargeCpu, 1000) + ".0.0.0";
    const auto since = mNow;
    while (!RunOf(large) && mNow - since < Milliseconds(20000)) {
      AddTimed(2, 1000, kSmallTime.count());
      Place();
      Advance(kStep);
      EndAfter(kSmallTime);
    }
    return std::chrono::duration_cast<Milliseconds>(mNow - since);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(look_ahead, LookAheadFixture)

// Small jobs leave gaps that a large one cannot use.
BOOST_AUTO_TEST_CASE(large_task_under_stream_of_small_ones_starts_soon)
{
  BOOST_TEST(WaitOfLargeTask().count() <= 1500);
}

BOOST_AUTO_TEST_CASE(large_task_without_look_ahead_waits_longer)
{
  mCell.mPolicy.mLooksAhead = false;
  const auto without = WaitOfLargeTask();
  LookAheadFixture other;
  BOOST_TEST(other.WaitOfLargeTask() < without);
}

BOOST_AUTO_TEST_CASE(room_is_gathered_where_it_is_complete_soonest)
{
  AddTimed(1, 16000, 4000);
  AddTimed(1, 16000, 1000);
  Place();
  const auto large = AddTimed(1, kLargeCpu, 1000) + ".0.0.0";
  Place();
  const auto* sooner = RunOf("job-2.0.0.0");
  BOOST_REQUIRE(sooner);
  for (const auto& [id, it] : mCell.mWorkers) {
    const auto hasSooner = it->mRuns.contains("job-2.0.0.0");
    BOOST_CHECK_EQUAL(it->mGathering.has_value(), hasSooner);
  }
}

BOOST_AUTO_TEST_CASE(task_that_ends_before_room_is_complete_fills_it)
{
  AddTimed(2, 12000, 2000);
  Place();
  AddTimed(1, kLargeCpu, 1000);
  const auto brief = AddTimed(1, 1000, 500) + ".0.0.0";
  Place();
  BOOST_CHECK(RunOf(brief));
}

BOOST_AUTO_TEST_CASE(task_that_would_delay_gathered_room_goes_elsewhere)
{
  AddTimed(1, 12000, 1000);
  AddTimed(1, 12000, 3000);
  Place();
  AddTimed(1, 16000, 1000);
  const auto lengthy = AddTimed(1, 4000, 5000) + ".0.0.0";
  Place();
  BOOST_REQUIRE(RunOf(lengthy));
  BOOST_CHECK(!mCell.mWorkers.at("w1")->mRuns.contains(lengthy) ||
              !mCell.mWorkers.at("w1")->mGathering);
  BOOST_CHECK(!mCell.mWorkers.at("w2")->mRuns.contains(lengthy) ||
              !mCell.mWorkers.at("w2")->mGathering);
}

BOOST_AUTO_TEST_CASE(brief_task_fills_room_after_a_lengthy_one_found_none)
{
  AddTimed(1, 16000, 60000);
  AddTimed(1, 12000, 2000);
  Place();
  AddTimed(1, 16000, 1000);
  const auto lengthy = AddTimed(1, 1000, 8000) + ".0.0.0";
  const auto brief = AddTimed(1, 1000, 500) + ".0.0.0";
  Place();
  BOOST_CHECK(!RunOf(lengthy));
  BOOST_CHECK(RunOf(brief));
}

// The step may have one task on each worker; more room does not help it.
BOOST_AUTO_TEST_CASE(no_room_is_gathered_where_another_limit_holds_a_task_back)
{
  auto step = MakeTimed(3, 4000, 5000);
  step.mMaxPerWorker = 1;
  auto job = MakeJob("job-apart", step);
  job.mQueue.mStretch = 10;
  Add(std::move(job));
  Place();
  Advance(Milliseconds(1));
  const auto lengthy = AddTimed(2, 9000, 8000);
  Place();
  for (const auto& [id, it] : mCell.mWorkers) {
    BOOST_CHECK(!it->mGathering);
  }
  BOOST_CHECK(RunOf(lengthy + ".0.0.0"));
  BOOST_CHECK(RunOf(lengthy + ".0.0.1"));
}

BOOST_AUTO_TEST_CASE(gathering_for_job_that_became_worthless_is_given_up)
{
  AddTimed(2, 16000, 60000);
  Place();
  AddTimed(1, kLargeCpu, 100);
  Place();
  for (const auto& [id, it] : mCell.mWorkers) {
    BOOST_CHECK(!it->mGathering);
  }
}

BOOST_AUTO_TEST_CASE(worker_that_drains_gathers_nothing)
{
  AddTimed(2, 16000, 1000);
  Place();
  AddTimed(1, kLargeCpu, 1000);
  for (const auto& id : { "w1", "w2" }) {
    auto record = mCell.mWorkers.at(id)->mRecord;
    record.mState = WorkerState::Draining;
    UpdateWorker(mCell, record, mNow);
  }
  Place();
  for (const auto& [id, it] : mCell.mWorkers) {
    BOOST_CHECK(!it->mGathering);
  }
}

BOOST_AUTO_TEST_CASE(lost_long_running_task_uses_gathered_room)
{
  AddTimed(2, 12000, 2000);
  Place();
  AddTimed(1, kLargeCpu, 1000);
  auto job = MakeJob("00000000000000ff", MakeServing(1, 4000, "serving"));
  auto& task =
    Add(std::move(job), {}, true).mOccurrences.at(0)->mSteps[0].mTasks[0];
  task.mMayBeRunning = false;
  Place();
  BOOST_CHECK(RunOf("00000000000000ff.0.0.0"));
}

// Estimates off by two: the ratio of the queue corrects them.
BOOST_AUTO_TEST_CASE(run_times_twice_the_estimate_are_learned)
{
  for (auto i = 0; i < 200; ++i) {
    AddTimed(1, 1000, 500);
    Place();
    Advance(Milliseconds(990));
    EndAfter(Milliseconds(900));
  }
  BOOST_TEST(mCell.mRunTimeRatios.at("queue") > 1.8);
  BOOST_TEST(mCell.mRunTimeRatios.at("queue") < 2.2);
}

BOOST_AUTO_TEST_CASE(progress_of_a_run_tells_its_end)
{
  const auto task = AddTimed(1, 1000, 500) + ".0.0.0";
  Place();
  const auto* run = RunOf(task);
  BOOST_REQUIRE(run);
  const auto startedAt = run->mStartedAt;
  Advance(Milliseconds(1000));
  auto copy = *run;
  copy.mPercent = 50;
  copy.mPercentMovedAt = mNow;
  const auto end = ExpectedEnd(mCell, copy, mNow);
  BOOST_REQUIRE(end);
  const auto total = std::chrono::duration_cast<Milliseconds>(*end - startedAt);
  BOOST_TEST(total.count() >= 1900);
  BOOST_TEST(total.count() <= 2100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::cell::testing
