#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

/** Workers on which short tasks follow each other without a pause, and
 * long-running tasks that lost their runs. */
struct BusyCell : CellFixture
{
  std::uint64_t mLastEnd = 0;
  int mNextJob = 0;
  std::map<std::string, std::vector<RunningRow>> mRunningOn;
  std::map<std::string, MonotonicTime> mEndsAt;

  static auto TasksOf(Job& aJob) -> std::vector<Task>&
  {
    return aJob.mOccurrences.at(0)->mSteps.at(0).mTasks;
  }

  static auto MakeLongRunning(std::uint32_t aCount, std::int64_t aCpu)
    -> StepSpec
  {
    auto out = MakeStep(aCount, aCpu);
    out.mIsLongRunning = true;
    return out;
  }

  /** Adds workers of 4000 CPU millis, each with one short run of 3000. */
  auto AddFullWorkers(int aCount) -> void
  {
    for (auto i = 0; i < aCount; ++i) {
      const auto id = std::to_string(i);
      AddWorker("full" + id, 4000);
      Add(MakeJob("s" + id, MakeStep(1, 3000)));
      BOOST_REQUIRE(Start().size() == 1U);
    }
  }

  auto CountReservations() const -> std::size_t
  {
    std::size_t out = 0;
    for (const auto& [id, worker] : mCell.mWorkers) {
      out += worker->mReservations.size();
    }
    return out;
  }

  auto AddLongRunning(const std::string& aId, StepSpec aStep) -> Job&
  {
    aStep.mIsLongRunning = true;
    auto& job = Add(MakeJob(aId, std::move(aStep)));
    // A job whose tasks have all run before; they are restarts.
    job.mHasStarted = true;
    for (auto& it : TasksOf(job)) {
      it.mMayHaveRun = true;
    }
    return job;
  }

  /** Keeps more short jobs waiting than the cell can run. */
  auto AddShortJobs() -> void
  {
    while (mCell.mReady.size() < 24) {
      Add(MakeJob("s" + std::to_string(mNextJob++), MakeStep(1, 2000)));
    }
  }

  /** Runs the cell in short steps. Short tasks take 0.7 to 1.9 s. */
  auto RunFor(Milliseconds aTime) -> void
  {
    // Each report takes time as well.
    constexpr auto kStep = Milliseconds(10);
    const auto end = mNow + aTime;
    while (mNow < end) {
      AddShortJobs();
      for (const auto& it : Start()) {
        if (it.mKind == OrderKind::Start) {
          mRunningOn[it.mWorker].push_back({ it.mTask, it.mAttempt, "", 1, 0 });
          const auto isShort = it.mTask.starts_with("s");
          mEndsAt[it.mTask] =
            isShort ? mNow + Milliseconds(700 + 400 * (mLastEnd % 4))
                    : MonotonicTime::max();
          ++mLastEnd;
        }
      }
      Advance(kStep);
      for (const auto& [id, worker] : mCell.mWorkers) {
        ReportEnds(id);
      }
    }
  }

  auto ReportEnds(const std::string& aWorker) -> void
  {
    auto& running = mRunningOn[aWorker];
    std::vector<EndRow> ends;
    for (auto& it : running) {
      it.mPercent += 1;
      if (mEndsAt.at(it.mTask) <= mNow) {
        ends.push_back(
          { ++mEndNumbers[aWorker], it.mTask, it.mAttempt, EndKind::Done, "" });
      }
    }
    std::erase_if(running, [&](const RunningRow& aRow) {
      return mEndsAt.at(aRow.mTask) <= mNow;
    });
    Report(aWorker, running, ends);
  }

  auto CountRunning(const std::string& aJob) -> std::size_t
  {
    std::size_t out = 0;
    for (const auto& [id, running] : mRunningOn) {
      out += static_cast<std::size_t>(
        std::count_if(running.begin(), running.end(), [&](const auto& aRow) {
          return aRow.mTask.starts_with(aJob + ".");
        }));
    }
    return out;
  }

private:
  std::map<std::string, std::uint64_t> mEndNumbers;
};

