#include <algorithm>

#define BOOST_TEST_MODULE cell
#include <boost/test/unit_test.hpp>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

/** A cell whose worker w1 reports a run at regular times. */
struct ReportedRun : CellFixture
{
  /** Reports the run of a start until the time is over or the cell stops it;
   * its percent rises after each aPercentTime. Returns whether it was
   * stopped. */
  auto RunFor(Milliseconds aTime,
              const Order& aStart,
              Milliseconds aPercentTime) -> bool
  {
    constexpr auto kInterval = Milliseconds(200);
    const auto from = mNow;
    while (mNow - from < aTime) {
      Advance(kInterval);
      const auto percent = static_cast<double>((mNow - from) / aPercentTime);
      Report("w1", { { aStart.mTask, aStart.mAttempt, "", percent, 0 } }, {});
      CheckRuns(mCell, mNow);
      const auto orders = Start();
      if (!orders.empty() && orders[0].mKind == OrderKind::Stop) {
        return true;
      }
    }
    return false;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(takeover, CellFixture)

BOOST_AUTO_TEST_CASE(failedend_listed_again_to_next_holder_counts_once)
{
  AddWorker("w1");
  JobProgress progress;
  progress.mTasks.push_back({ 0, 0, 0, false, { 7 }, "" });
  auto& job = Add(MakeJob("j", MakeStep(1)), progress, true);

  Report("w1", {}, { { 1, "j.0.0.0", 7, EndKind::Failed, "" } });

  BOOST_TEST(
    job.mOccurrences.at(0)->mSteps[0].mTasks[0].mFailedAttempts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(failedends_listed_in_any_order_all_count)
{
  AddWorker("w1");
  AddWorker("w2");
  auto& job = Add(MakeJob("j", MakeStep(1)), {}, true);

  Report("w2", {}, { { 1, "j.0.0.0", 9, EndKind::Failed, "" } });
  Report("w1", {}, { { 1, "j.0.0.0", 7, EndKind::Failed, "" } });

  BOOST_TEST(
    job.mOccurrences.at(0)->mSteps[0].mTasks[0].mFailedAttempts.size() == 2U);
}

// Guards against BUDGET: a task started after maxAttempts failures, as it had
// failed in another cell under the number that this cell gave its next attempt.
BOOST_AUTO_TEST_CASE(task_that_failed_in_another_cell_fails_under_a_new_attempt)
{
  AddWorker("w1");
  const auto next = mCell.mAttemptBase + mCell.mNextAttempt;
  JobProgress progress;
  progress.mTasks.push_back({ 0, 0, 0, false, { next }, "" });
  auto moved = MakeJob("j", MakeStep(1));
  moved.mQueue.mMaxAttempts = 2;
  auto& job = Add(moved, progress);

  const auto orders = Start();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].mAttempt > next);
  Report(
    "w1", {}, { { 1, "j.0.0.0", orders[0].mAttempt, EndKind::Failed, "" } });

  BOOST_TEST((job.mState == JobState::Failed));
  BOOST_TEST(Start().empty());
}

// Guards against a start that the worker refuses, as its number is not above
// that of a run that ended there.
BOOST_AUTO_TEST_CASE(task_that_starts_again_has_a_higher_attempt)
{
  AddWorker("w1");
  const auto later = mCell.mAttemptBase + 1000;
  JobProgress progress;
  progress.mTasks.push_back({ 0, 0, 0, false, { later }, "" });
  Add(MakeJob("j", MakeStep(1)), progress);

  const auto first = Start();
  BOOST_REQUIRE(first.size() == 1U);
  Report(
    "w1", {}, { { 1, "j.0.0.0", first[0].mAttempt, EndKind::Stopped, "" } });
  Advance(Milliseconds(1000));
  const auto second = Start();

  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST(first[0].mAttempt > later);
  BOOST_TEST(second[0].mAttempt > first[0].mAttempt);
}

BOOST_AUTO_TEST_CASE(inheritedtask_end_of_earlier_attempt_still_waits)
{
  mCell.mUnreconciledWorkers = { "w1", "w2" };
  WorkerRecord silent;
  silent.mId = "w2";
  silent.mService = "service";
  silent.mCapacity = { 16000, 64000, 0 };
  UpdateWorker(mCell, silent, mNow);
  Add(MakeJob("j", MakeStep(1)), {}, true);

  AddWorker("w1");
  Report("w1", {}, { { 1, "j.0.0.0", 5, EndKind::Stopped, "" } });

  // The task may run as a later attempt on the worker that has not reported.
  BOOST_TEST(Start().empty());
}

BOOST_AUTO_TEST_CASE(inheritedtask_all_workers_reported_starts)
{
  mCell.mUnreconciledWorkers = { "w1" };
  Add(MakeJob("j", MakeStep(1)), {}, true);
  AddWorker("w1");
  BOOST_TEST(Start().size() == 1U);
}

BOOST_AUTO_TEST_CASE(inheritedtask_silent_worker_beyond_lease_starts)
{
  mCell.mUnreconciledWorkers = { "w1", "w2" };
  WorkerRecord silent;
  silent.mId = "w2";
  silent.mService = "service";
  UpdateWorker(mCell, silent, mNow);
  Add(MakeJob("j", MakeStep(1)), {}, true);
  AddWorker("w1");
  Advance(Milliseconds(6100));
  Report("w1", {}, {});

  ExpireWorkers(mCell, mNow);

  BOOST_TEST(Start().size() == 1U);
}

BOOST_AUTO_TEST_CASE(inheritedtask_reported_running_is_adopted)
{
  mCell.mUnreconciledWorkers = { "w1" };
  auto& job = Add(MakeJob("j", MakeStep(1)), {}, true);
  UpdateWorker(
    mCell,
    { "w1", 0, "service", {}, "", WorkerState::Ready, { 16000, 64000, 0 } },
    mNow);

  Report("w1", { { "j.0.0.0", 5, "", 10, 0 } }, {});

  BOOST_TEST(Start().empty());
  BOOST_TEST(job.mOccurrences.at(0)->mSteps[0].mTasks[0].mAttempt == 5U);
}

BOOST_AUTO_TEST_CASE(longrunningtask_of_inherited_job_is_placed_before_new_ones)
{
  AddWorker("w1", 6000);
  auto longRunning = MakeStep(2, 3000);
  longRunning.mIsLongRunning = true;
  // The new job is added first; one task of the inherited job is running.
  Add(MakeJob("new", MakeStep(1, 3000)));
  Add(MakeJob("old", longRunning), {}, true);
  Report("w1", { { "old.0.0.0", 5, "", 100, 0 } }, {});
  for (auto& [number, it] : FindJob(mCell, "old")->mOccurrences) {
    it->mSteps[0].mTasks[1].mMayBeRunning = false;
  }

  const auto orders = Start();

  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].mTask == "old.0.0.1");
}

