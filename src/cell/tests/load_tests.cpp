#include <boost/test/unit_test.hpp>

#include "cellfixture.h"
#include "eelgrasspost/cell/load.h"

namespace eelgrasspost::cell::testing {

namespace {

/** A cell with one worker of 16 cores and jobs of tasks of 1 s on one core. */
struct LoadFixture : CellFixture
{
  LoadFixture() { AddWorker("w1"); }

  auto AddTimed(const std::string& aId, std::uint32_t aCount) -> Job&
  {
    auto step = MakeStep(aCount);
    step.mEstimatedMs = 1000;
    auto job = MakeJob(aId, step);
    job.mQueue.mStretch = 100;
    return Add(std::move(job));
  }

  auto WaitingCpuMs() const -> double
  {
    auto out = 0.0;
    for (const auto& it : MeasureLoad(mCell, mNow).mBacklogs) {
      out += it.mWaitingCpuMs;
    }
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load, LoadFixture)

BOOST_AUTO_TEST_CASE(tasks_beyond_the_room_count_as_waiting)
{
  AddTimed("job-1", 20);
  Start();
  BOOST_CHECK_CLOSE(WaitingCpuMs(), 4000.0, 1e-6);
  BOOST_CHECK_CLOSE(MeasureLoad(mCell, mNow).mReserved.mCores, 16.0, 1e-6);
}

BOOST_AUTO_TEST_CASE(worthless_and_cancelled_jobs_do_not_count)
{
  AddTimed("job-1", 20).mState = JobState::Cancelled;
  auto& late = AddTimed("job-2", 20);
  late.mStored.mQueue.mStretch = 1;
  late.mAddedAt = mNow - std::chrono::seconds(60);
  BOOST_CHECK_CLOSE(WaitingCpuMs(), 0.0, 1e-6);
}

BOOST_AUTO_TEST_CASE(cell_without_usable_workers_has_no_cores)
{
  mCell.mWorkers.at("w1")->mRecord.mState = WorkerState::Draining;
  BOOST_CHECK_CLOSE(MeasureLoad(mCell, mNow).mReserved.mCores, 0.0, 1e-6);
}

// A new holder has not heard from its workers yet.
BOOST_AUTO_TEST_CASE(workers_not_heard_from_yet_count_as_room)
{
  mCell.mWorkers.at("w1")->mIsKnown = false;
  mCell.mWorkers.at("w1")->mLastContact = {};
  BOOST_CHECK_CLOSE(MeasureLoad(mCell, mNow).mReserved.mCores, 16.0, 1e-6);
}

BOOST_AUTO_TEST_CASE(worker_that_has_refused_a_start_counts_as_room)
{
  mCell.mWorkers.at("w1")->mSuspectUntil = mNow + Milliseconds(300);
  BOOST_CHECK_CLOSE(MeasureLoad(mCell, mNow).mReserved.mCores, 16.0, 1e-6);
}

BOOST_AUTO_TEST_CASE(worker_that_does_not_reply_is_no_room)
{
  Advance(mCell.mPolicy.mSilenceLimit + Milliseconds(1));
  BOOST_CHECK_CLOSE(MeasureLoad(mCell, mNow).mReserved.mCores, 0.0, 1e-6);
}

BOOST_AUTO_TEST_CASE(tasks_that_may_be_running_do_not_count_as_waiting)
{
  auto step = MakeStep(20);
  step.mEstimatedMs = 1000;
  auto job = MakeJob("job-1", step);
  job.mQueue.mStretch = 100;
  Add(std::move(job), {}, true);
  BOOST_CHECK_CLOSE(WaitingCpuMs(), 0.0, 1e-6);
}

// Tasks of later steps wait for others of their job, not for room.
BOOST_AUTO_TEST_CASE(tasks_of_later_steps_do_not_count_as_waiting)
{
  auto step = MakeStep(1);
  step.mEstimatedMs = 1000;
  auto job = MakeJob("job-1", step);
  job.mQueue.mStretch = 100;
  step.mCount = 1000;
  step.mAfter = { 0 };
  job.mSpec.mSteps.push_back(step);
  Add(std::move(job));
  Start();
  BOOST_CHECK_CLOSE(WaitingCpuMs(), 0.0, 1e-6);
}

// Other tasks do not wait behind them.
BOOST_AUTO_TEST_CASE(tasks_for_certain_workers_do_not_count_as_waiting)
{
  auto step = MakeStep(50);
  step.mEstimatedMs = 1000;
  step.mRequiredLabel = "missing";
  auto job = MakeJob("job-1", step);
  job.mQueue.mStretch = 100;
  Add(std::move(job));
  Start();
  BOOST_CHECK_CLOSE(WaitingCpuMs(), 0.0, 1e-6);
  Advance(Milliseconds(1000));
  UpdateRates(mCell, mNow);
  Advance(Milliseconds(1000));
  UpdateRates(mCell, mNow);
  BOOST_CHECK(!MeasureLoad(mCell, mNow).mReserved.mSaturatedRate);
}

// The reported load does not tell services apart.
BOOST_AUTO_TEST_CASE(cell_with_workers_of_two_services_counts_as_room)
{
  WorkerRecord record;
  record.mId = "w2";
  record.mService = "other";
  record.mCapacity = { 16000, 64000, 0 };
  UpdateWorker(mCell, record, mNow);
  AddTimed("job-1", 100);
  Start();
  BOOST_CHECK_CLOSE(WaitingCpuMs(), 0.0, 1e-6);
}

BOOST_AUTO_TEST_CASE(demand_of_a_job_follows_its_queue_and_steps)
{
  auto second = MakeStep(4, 2000);
  second.mEstimatedMs = 500;
  second.mAfter = { 0 };
  auto first = MakeStep(2);
  first.mEstimatedMs = 1000;
  auto job = MakeJob("job-1", first);
  job.mSpec.mSteps.push_back(second);
  job.mQueue.mStretch = 2;
  job.mQueue.mExtraMs = 250;
  const auto demand = DemandOf(job.mSpec, job.mQueue);
  BOOST_CHECK_CLOSE(demand.mCpuMs, 6000.0, 1e-6);
  BOOST_TEST(demand.mChain.count() == 1500);
  BOOST_TEST(demand.mObjective.count() == 3250);
  BOOST_TEST(demand.mLatestUse.count() == 9750);
}

BOOST_AUTO_TEST_CASE(timed_gang_and_long_running_jobs_are_not_subject)
{
  JobSpec job;
  job.mSteps = { MakeStep(1) };
  BOOST_CHECK(IsSubjectToAdmission(job));
  job.mRepeatCount = 2;
  BOOST_CHECK(!IsSubjectToAdmission(job));
  job.mRepeatCount = 0;
  job.mSteps[0].mIsGang = true;
  BOOST_CHECK(!IsSubjectToAdmission(job));
  job.mSteps[0] = MakeServing(1, 1000, "serving");
  BOOST_CHECK(!IsSubjectToAdmission(job));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::cell::testing