/** A long-running task has to be at work again within this time. */
constexpr auto kRestartLimit = Milliseconds(6000);

} // namespace

BOOST_FIXTURE_TEST_SUITE(reservations, BusyCell)

// Seven of twelve tasks ran again: two reservations at a time were made, and
// short tasks took the other capacity that became free.
BOOST_AUTO_TEST_CASE(longrunningtasks_stopped_in_busy_cell_all_run_within_limit)
{
  for (auto i = 0; i < 12; ++i) {
    AddWorker("w" + std::to_string(i), 8000);
  }
  RunFor(Milliseconds(1000));
  AddLongRunning("a", MakeStep(12, 7000));

  RunFor(kRestartLimit);

  BOOST_TEST(CountRunning("a") == 12U);
}

BOOST_AUTO_TEST_CASE(
  longrunningtask_with_limit_per_worker_reserves_on_another_worker)
{
  AddWorker("w1", 16000);
  AddWorker("w2", 8000);
  auto step = MakeStep(2, 7000);
  step.mMaxPerWorker = 1;
  AddLongRunning("a", step);

  RunFor(kRestartLimit);

  BOOST_TEST(CountRunning("a") == 2U);
}

// A smaller long-running task took the capacity that was being freed.
BOOST_AUTO_TEST_CASE(reservation_is_not_used_by_another_longrunning_task)
{
  auto& worker = AddWorker("w1", 8000);
  Add(MakeJob("s", MakeStep(1, 4000)));
  BOOST_REQUIRE(Start().size() == 1U);
  AddLongRunning("a", MakeStep(1, 6000));
  BOOST_TEST(Start().empty());
  BOOST_REQUIRE(worker.mReservations.contains("a.0.0.0"));

  auto small = MakeStep(1, 2000);
  small.mIsLongRunning = true;
  Add(MakeJob("b", small));
  Advance(Milliseconds(100));
  const auto orders = Start();

  // 4000 are used and 6000 reserved, of 8000.
  BOOST_TEST(orders.empty());
}

// Guards against tasks that reserved capacity on one worker and waited until
// there was room for all of them at once.
BOOST_AUTO_TEST_CASE(tasks_reserved_on_one_worker_each_starts_once_it_fits)
{
  auto& worker = AddWorker("w1", 12000);
  Add(MakeJob("s", MakeStep(4, 3000)));
  const auto starts = Start();
  BOOST_REQUIRE(starts.size() == 4U);
  AddLongRunning("a", MakeStep(3, 3000));
  BOOST_TEST(Start().empty());
  BOOST_REQUIRE(worker.mReservations.size() == 3U);

  std::vector<RunningRow> running;
  for (std::size_t i = 1; i < starts.size(); ++i) {
    running.push_back({ starts[i].mTask, starts[i].mAttempt, "", 10, 0 });
  }
  Report("w1",
         running,
         { { 1, starts[0].mTask, starts[0].mAttempt, EndKind::Done, "" } });
  Advance(Milliseconds(100));
  const auto orders = Start();

  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].mTask.starts_with("a."));
}

// A short task that ran for long kept all tasks from the capacity that was free
// beside it.
BOOST_AUTO_TEST_CASE(long_short_run_delays_only_the_reserved_task_that_needs_it)
{
  AddWorker("w1", 16000);
  Add(MakeJob("l", MakeStep(1, 2000)));
  const auto starts = Start();
  BOOST_REQUIRE(starts.size() == 1U);
  mRunningOn["w1"].push_back({ starts[0].mTask, starts[0].mAttempt, "", 1, 0 });
  mEndsAt[starts[0].mTask] = MonotonicTime::max();
  RunFor(Milliseconds(1000));
  AddLongRunning("a", MakeStep(5, 3000));

  RunFor(kRestartLimit);

  BOOST_TEST(CountRunning("a") == 4U);
}