BOOST_AUTO_TEST_CASE(inheritedjob_keeps_its_age)
{
  constexpr std::int64_t kNowMs = 100000;
  auto stored = MakeJob("j", MakeStep(1));
  stored.mAcceptedMs = kNowMs - 30000;
  const auto& job = AddJob(mCell, stored, {}, true, mNow, kNowMs);
  BOOST_TEST((mNow - job.mAddedAt == Milliseconds(30000)));
}

// Guards against a second run of a task whose job is read after a run of it was
// found.
BOOST_AUTO_TEST_CASE(task_with_an_untracked_run_starts_once_that_has_ended)
{
  AddWorker("w1");
  AddWorker("w2");
  Report("w1", { { "j.0.0.0", 5, "", 50, 0 } }, {});
  Add(MakeJob("j", MakeStep(1)));

  const auto orders = Start();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].mKind == OrderKind::Stop));

  Advance(Milliseconds(100));
  Report("w1", {}, { { 1, "j.0.0.0", 5, EndKind::Stopped, "" } });
  Advance(Milliseconds(100));
  BOOST_TEST(Start().size() == 1U);
}

BOOST_AUTO_TEST_CASE(untrackedrun_listed_is_stopped_and_keeps_its_resources)
{
  AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));

  Report("w1", { { "other.0.0.0", 5, "", 10, 0 } }, {});

  const auto orders = Start();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].mKind == OrderKind::Stop));
  BOOST_TEST(orders[0].mTask == "other.0.0.0");
}

