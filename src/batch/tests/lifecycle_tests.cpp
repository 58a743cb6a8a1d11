#define BOOST_TEST_MODULE batch
#include <random>

#include <boost/test/unit_test.hpp>

#include "eelgrasspost/batch/lifecycle.h"

namespace {

using namespace eelgrasspost;
using batch::AttemptOutcome;
using batch::TaskEvent;
using batch::TaskState;
using platform::AttemptState;

/** A worker's report of attempt 3, which was started under token 5.entry-1 in
 * incarnation i1, and the expected outcome. */
struct ClassifyCase
{
  std::string mName;
  std::optional<AttemptState> mReported;
  platform::FencingToken mMax;
  std::string mIncarnation;
  AttemptOutcome mOutcome;
};

const std::vector<ClassifyCase> kClassifyCases = {
  { "running",
    AttemptState::Running,
    { 5, "entry-1" },
    "i1",
    AttemptOutcome::Undecided },
  { "running under a later owner",
    AttemptState::Running,
    { 9, "entry-2" },
    "i1",
    AttemptOutcome::Undecided },
  { "succeeded",
    AttemptState::Succeeded,
    { 5, "entry-1" },
    "i1",
    AttemptOutcome::Succeeded },
  { "failed",
    AttemptState::Failed,
    { 5, "entry-1" },
    "i1",
    AttemptOutcome::Failed },
  { "stopped",
    AttemptState::Stopped,
    { 5, "entry-1" },
    "i1",
    AttemptOutcome::Interrupted },
  { "lease lapsed",
    AttemptState::LeaseLapsed,
    { 5, "entry-1" },
    "i1",
    AttemptOutcome::Interrupted },
  { "missing, the start may be in flight",
    std::nullopt,
    { 5, "entry-1" },
    "i1",
    AttemptOutcome::Undecided },
  { "missing, the token was raised",
    std::nullopt,
    { 6, "entry-1" },
    "i1",
    AttemptOutcome::NeverRan },
  { "missing, the token was raised by an owner of the same number",
    std::nullopt,
    { 5, "entry-2" },
    "i1",
    AttemptOutcome::NeverRan },
  { "missing, an older token is the highest",
    std::nullopt,
    { 4, "entry-1" },
    "i1",
    AttemptOutcome::Undecided },
  { "missing, the worker restarted",
    std::nullopt,
    { 1, "entry-1" },
    "i2",
    AttemptOutcome::NeverRan },
};

auto RunningTask() -> batch::TaskRecord
{
  batch::TaskRecord task;
  task.mState = TaskState::Running;
  task.mAttempt = 3;
  task.mWorker = "worker-1";
  task.mToken = { 5, "entry-1" };
  task.mIncarnation = "i1";
  return task;
}

/** Expected state of a task, derived independently from its events. */
struct TaskModel
{
  std::uint64_t mStarted = 0;
  std::uint64_t mLeftRunning = 0;
  int mCompletions = 0;
  bool mIsCancelled = false;
};

auto AttemptsRunning(const TaskModel& aModel) -> std::uint64_t
{
  return aModel.mStarted - aModel.mLeftRunning;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lifecycle)

BOOST_AUTO_TEST_CASE(
  attempt_reported_is_classified_by_state_token_and_incarnation)
{
  for (const auto& it : kClassifyCases) {
    platform::WorkerReport report;
    report.mIncarnation = it.mIncarnation;
    report.mHighestToken = it.mMax;
    platform::AttemptReport attemptReport;
    attemptReport.mState = it.mReported.value_or(AttemptState::Running);
    const auto* found = it.mReported ? &attemptReport : nullptr;
    BOOST_TEST_CONTEXT(it.mName)
    {
      const auto outcome = batch::ClassifyAttempt(RunningTask(), report, found);
      BOOST_TEST((outcome == it.mOutcome));
    }
  }
}

BOOST_AUTO_TEST_CASE(task_under_random_events_keeps_its_invariants)
{
  constexpr int kSequences = 200;
  constexpr int kEvents = 60;
  for (int seed = 1; seed <= kSequences; ++seed) {
    std::mt19937 random(static_cast<unsigned>(seed));
    auto task = batch::TaskRecord();
    TaskModel model;
    for (int i = 0; i < kEvents; ++i) {
      const auto event =
        static_cast<TaskEvent>(random() % batch::kTaskEventNames.size());
      const auto before = task.mState;
      const auto next = batch::NextTaskState(before, event);
      if (!next) {
        continue;
      }
      task.mState = *next;
      model.mStarted += event == TaskEvent::Started ? 1 : 0;
      model.mLeftRunning += before == TaskState::Running ? 1 : 0;
      model.mCompletions += event == TaskEvent::Succeeded ? 1 : 0;
      model.mIsCancelled = model.mIsCancelled || event == TaskEvent::Cancelled;
      BOOST_TEST_CONTEXT("seed " << seed << " event " << i)
      {
        BOOST_TEST(AttemptsRunning(model) ==
                   (task.mState == TaskState::Running ? 1U : 0U));
        BOOST_TEST(model.mCompletions <= 1);
        BOOST_TEST((model.mCompletions == 1) ==
                   (task.mState == TaskState::Succeeded));
        BOOST_TEST(model.mIsCancelled == (task.mState == TaskState::Cancelled));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(outcome_of_task_that_is_not_running_is_rejected)
{
  for (const auto state :
       { TaskState::Pending, TaskState::Succeeded, TaskState::Cancelled }) {
    auto task = RunningTask();
    task.mState = state;
    BOOST_TEST(!batch::ApplyOutcome(task, AttemptOutcome::Succeeded, nullptr));
    BOOST_TEST((task.mState == state));
  }
}

BOOST_AUTO_TEST_CASE(evicted_task_resumes_from_its_checkpoint_once)
{
  auto task = RunningTask();
  platform::AttemptReport attemptReport;
  attemptReport.mCheckpoint = "ms=40";
  attemptReport.mUsedMs = 40;
  BOOST_TEST(
    batch::ApplyOutcome(task, AttemptOutcome::Interrupted, &attemptReport));
  BOOST_TEST(
    !batch::ApplyOutcome(task, AttemptOutcome::Interrupted, &attemptReport));
  BOOST_TEST(batch::ApplyStart(task, "worker-2", { 1, "entry-2" }, "i9"));
  BOOST_TEST(!batch::ApplyStart(task, "worker-3", { 1, "entry-2" }, "i9"));
  BOOST_TEST(task.mAttempt == 4U);
  BOOST_TEST(task.mCheckpoint == "ms=40");
  BOOST_TEST(task.mUsedMs == 40);
}

BOOST_AUTO_TEST_CASE(task_that_fails_on_three_workers_is_parked)
{
  auto task = RunningTask();
  platform::AttemptReport attemptReport;
  attemptReport.mDetail = "no such file";
  for (const auto* worker : { "worker-1", "worker-2", "worker-3" }) {
    task.mState = TaskState::Running;
    task.mWorker = worker;
    BOOST_TEST(
      batch::ApplyOutcome(task, AttemptOutcome::Failed, &attemptReport));
  }
  BOOST_TEST((task.mState == TaskState::Parked));
  BOOST_TEST((task.mReason.find("no such file") != std::string::npos));
}

BOOST_AUTO_TEST_SUITE_END()