// Capacity that was free, but not enough for the task that had reserved it, was
// kept from a smaller task that had lost its run too.
BOOST_AUTO_TEST_CASE(
  restart_uses_capacity_in_which_a_larger_one_does_not_fit_yet)
{
  AddWorker("w1", 12000);
  Add(MakeJob("s", MakeStep(1, 7000)));
  const auto starts = Start();
  BOOST_REQUIRE(starts.size() == 1U);
  AddLongRunning("large", MakeStep(1, 6000));
  AddLongRunning("small", MakeStep(1, 4000));

  const auto early = Start();
  BOOST_REQUIRE(early.size() == 1U);
  BOOST_TEST(early[0].mTask == "small.0.0.0");

  // The room of the larger one is complete once the short run has ended.
  Report("w1",
         { { early[0].mTask, early[0].mAttempt, "", 100, 0 } },
         { { 1, starts[0].mTask, starts[0].mAttempt, EndKind::Done, "" } });
  Advance(Milliseconds(100));
  const auto late = Start();
  BOOST_REQUIRE(late.size() == 1U);
  BOOST_TEST(late[0].mTask == "large.0.0.0");
}

// A host cell without reservable capacity kept short tasks waiting in vain.
BOOST_AUTO_TEST_CASE(capacity_of_longrunning_runs_is_not_reserved_for_others)
{
  AddWorker("w1", 8000);
  AddLongRunning("a", MakeStep(1, 5000));
  BOOST_REQUIRE(Start().size() == 1U);

  const auto need = LongRunningNeed{ "b.0.0.0", "service", { 4000, 1000, 0 } };

  BOOST_TEST(!ReserveCapacity(mCell, need, true, mNow));
  BOOST_TEST(RoomOf(mCell, mNow).mLargestReservableCpuMillis == 3000);
}

BOOST_AUTO_TEST_CASE(capacity_used_by_short_tasks_is_reserved_if_it_may_wait)
{
  AddWorker("w1", 8000);
  Add(MakeJob("s", MakeStep(1, 7000)));
  BOOST_REQUIRE(Start().size() == 1U);
  const auto need = LongRunningNeed{ "b.0.0.0", "service", { 4000, 1000, 0 } };

  BOOST_TEST(!ReserveCapacity(mCell, need, false, mNow));
  BOOST_TEST(ReserveCapacity(mCell, need, true, mNow));

  // Four short tasks of 2000 fit in 8000; the reservation leaves room for none.
  Add(MakeJob("t", MakeStep(1, 1000)));
  Advance(Milliseconds(100));
  BOOST_TEST(Start().empty());
}

BOOST_AUTO_TEST_CASE(reservation_with_label_is_made_on_a_worker_that_has_it)
{
  auto& worker = AddWorker("w1", 8000);
  auto need = LongRunningNeed{ "b.0.0.0", "service", { 4000, 1000, 0 } };
  need.mRequiredLabel = "kind-b";
  BOOST_TEST(!ReserveCapacity(mCell, need, true, mNow));
  worker.mRecord.mLabels = { "kind-b" };
  BOOST_TEST(ReserveCapacity(mCell, need, true, mNow));
}

// The other tasks of a new job went before all short tasks once one had
// started.
BOOST_AUTO_TEST_CASE(newtask_of_running_job_goes_after_waiting_short_task)
{
  AddWorker("w1", 4000);
  Add(MakeJob("a", MakeLongRunning(2, 3000)));
  BOOST_REQUIRE(Start().size() == 1U);
  Add(MakeJob("s", MakeStep(1, 3000)));
  AddWorker("w2", 4000);

  const auto orders = Start();

  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].mTask == "s.0.0.0");
}

// As above, for a short task of a higher priority.
BOOST_AUTO_TEST_CASE(newtask_of_running_job_goes_after_task_of_higher_priority)
{
  AddWorker("w1", 4000);
  auto job = MakeJob("a", MakeLongRunning(2, 3000));
  job.mQueue.mPriority = 5;
  Add(job);
  BOOST_REQUIRE(Start().size() == 1U);
  auto urgent = MakeJob("s", MakeStep(1, 3000));
  urgent.mQueue.mPriority = 1;
  Add(urgent);
  AddWorker("w2", 4000);

  const auto orders = Start();

  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].mTask == "s.0.0.0");
}