BOOST_AUTO_TEST_CASE(longrunningtask_moved_to_host_cell_is_not_started_again)
{
  AddWorker("w1", 4000);
  auto longRunning = MakeStep(2, 3000);
  longRunning.mIsLongRunning = true;
  auto& job = Add(MakeJob("j", longRunning));
  const auto started = Start();
  BOOST_REQUIRE(started.size() == 1U);
  Advance(Milliseconds(1000));
  const auto starved = FindStarved(mCell, mNow, Milliseconds(500));
  BOOST_REQUIRE(starved.size() == 1U);
  MoveTaskToHost(mCell, *FindTask(mCell, TaskName(*starved[0])), "b/0");
  const auto progress = ProgressOf(job);
  RemoveJob(mCell, "j");
  const auto stopped =
    EndRow{ 1, "j.0.0.0", started[0].mAttempt, EndKind::Stopped, "" };
  Report("w1", {}, { stopped });

  AddWorker("w2");
  auto& again = Add(MakeJob("j", longRunning), progress);
  const auto orders = Start();
  BOOST_TEST(
    std::count_if(orders.begin(), orders.end(), [](const Order& aOrder) {
      return aOrder.mKind == OrderKind::Start;
    }) == 1);
  const auto remoteTasks = RemoteTasksByHost(again);
  BOOST_REQUIRE(remoteTasks.size() == 1U);
  BOOST_TEST(
    (remoteTasks.at("b/0") == std::vector<TaskPosition>{ { 0, 0, 1 } }));
}

BOOST_AUTO_TEST_CASE(hostedjob_with_given_tasks_runs_only_these)
{
  AddWorker("w1");
  auto longRunning = MakeStep(3, 3000);
  longRunning.mIsLongRunning = true;
  auto stored = MakeJob("j", longRunning);
  stored.mHostedTasks = { { 0, 0, 1 } };
  auto& job = Add(stored);
  const auto first = Start();
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_TEST(first[0].mTask == "j.0.0.1");
  SetHostedTasks(mCell, job, { { 0, 0, 1 }, { 0, 0, 2 } }, false, mNow);
  const auto second = Start();
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST(second[0].mTask == "j.0.0.2");
  BOOST_TEST(FindMigratable(mCell, mNow, Milliseconds(0)).empty());
}

