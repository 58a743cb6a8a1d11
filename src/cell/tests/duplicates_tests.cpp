#include <boost/test/unit_test.hpp>

#include "duplicatesfixture.h"

namespace eelgrasspost::cell::testing {

BOOST_FIXTURE_TEST_SUITE(duplicates, DuplicatesFixture)

BOOST_AUTO_TEST_CASE(straggler_on_slow_worker_gets_one_duplicate_elsewhere)
{
  const auto order = Duplicate();
  BOOST_TEST(order.mTask == mTask);
  BOOST_TEST(order.mWorker != "w1");
  BOOST_TEST(order.mAttempt > Runs("w1").at(mTask).mAttempt);
  BOOST_TEST(order.mPayload == "payload");
  BOOST_TEST(TaskOf(mTask).mWorker == mCell.mWorkers.at("w1").get());
  BOOST_TEST(CountEvents("started") == 1);
  BOOST_TEST(mCell.mDuplicateStarts == 1U);
  RunSlowly();
  BOOST_TEST(CountStarts(NextOrders()) == 0);
}

BOOST_AUTO_TEST_CASE(straggler_without_setting_goes_on)
{
  mCell.mPolicy.mStartsDuplicates = false;
  StartOnSlow(MakeTimed());
  RunSlowly();
  BOOST_TEST(NextOrders().empty());
}

BOOST_AUTO_TEST_CASE(straggler_of_step_without_duplicates_goes_on)
{
  auto step = MakeTimed();
  step.mAllowsDuplicates = false;
  StartOnSlow(step);
  RunSlowly();
  BOOST_TEST(NextOrders().empty());
}

BOOST_AUTO_TEST_CASE(run_within_spread_of_its_queue_goes_on)
{
  StartOnSlow(MakeTimed());
  RunFor(kUsual, 60);
  BOOST_TEST(NextOrders().empty());
}

// Runs of the queue take three times their estimates.
BOOST_AUTO_TEST_CASE(run_as_slow_as_its_queue_goes_on)
{
  mCell.mRunTimeRatios["queue"] = 3.0;
  StartOnSlow(MakeTimed());
  RunFor(2 * kUsual, 40);
  BOOST_TEST(NextOrders().empty());
}

BOOST_AUTO_TEST_CASE(straggler_near_its_end_goes_on)
{
  StartOnSlow(MakeTimed());
  RunFor(3 * kUsual, 80);
  BOOST_TEST(NextOrders().empty());
}

// A new run would end sooner, but this one is not unusual.
BOOST_AUTO_TEST_CASE(long_run_of_less_than_twice_the_usual_time_goes_on)
{
  auto step = MakeTimed();
  step.mEstimatedMs = 10000;
  StartOnSlow(step);
  RunFor(Milliseconds(3000), 16);
  BOOST_TEST(NextOrders().empty());
  RunFor(Milliseconds(1000), 17);
  BOOST_TEST(CountStarts(NextOrders()) == 1);
}

BOOST_AUTO_TEST_CASE(worker_of_same_rack_gets_no_duplicate)
{
  for (auto& [id, worker] : mCell.mWorkers) {
    worker->mRecord.mLabels = { "kind", "rack" };
  }
  StartOnSlow(MakeTimed());
  RunSlowly();
  BOOST_TEST(NextOrders().empty());
}

BOOST_AUTO_TEST_CASE(evacuated_workers_get_no_duplicate)
{
  for (auto& [id, worker] : mCell.mWorkers) {
    worker->mRecord.mDomain = id == "w1" ? "a" : "b";
  }
  StartOnSlow(MakeTimed());
  mCell.mEvacuatedDomains = { "b" };
  RunSlowly();
  BOOST_TEST(NextOrders().empty());
}

BOOST_AUTO_TEST_CASE(no_room_no_duplicate)
{
  StartOnSlow(MakeTimed());
  for (const auto& id : { "w2", "w3" }) {
    auto& worker = *mCell.mWorkers.at(id);
    worker.mUsed.mCpuMillis = worker.mRecord.mCapacity.mCpuMillis;
  }
  RunSlowly();
  BOOST_TEST(NextOrders().empty());
}

// The large task has no room yet; a duplicate would take some of it.
BOOST_AUTO_TEST_CASE(room_that_a_task_waits_for_gets_no_duplicate)
{
  StartOnSlow(MakeTimed());
  for (const auto& id : { "w2", "w3" }) {
    mCell.mWorkers.at(id)->mUsed.mCpuMillis = 8000;
  }
  mCell.mWorkers.at("w1")->mUsed.mCpuMillis = 16000;
  Add(MakeJob("large", MakeStep(1, 12000)));
  RunSlowly();
  BOOST_TEST(NextOrders().empty());
}

// 5% of 48 cores.
BOOST_AUTO_TEST_CASE(stragglers_get_duplicates_within_the_budget)
{
  for (const auto& id : { "j1", "j2", "j3", "j4" }) {
    StartOnSlow(MakeTimed(), id);
  }
  RunSlowly();
  BOOST_TEST(CountStarts(Start()) == 2);
  RunSlowly();
  BOOST_TEST(CountStarts(NextOrders()) == 0);
}

BOOST_AUTO_TEST_CASE(budget_counts_duplicates_that_are_being_stopped)
{
  for (const auto& id : { "j1", "j2", "j3" }) {
    StartOnSlow(MakeTimed(), id);
  }
  RunSlowly();
  const auto orders = Start();
  BOOST_REQUIRE(CountStarts(orders) == 2);
  const auto& task = orders[0].mTask;
  const auto attempt = Runs("w1").at(task).mAttempt;
  Report("w1", RowsOf("w1", 20), { { 1, task, attempt, EndKind::Done, "" } });
  BOOST_TEST(CountStarts(NextOrders()) == 0);
}

BOOST_AUTO_TEST_CASE(last_attempts_get_no_duplicate)
{
  StartOnSlow(MakeTimed());
  TaskOf(mTask).mFailedAttempts = { 1, 2 };
  RunSlowly();
  BOOST_TEST(NextOrders().empty());
}

BOOST_AUTO_TEST_CASE(duplicate_done_first_stops_the_other)
{
  const auto order = Duplicate();
  End(order.mWorker, EndKind::Done);
  BOOST_CHECK(TaskOf(mTask).mPhase == TaskPhase::Done);
  BOOST_CHECK(FindJob(mCell, "j")->mState == JobState::Done);
  const auto stops = Start();
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_CHECK(stops[0].mKind == OrderKind::Stop);
  BOOST_TEST(stops[0].mWorker == "w1");
  BOOST_TEST(CountEvents("duplicate_done") == 1);
  BOOST_TEST(mCell.mDuplicatesFirst == 1U);
  // What is being stopped keeps its room.
  BOOST_TEST(mCell.mWorkers.at("w1")->mUsed.mCpuMillis == 1000);
  End("w1", EndKind::Stopped);
  BOOST_TEST(mCell.mWorkers.at("w1")->mUsed.mCpuMillis == 0);
}

BOOST_AUTO_TEST_CASE(original_done_first_stops_the_duplicate)
{
  const auto order = Duplicate();
  End("w1", EndKind::Done);
  const auto stops = Start();
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_CHECK(stops[0].mKind == OrderKind::Stop);
  BOOST_TEST(stops[0].mWorker == order.mWorker);
  BOOST_TEST(stops[0].mAttempt == order.mAttempt);
  BOOST_TEST(CountEvents("other_done") == 1);
  BOOST_TEST(mCell.mDuplicatesFirst == 0U);
}

BOOST_AUTO_TEST_CASE(both_done_at_once_count_once)
{
  const auto order = Duplicate();
  End("w1", EndKind::Done);
  End(order.mWorker, EndKind::Done);
  const auto& job = *FindJob(mCell, "j");
  BOOST_TEST(job.mOccurrences.at(0)->mSteps[0].mDone == 1U);
  BOOST_TEST(mCell.mEndsDone == 1U);
  BOOST_TEST(NextOrders().empty());
}

BOOST_AUTO_TEST_CASE(original_failed_duplicate_goes_on_alone)
{
  const auto order = Duplicate();
  End("w1", EndKind::Failed);
  auto& task = TaskOf(mTask);
  BOOST_TEST(task.mFailedAttempts.size() == 1U);
  BOOST_CHECK(task.mPhase == TaskPhase::Placed);
  BOOST_TEST(task.mAttempt == order.mAttempt);
  BOOST_TEST(task.mWorker->mRecord.mId == order.mWorker);
  BOOST_TEST(CountEvents("original_ended") == 1);
  BOOST_TEST(CountStarts(NextOrders()) == 0);
  End(order.mWorker, EndKind::Failed);
  BOOST_TEST(task.mFailedAttempts.size() == 2U);
  BOOST_TEST(CountStarts(NextOrders()) == 1);
}

BOOST_AUTO_TEST_CASE(duplicate_failed_original_goes_on_alone)
{
  const auto order = Duplicate();
  End(order.mWorker, EndKind::Failed);
  const auto& task = TaskOf(mTask);
  BOOST_TEST(task.mFailedAttempts.size() == 1U);
  BOOST_TEST(task.mWorker->mRecord.mId == "w1");
  RunSlowly();
  BOOST_TEST(CountStarts(NextOrders()) == 0);
}

BOOST_AUTO_TEST_CASE(both_failed_use_two_attempts_and_the_job_lives)
{
  const auto order = Duplicate();
  TaskOf(mTask).mJob->mStored.mQueue.mMaxAttempts = 2;
  End("w1", EndKind::Failed);
  BOOST_CHECK(FindJob(mCell, "j")->mState == JobState::Running);
  End(order.mWorker, EndKind::Failed);
  BOOST_CHECK(FindJob(mCell, "j")->mState == JobState::Failed);
  BOOST_TEST(CountStarts(NextOrders()) == 0);
}

BOOST_AUTO_TEST_CASE(worker_of_original_lost_duplicate_goes_on_alone)
{
  const auto order = Duplicate();
  Lose("w1");
  const auto& task = TaskOf(mTask);
  BOOST_CHECK(task.mPhase == TaskPhase::Placed);
  BOOST_TEST(task.mWorker->mRecord.mId == order.mWorker);
  BOOST_TEST(CountStarts(NextOrders()) == 0);
  End(order.mWorker, EndKind::Done);
  BOOST_CHECK(FindJob(mCell, "j")->mState == JobState::Done);
}

BOOST_AUTO_TEST_CASE(worker_of_duplicate_lost_original_goes_on_alone)
{
  const auto order = Duplicate();
  Lose(order.mWorker);
  const auto& task = TaskOf(mTask);
  BOOST_CHECK(task.mPhase == TaskPhase::Placed);
  BOOST_TEST(task.mWorker->mRecord.mId == "w1");
  BOOST_TEST(CountStarts(NextOrders()) == 0);
}

BOOST_AUTO_TEST_CASE(workers_of_both_lost_task_starts_again)
{
  const auto order = Duplicate();
  Lose("w1");
  Lose(order.mWorker);
  const auto orders = NextOrders();
  BOOST_REQUIRE(CountStarts(orders) == 1);
  BOOST_TEST(orders[0].mAttempt > order.mAttempt);
}

BOOST_AUTO_TEST_CASE(start_of_duplicate_refused_original_goes_on)
{
  StartOnSlow(MakeTimed());
  RunSlowly();
  const auto orders = CollectOrders(mCell, mNow);
  BOOST_REQUIRE(orders.size() == 1U);
  ApplyOutcome(mCell, orders[0], OrderOutcome::NoRoom, mNow);
  const auto& task = TaskOf(mTask);
  BOOST_CHECK(task.mPhase == TaskPhase::Placed);
  BOOST_TEST(task.mWorker->mRecord.mId == "w1");
  BOOST_TEST(mCell.mReady.empty());
  BOOST_TEST(!Runs(orders[0].mWorker).contains(mTask));
}

// It may be carried out late.
BOOST_AUTO_TEST_CASE(start_of_duplicate_without_answer_is_stopped)
{
  StartOnSlow(MakeTimed());
  RunSlowly();
  const auto orders = CollectOrders(mCell, mNow);
  BOOST_REQUIRE(orders.size() == 1U);
  ApplyOutcome(mCell, orders[0], OrderOutcome::Unknown, mNow);
  const auto stops = CollectOrders(mCell, mNow);
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_CHECK(stops[0].mKind == OrderKind::Stop);
  BOOST_TEST(stops[0].mWorker == orders[0].mWorker);
  BOOST_TEST(TaskOf(mTask).mWorker->mRecord.mId == "w1");
}

// The original stands still: it is stopped, and the duplicate takes its place.
BOOST_AUTO_TEST_CASE(original_stalled_is_stopped_and_duplicate_goes_on)
{
  const auto order = Duplicate();
  Advance(mCell.mPolicy.mStallLimit);
  Report("w1", RowsOf("w1", 20), {});
  Report(order.mWorker, RowsOf(order.mWorker, 50), {});
  CheckRuns(mCell, mNow);
  BOOST_CHECK(Runs("w1").at(mTask).mPhase == RunPhase::Stopping);
  End("w1", EndKind::Stopped);
  BOOST_TEST(TaskOf(mTask).mWorker->mRecord.mId == order.mWorker);
  BOOST_TEST(CountStarts(NextOrders()) == 0);
}

BOOST_AUTO_TEST_CASE(checkpoints_of_duplicate_do_not_replace_those_of_original)
{
  const auto order = Duplicate();
  const auto attempt = Runs("w1").at(mTask).mAttempt;
  Report("w1", { { mTask, attempt, "far", 30, 0 } }, {});
  Report(order.mWorker, { { mTask, order.mAttempt, "near", 10, 0 } }, {});
  BOOST_TEST(TaskOf(mTask).mCheckpoint == "far");
  Report(order.mWorker,
         {},
         { { 1, mTask, order.mAttempt, EndKind::Stopped, "near" } });
  BOOST_TEST(TaskOf(mTask).mCheckpoint == "far");
}

BOOST_AUTO_TEST_CASE(job_cancelled_stops_both_runs)
{
  const auto order = Duplicate();
  RemoveJob(mCell, "j");
  const auto stops = Start();
  BOOST_REQUIRE(stops.size() == 2U);
  for (const auto& it : stops) {
    BOOST_CHECK(it.mKind == OrderKind::Stop);
  }
  BOOST_TEST(stops[0].mWorker != stops[1].mWorker);
}

BOOST_AUTO_TEST_CASE(job_with_run_being_stopped_does_not_migrate)
{
  auto stored = MakeJob("j", MakeTimed());
  stored.mSpec.mSteps.push_back(MakeStep(1, 20000));
  stored.mSpec.mSteps[1].mAfter = { 0 };
  StartOnSlow(std::move(stored));
  RunSlowly();
  const auto orders = Start();
  BOOST_REQUIRE(CountStarts(orders) == 1);
  End(orders[0].mWorker, EndKind::Done);
  FindJob(mCell, "j")->mIsDirty = false;
  Advance(Milliseconds(5000));
  BOOST_TEST(FindMigratable(mCell, mNow, Milliseconds(100)).empty());
  End("w1", EndKind::Stopped);
  BOOST_TEST(FindMigratable(mCell, mNow, Milliseconds(100)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(takeover_adopts_one_run_and_stops_the_other)
{
  const auto order = Duplicate();
  const auto attempt = Runs("w1").at(mTask).mAttempt;
  DuplicatesFixture next;
  next.mCell.mUnreconciledWorkers = { "w1", "w2", "w3" };
  next.mCell.mAttemptBase = 1000;
  next.Add(MakeJob("j", MakeTimed()), {}, true);
  next.Report(order.mWorker, { { mTask, order.mAttempt, "", 10, 0 } }, {});
  next.Report("w1", { { mTask, attempt, "", 30, 0 } }, {});
  BOOST_TEST(next.TaskOf(mTask).mWorker->mRecord.mId == order.mWorker);
  const auto stops = next.Start();
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_CHECK(stops[0].mKind == OrderKind::Stop);
  BOOST_TEST(stops[0].mWorker == "w1");
  BOOST_TEST(stops[0].mAttempt == attempt);
  next.End("w1", EndKind::Done);
  BOOST_CHECK(FindJob(next.mCell, "j")->mState == JobState::Done);
}

// The worker of the original has not reported to the new holder.
BOOST_AUTO_TEST_CASE(takeover_adopted_run_failed_waits_for_unreported_workers)
{
  const auto order = Duplicate();
  const auto attempt = Runs("w1").at(mTask).mAttempt;
  DuplicatesFixture next;
  next.mCell.mUnreconciledWorkers = { "w1", order.mWorker };
  next.mCell.mWorkers.at("w1")->mIsKnown = false;
  next.mCell.mAttemptBase = 1000;
  next.Add(MakeJob("j", MakeTimed()), {}, true);
  next.Report(order.mWorker, { { mTask, order.mAttempt, "", 10, 0 } }, {});
  next.End(order.mWorker, EndKind::Failed);
  BOOST_TEST(next.NextOrders().empty());
  next.Report("w1", { { mTask, attempt, "", 30, 0 } }, {});
  BOOST_TEST(next.TaskOf(mTask).mWorker->mRecord.mId == "w1");
  BOOST_TEST(next.TaskOf(mTask).mFailedAttempts.size() == 1U);
  BOOST_TEST(next.NextOrders().empty());
}

// The holder dies after the duplicate was decided and before it was started.
BOOST_AUTO_TEST_CASE(takeover_before_start_of_duplicate_keeps_the_original)
{
  Duplicate();
  const auto attempt = Runs("w1").at(mTask).mAttempt;
  DuplicatesFixture next;
  next.mCell.mUnreconciledWorkers = { "w1", "w2", "w3" };
  next.Add(MakeJob("j", MakeTimed()), {}, true);
  next.Report("w1", { { mTask, attempt, "", 30, 0 } }, {});
  next.Report("w2", {}, {});
  next.Report("w3", {}, {});
  BOOST_TEST(next.NextOrders().empty());
  next.Lose("w1");
  BOOST_TEST(CountStarts(next.NextOrders()) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::cell::testing
