#include <boost/test/unit_test.hpp>

#include "cellfixture.h"

namespace {

using namespace eelgrasspost::cell;
using eelgrasspost::cell::testing::CellFixture;

/** Longer than the crash window. */
constexpr auto kLater = Milliseconds(200);

struct CrashFixture : CellFixture
{
  /** Ends a worker's incarnation and adds the next one under a new id. */
  auto Crash(const std::string& aId, const std::string& aNext) -> void
  {
    Advance(Milliseconds(10));
    auto& worker = *mCell.mWorkers.at(aId);
    NoteUnreachable(worker, mNow);
    Advance(Milliseconds(3000));
    ReportAll(aId);
    DropWorkerRuns(mCell, worker, RunsLostReason::AddressReused, mNow);
    worker.mIsKnown = false;
    UnlistWorker(mCell, aId);
    AddWorker(aNext);
  }

  /** All other workers report what runs on them. */
  auto ReportAll(const std::string& aExcluded = {}) -> void
  {
    for (auto& [id, worker] : mCell.mWorkers) {
      if (id == aExcluded || !worker->mIsListed) {
        continue;
      }
      std::vector<RunningRow> rows;
      for (const auto& [name, run] : worker->mRuns) {
        rows.push_back({ name, run.mAttempt, "", run.mPercent + 1, 0 });
      }
      Report(id, rows, {});
    }
  }

  auto TaskOf(const std::string& aName) -> Task&
  {
    return *FindTask(mCell, aName);
  }

  /** Starts what may be started after the crash window. */
  auto StartLater() -> std::vector<Order>
  {
    ReportAll();
    Advance(kLater);
    ReportAll();
    return Start();
  }