// Guards against a task that runs again in another cell while an earlier run of
// it is being stopped here: the end of that run came after its job had left.
BOOST_AUTO_TEST_CASE(job_with_an_earlier_run_that_is_being_stopped_stays)
{
  AddWorker("w1");
  AddWorker("w2");
  Add(MakeJob("j", MakeStep(1)));
  const auto started = Start();
  BOOST_REQUIRE(started.size() == 1U);
  const auto& worker = started[0].mWorker;
  const auto other = worker == "w1" ? "w2" : "w1";
  Report(other, { { "j.0.0.0", 1, "", 1, 0 } }, {});
  Report(
    worker, {}, { { 1, "j.0.0.0", started[0].mAttempt, EndKind::Lapsed, "" } });
  Advance(Milliseconds(100));
  BOOST_TEST(FindMigratable(mCell, mNow, Milliseconds(50)).empty());

  Report(other, {}, { { 1, "j.0.0.0", 1, EndKind::Stopped, "" } });
  BOOST_TEST(FindMigratable(mCell, mNow, Milliseconds(50)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(orders, ReportedRun)

BOOST_AUTO_TEST_CASE(start_without_answer_is_stopped_before_the_next_start)
{
  AddWorker("w1");
  AddWorker("w2");
  Add(MakeJob("j", MakeStep(1)));
  const auto start = CollectOrders(mCell, mNow);
  BOOST_REQUIRE(start.size() == 1U);

  ApplyOutcome(mCell, start[0], OrderOutcome::Unknown, mNow);
  const auto stop = CollectOrders(mCell, mNow);
  BOOST_REQUIRE(stop.size() == 1U);
  BOOST_TEST((stop[0].mKind == OrderKind::Stop));
  BOOST_TEST(CollectOrders(mCell, mNow).empty());

  ApplyOutcome(mCell, stop[0], OrderOutcome::Done, mNow);
  BOOST_TEST(CollectOrders(mCell, mNow).empty());
  Report(start[0].mWorker, {}, {});
  const auto again = CollectOrders(mCell, mNow);
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_TEST((again[0].mKind == OrderKind::Start));
  BOOST_TEST(again[0].mAttempt > start[0].mAttempt);
}

BOOST_AUTO_TEST_CASE(room_of_reserving_tasks_is_never_exceeded)
{
  AddWorker("w1", 4000);
  Add(MakeJob("j", MakeStep(6)));
  BOOST_TEST(Start().size() == 4U);
  BOOST_TEST(mCell.mWorkers.at("w1")->mUsed.mCpuMillis == 4000);
}

BOOST_AUTO_TEST_CASE(drainingworker_gets_no_start)
{
  auto& worker = AddWorker("w1");
  auto record = worker.mRecord;
  record.mState = WorkerState::Draining;
  UpdateWorker(mCell, record, mNow);
  Add(MakeJob("j", MakeStep(1)));
  BOOST_TEST(Start().empty());
}

BOOST_AUTO_TEST_CASE(worker_silent_beyond_lease_frees_its_tasks)
{
  AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  BOOST_REQUIRE(Start().size() == 1U);
  AddWorker("w2");
  Advance(Milliseconds(6200));
  Report("w2", {}, {});

  ExpireWorkers(mCell, mNow);

  const auto orders = Start();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].mWorker == "w2");
}

BOOST_AUTO_TEST_CASE(stalledtask_percent_unchanged_restarts_on_another_worker)
{
  AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  const auto start = Start();
  BOOST_REQUIRE(start.size() == 1U);
  AddWorker("w2");
  for (auto i = 0; i < 20; ++i) {
    Advance(Milliseconds(100));
    Report("w1", { { "j.0.0.0", start[0].mAttempt, "", 5, 0 } }, {});
    Report("w2", {}, {});
  }

  CheckRuns(mCell, mNow);
  const auto stop = Start();
  BOOST_REQUIRE(stop.size() == 1U);
  BOOST_TEST((stop[0].mKind == OrderKind::Stop));
  Report(
    "w1", {}, { { 1, "j.0.0.0", start[0].mAttempt, EndKind::Stopped, "" } });
  const auto again = Start();
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_TEST(again[0].mWorker == "w2");
}

// Guards against LOST: each run of a task that works for minutes was stopped,
// as its percent, a whole number, changes every few seconds only.
BOOST_AUTO_TEST_CASE(task_of_minutes_at_its_expected_pace_is_not_stopped)
{
  AddWorker("w1");
  auto step = MakeStep(1);
  step.mEstimatedMs = 600'000;
  Add(MakeJob("j", step));
  const auto start = Start();
  BOOST_REQUIRE(start.size() == 1U);

  RunFor(Milliseconds(30'000), start[0], Milliseconds(6000));
  BOOST_TEST(mCell.mStalls == 0U);

  // Ten times as slow as expected.
  RunFor(Milliseconds(30'000), start[0], Milliseconds(60'000));
  BOOST_TEST(mCell.mStalls == 1U);
}

// Guards against LOST: a task whose estimate is far too low was stopped in each
// of its runs.
BOOST_AUTO_TEST_CASE(task_of_minutes_estimated_as_short_is_done)
{
  AddWorker("w1");
  auto step = MakeStep(1);
  step.mEstimatedMs = 900;
  Add(MakeJob("j", step));
  constexpr auto kPercentTime = Milliseconds(2400);

  std::uint64_t ends = 0;
  for (auto runs = 0;
       runs < 5 && !FindJob(mCell, "j")->mOccurrencesDone.contains(0);
       ++runs) {
    auto start = Start();
    BOOST_REQUIRE(start.size() == 1U);
    const auto stalls = mCell.mStalls;
    const auto isStopped = RunFor(100 * kPercentTime, start[0], kPercentTime);
    BOOST_TEST(isStopped == (mCell.mStalls > stalls));
    Report("w1",
           {},
           { { ++ends,
               "j.0.0.0",
               start[0].mAttempt,
               isStopped ? EndKind::Stopped : EndKind::Done,
               "" } });
    Advance(mCell.mPolicy.mProbation * 2);
    Report("w1", {}, {});
  }

  BOOST_TEST((FindJob(mCell, "j")->mState == JobState::Done));
}

BOOST_AUTO_TEST_SUITE_END()