// Each of the other tasks reserved a worker as soon as one of them had started.
BOOST_AUTO_TEST_CASE(newtasks_of_running_job_reserve_up_to_the_limit)
{
  AddFullWorkers(5);
  AddWorker("w1", 4000);
  Add(MakeJob("a", MakeLongRunning(5, 3000)));

  const auto orders = Start();

  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(CountReservations() == 2U);
}

// Guards against a limit on tasks that lost their runs, which waited too long.
BOOST_AUTO_TEST_CASE(tasks_that_lost_their_runs_all_reserve)
{
  std::vector<std::string> workers = { "w1", "w2", "w3" };
  for (const auto& it : workers) {
    AddWorker(it, 4000);
  }
  Add(MakeJob("a", MakeLongRunning(3, 3000)));
  const auto starts = Start();
  BOOST_REQUIRE(starts.size() == 3U);
  AddFullWorkers(4);
  for (const auto& it : starts) {
    auto record = mCell.mWorkers.at(it.mWorker)->mRecord;
    record.mState = WorkerState::Draining;
    UpdateWorker(mCell, record, mNow);
    Report(
      it.mWorker, {}, { { 1, it.mTask, it.mAttempt, EndKind::Stopped, "" } });
  }

  BOOST_TEST(Start().empty());

  BOOST_TEST(CountReservations() == 3U);
}

// Guards against a task that lost its run and waits behind short tasks.
BOOST_AUTO_TEST_CASE(task_that_lost_its_run_goes_before_waiting_short_task)
{
  AddWorker("w1", 4000);
  Add(MakeJob("a", MakeLongRunning(1, 3000)));
  const auto start = Start();
  BOOST_REQUIRE(start.size() == 1U);
  Add(MakeJob("s", MakeStep(1, 3000)));
  Report(
    "w1", {}, { { 1, "a.0.0.0", start[0].mAttempt, EndKind::Stopped, "" } });

  const auto orders = Start();

  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].mTask == "a.0.0.0");
}

// Guards against a limit on tasks of which a new holder doesn't know that they
// ran before.
BOOST_AUTO_TEST_CASE(tasks_of_inherited_job_with_a_run_all_reserve)
{
  AddFullWorkers(4);
  AddWorker("w1", 4000);
  auto& job = Add(MakeJob("a", MakeLongRunning(4, 3000)), {}, true);
  Report("w1", { { "a.0.0.0", 5, "", 100, 0 } }, {});
  for (auto& it : TasksOf(job)) {
    it.mMayBeRunning = false;
  }

  BOOST_TEST(Start().empty());

  BOOST_TEST(CountReservations() == 3U);
}

// Nothing tells a new holder that a job has run if all workers with its runs
// are lost. Two of its tasks reserved, and all of them came after the short
// tasks.
BOOST_AUTO_TEST_CASE(tasks_of_inherited_job_without_known_runs_all_reserve)
{
  AddFullWorkers(4);
  auto& job = Add(MakeJob("a", MakeLongRunning(4, 3000)), {}, true);
  for (auto& it : TasksOf(job)) {
    it.mMayBeRunning = false;
  }

  BOOST_TEST(Start().empty());

  BOOST_TEST(CountReservations() == 4U);
}

// Guards against a limit on hosted tasks, which may have lost runs elsewhere.
BOOST_AUTO_TEST_CASE(hosted_tasks_all_reserve)
{
  AddFullWorkers(4);
  auto stored = MakeJob("a", MakeLongRunning(4, 3000));
  stored.mHostedTasks = { { 0, 0, 1 }, { 0, 0, 2 } };
  auto& job = Add(stored);
  SetHostedTasks(
    mCell, job, { { 0, 0, 1 }, { 0, 0, 2 }, { 0, 0, 3 } }, false, mNow);

  BOOST_TEST(Start().empty());

  BOOST_TEST(CountReservations() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