  auto StoreCrashes(const std::string& aJob) -> void
  {
    MarkCrashesStored(*FindJob(mCell, aJob));
  }
};

auto MakeLongRunning(std::uint32_t aCount) -> StepSpec
{
  auto out = CellFixture::MakeStep(aCount);
  out.mIsLongRunning = true;
  return out;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashes, CrashFixture)

// Guards against a task that crashes one worker after the other.
BOOST_AUTO_TEST_CASE(task_second_worker_crashes_at_its_start_job_fails)
{
  AddWorker("w1");
  auto& job = Add(MakeJob("j", MakeStep(1)));
  BOOST_REQUIRE(Start().size() == 1U);
  Crash("w1", "w2");
  BOOST_TEST((job.mState == JobState::Running));
  StoreCrashes("j");
  BOOST_REQUIRE(StartLater().size() == 1U);
  Crash("w2", "w3");

  BOOST_TEST((job.mState == JobState::Failed));
  BOOST_TEST(StartLater().empty());
}

// Guards against a long-running task, which has no limit of attempts, that
// crashes one worker after the other.
BOOST_AUTO_TEST_CASE(longrunningtask_second_worker_crashes_job_fails)
{
  AddWorker("w1");
  auto& job = Add(MakeJob("j", MakeLongRunning(1)));
  BOOST_REQUIRE(Start().size() == 1U);
  Crash("w1", "w2");
  StoreCrashes("j");
  BOOST_REQUIRE(StartLater().size() == 1U);
  Crash("w2", "w3");

  BOOST_TEST((job.mState == JobState::Failed));
}

// Guards against a takeover that forgets a crash.
BOOST_AUTO_TEST_CASE(crash_stored_progress_counts_for_next_holder)
{
  AddWorker("w1");
  auto& job = Add(MakeJob("j", MakeStep(1)));
  Start();
  Crash("w1", "w2");
  BOOST_TEST(job.mIsDirty);
  const auto progress = ProgressOf(job);

  CrashFixture next;
  next.AddWorker("w2");
  auto& inherited = next.Add(MakeJob("j", MakeStep(1)), progress);
  BOOST_REQUIRE(next.StartLater().size() == 1U);
  next.Crash("w2", "w3");

  BOOST_TEST((inherited.mState == JobState::Failed));
}

// Guards against a start whose crash the next holder would count as the first.
BOOST_AUTO_TEST_CASE(crash_not_stored_task_waits)
{
  AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  Start();
  Crash("w1", "w2");

  BOOST_TEST(StartLater().empty());
  StoreCrashes("j");
  BOOST_TEST(StartLater().size() == 1U);
}

// Guards against a sound task that fails because it ran beside a deadly one.
BOOST_AUTO_TEST_CASE(innocenttask_started_beside_deadly_one_does_not_fail)
{
  AddWorker("w1");
  auto& deadly = Add(MakeJob("deadly", MakeStep(1)));
  auto& sound = Add(MakeJob("sound", MakeStep(1)));
  BOOST_REQUIRE(Start().size() == 2U);
  Crash("w1", "w2");
  StoreCrashes("deadly");
  StoreCrashes("sound");

  for (auto round = 0; round < 10 && deadly.mState != JobState::Failed;
       ++round) {
    const auto orders = StartLater();
    BOOST_TEST(orders.size() <= 1U);
    if (!orders.empty() && orders[0].mTask == "deadly.0.0.0") {
      Crash(orders[0].mWorker, "v" + std::to_string(round));
    }
  }

  BOOST_TEST((deadly.mState == JobState::Failed));
  BOOST_TEST((sound.mState == JobState::Running));
}

BOOST_AUTO_TEST_CASE(suspect_runs_on_beyond_crash_window_is_cleared)
{
  AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  Start();
  Crash("w1", "w2");
  StoreCrashes("j");
  BOOST_REQUIRE(StartLater().size() == 1U);
  BOOST_TEST(TaskOf("j.0.0.0").mCrashes.mConfirmed == 1U);

  Advance(kLater);
  ReportAll();

  BOOST_TEST(TaskOf("j.0.0.0").mCrashes.mConfirmed == 0U);
}

BOOST_AUTO_TEST_CASE(suspect_just_started_its_worker_gets_no_other_task)
{
  AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  Start();
  Crash("w1", "w2");
  StoreCrashes("j");
  BOOST_REQUIRE(StartLater().size() == 1U);
  Add(MakeJob("other", MakeStep(1)));

  BOOST_TEST(Start().empty());
  Advance(kLater);
  BOOST_TEST(Start().size() == 1U);
}

// Guards against a suspect that never finds a worker without recent starts.
BOOST_AUTO_TEST_CASE(suspect_workers_get_starts_all_the_time_is_started)
{
  AddWorker("w1");
  AddWorker("other");
  Add(MakeJob("j", MakeStep(1)));
  const auto first = Start();
  BOOST_REQUIRE(first.size() == 1U);
  Crash(first[0].mWorker, "w2");
  StoreCrashes("j");

  auto isStarted = false;
  for (auto i = 0; i < 60 && !isStarted; ++i) {
    const auto id = "short" + std::to_string(i);
    Add(MakeJob(id, MakeStep(1, 100)));
    Add(MakeJob(id + "b", MakeStep(1, 100)));
    for (const auto& it : Start()) {
      isStarted = isStarted || it.mTask == "j.0.0.0";
    }
    ReportAll();
  }

  BOOST_TEST(isStarted);
}

// Guards against starts on a worker that has just crashed, which has few runs.
BOOST_AUTO_TEST_CASE(suspect_empty_worker_unreachable_is_started_elsewhere)
{
  AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  Start();
  Crash("w1", "w2");
  StoreCrashes("j");
  AddWorker("empty");
  Add(MakeJob("other", MakeStep(1, 16000)));
  Advance(kLater);
  NoteUnreachable(*mCell.mWorkers.at("empty"), mNow);

  for (const auto& it : Start()) {
    BOOST_TEST((it.mTask != "j.0.0.0" || it.mWorker == "w2"));
  }
}

// Guards against the failure of sound jobs on workers that crash for another
// reason.
BOOST_AUTO_TEST_CASE(crash_long_after_the_start_counts_for_no_task)
{
  AddWorker("w1");
  AddWorker("w2");
  Add(MakeJob("short", MakeStep(1)));
  Add(MakeJob("long", MakeLongRunning(1)));
  const auto orders = Start();
  BOOST_REQUIRE(orders.size() == 2U);
  Advance(kLater);
  ReportAll();

  Crash(orders[0].mWorker, "w3");
  Crash(orders[1].mWorker == orders[0].mWorker ? "w3" : orders[1].mWorker,
        "w4");

  BOOST_TEST(TaskOf("short.0.0.0").mCrashes.mConfirmed == 0U);
  BOOST_TEST(TaskOf("long.0.0.0").mCrashes.mConfirmed == 0U);
}

BOOST_AUTO_TEST_CASE(
  longrunningtask_deadly_task_starts_beside_it_is_not_counted)
{
  AddWorker("w1");
  Add(MakeJob("long", MakeLongRunning(1)));
  BOOST_REQUIRE(Start().size() == 1U);
  Advance(Milliseconds(1000));
  ReportAll();
  Add(MakeJob("deadly", MakeStep(1)));
  BOOST_REQUIRE(Start().size() == 1U);

  Crash("w1", "w2");

  BOOST_TEST(TaskOf("long.0.0.0").mCrashes.mConfirmed == 0U);
  BOOST_TEST(TaskOf("deadly.0.0.0").mCrashes.mConfirmed == 1U);
}

BOOST_AUTO_TEST_CASE(adoptedrun_worker_crashes_at_once_counts_for_no_task)
{
  AddWorker("w1");
  Add(MakeJob("j", MakeLongRunning(1)), {}, true);
  Report("w1", { { "j.0.0.0", 5, "", 10, 0 } }, {});

  Crash("w1", "w2");

  BOOST_TEST(TaskOf("j.0.0.0").mCrashes.mConfirmed == 0U);
}

BOOST_AUTO_TEST_CASE(worker_lease_expired_counts_for_no_task)
{
  auto& worker = AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  Start();

  DropWorkerRuns(mCell, worker, RunsLostReason::LeaseExpired, mNow);

  BOOST_TEST(TaskOf("j.0.0.0").mCrashes.mConfirmed == 0U);
}

BOOST_AUTO_TEST_CASE(worker_drained_and_replaced_counts_for_no_task)
{
  auto& worker = AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  Start();
  worker.mRecord.mState = WorkerState::Draining;

  DropWorkerRuns(mCell, worker, RunsLostReason::AddressReused, mNow);

  BOOST_TEST(TaskOf("j.0.0.0").mCrashes.mConfirmed == 0U);
}

// Guards against a job that fails although its task may never have started.
BOOST_AUTO_TEST_CASE(start_not_answered_two_crashes_job_does_not_fail)
{
  AddWorker("w1");
  auto& job = Add(MakeJob("j", MakeStep(1)));
  const auto crashAtStart = [&](const std::string& aNext) {
    const auto orders = CollectOrders(mCell, mNow);
    BOOST_REQUIRE(orders.size() == 1U);
    Advance(Milliseconds(5));
    NoteUnreachable(*mCell.mWorkers.at(orders[0].mWorker), mNow);
    ApplyOutcome(mCell, orders[0], OrderOutcome::Unknown, mNow);
    Crash(orders[0].mWorker, aNext);
    MarkCrashesStored(job);
    ReportAll();
    Advance(kLater);
    ReportAll();
  };

  crashAtStart("w2");
  crashAtStart("w3");
  BOOST_TEST((job.mState == JobState::Running));
  BOOST_TEST(TaskOf("j.0.0.0").mCrashes.mUnconfirmed == 2U);

  crashAtStart("w4");
  BOOST_TEST((job.mState == JobState::Failed));
}

// Guards against the failure of sound jobs when many workers crash at one time,
// more than once.
BOOST_AUTO_TEST_CASE(
  workers_three_crash_at_one_time_two_crashes_job_does_not_fail)
{
  std::vector<Job*> jobs;
  for (const auto* it : { "1", "2", "3" }) {
    AddWorker(std::string("a") + it, 1000);
    jobs.push_back(&Add(MakeJob(it, MakeStep(1))));
  }
  const auto crashAll = [&](const std::string& aPrefix,
                            const std::string& aNext) {
    const std::vector<std::string> numbers{ "1", "2", "3" };
    for (const auto& it : numbers) {
      NoteUnreachable(*mCell.mWorkers.at(aPrefix + it), mNow);
    }
    Advance(Milliseconds(3000));
    for (const auto& it : numbers) {
      DropWorkerRuns(mCell,
                     *mCell.mWorkers.at(aPrefix + it),
                     RunsLostReason::AddressReused,
                     mNow);
      UnlistWorker(mCell, aPrefix + it);
      AddWorker(aNext + it, 1000);
      StoreCrashes(it);
    }
  };

  BOOST_REQUIRE(Start().size() == 3U);
  crashAll("a", "b");
  BOOST_REQUIRE(StartLater().size() == 3U);
  crashAll("b", "c");

  for (const auto* it : jobs) {
    BOOST_TEST((it->mState == JobState::Running));
  }
  BOOST_TEST(TaskOf("1.0.0.0").mCrashes.mUnconfirmed == 2U);
}

// A worker that stopped replying may have crashed long after the start.
BOOST_AUTO_TEST_CASE(worker_silent_time_of_crash_unknown_is_unconfirmed)
{
  auto& worker = AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  Start();
  Advance(Milliseconds(2000));

  DropWorkerRuns(mCell, worker, RunsLostReason::AddressReused, mNow);

  BOOST_TEST(TaskOf("j.0.0.0").mCrashes.mConfirmed == 0U);
  BOOST_TEST(TaskOf("j.0.0.0").mCrashes.mUnconfirmed == 1U);
}

// A worker that was out of reach before the start was sent has crashed for
// another reason.
BOOST_AUTO_TEST_CASE(start_sent_to_silent_worker_counts_for_no_task)
{
  auto& worker = AddWorker("w1");
  Add(MakeJob("j", MakeStep(1)));
  Advance(Milliseconds(500));
  const auto orders = CollectOrders(mCell, mNow);
  BOOST_REQUIRE(orders.size() == 1U);
  Advance(Milliseconds(500));
  ApplyOutcome(mCell, orders[0], OrderOutcome::Unknown, mNow);

  DropWorkerRuns(mCell, worker, RunsLostReason::AddressReused, mNow);

  BOOST_TEST(!(TaskOf("j.0.0.0").mCrashes != CrashCount{}));
}

BOOST_AUTO_TEST_SUITE_END()
