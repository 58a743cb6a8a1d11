#include "jobs.h"

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batcherrors.h"
#include "eelgrasspost/batch/jobcodec.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::batch {

namespace {

using platform::AttemptState;
using platform::TableUse;

constexpr std::size_t kScanLimit = 1000;

auto JobKey(const std::string& aJob) -> std::string
{
  return "job/" + aJob;
}

auto TaskKey(const std::string& aJob, std::int64_t aIndex) -> std::string
{
  return fmt::format("task/{}/{:06}", aJob, aIndex);
}

auto TaskName(const TaskRecord& aTask) -> std::string
{
  return base::Cat(aTask.mJob, "/", aTask.mIndex);
}

} // namespace

Jobs::Jobs(BatchParts aParts, BatchOptions aOptions)
  : mParts(aParts)
  , mOptions(aOptions)
{
}

auto Jobs::ReadJob(const std::string& aJob, base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<JobSpec>>
{
  const auto row =
    co_await mParts.mTable.Read(TableUse::Batch, JobKey(aJob), aDeadline);
  if (!row.ok()) {
    co_return row.status();
  }
  if (!*row) {
    co_return base::MakeError(kUnknownJob, base::Cat("no job ", aJob));
  }
  co_return ParseJob((*row)->mValue);
}

auto Jobs::Submit(JobSpec aSpec, base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  const auto text = EncodeJob(aSpec);
  std::vector<platform::TableWrite> writes;
  writes.push_back({ JobKey(aSpec.mId), text, platform::kAbsent });
  for (std::int64_t i = 0; i < aSpec.mTasks; ++i) {
    TaskRecord task;
    task.mJob = aSpec.mId;
    task.mIndex = i;
    writes.push_back(
      { TaskKey(aSpec.mId, i), EncodeTask(task), platform::kAbsent });
  }
  const auto status = co_await mParts.mTable.Commit(
    TableUse::Batch, std::move(writes), aDeadline);
  if (status.ok()) {
    co_return status;
  }
  const auto present = co_await ReadJob(aSpec.mId, aDeadline);
  if (present.ok()) {
    co_return EncodeJob(*present) == text
      ? absl::OkStatus()
      : base::MakeError(kJobIdTaken,
                        base::Cat("another job has the id ", aSpec.mId));
  }
  co_return base::MakeError(kJobOutcomeUnknown, base::MessageOf(status));
}

auto Jobs::Status(std::string aJob, base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<JobStatus>>
{
  auto spec = co_await ReadJob(aJob, aDeadline);
  if (!spec.ok()) {
    co_return spec.status();
  }
  const auto rows = co_await mParts.mTable.Scan(
    TableUse::Batch, base::Cat("task/", aJob, "/"), "", kScanLimit, aDeadline);
  if (!rows.ok()) {
    co_return rows.status();
  }
  auto out = JobStatus{ *std::move(spec), {} };
  for (const auto& it : *rows) {
    const auto task = DecodeTask(it.mValue);
    if (task.ok()) {
      out.mTasks.push_back(*task);
    }
  }
  co_return out;
}

auto Jobs::Run() -> net::Task<void>
{
  while (true) {
    co_await Tick();
    co_await net::Sleep(mOptions.mTick);
  }
}

auto Jobs::Tick() -> net::Task<void>
{
  const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
  const auto rows = co_await mParts.mTable.Scan(
    TableUse::Batch, "task/", "", kScanLimit, deadline);
  if (!rows.ok()) {
    co_return;
  }
  for (const auto& it : *rows) {
    const auto task = DecodeTask(it.mValue);
    if (!task.ok()) {
      continue;
    }
    if (task->mState == TaskState::Pending) {
      co_await Place(it, *task);
    } else if (task->mState == TaskState::Running) {
      co_await Follow(it, *task);
    }
  }
}

auto Jobs::Place(const platform::TableRow& aRow, TaskRecord aTask)
  -> net::Task<void>
{
  const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
  const auto view = mParts.mOwnership.View();
  if (view->mHeld.empty()) {
    co_return;
  }
  const auto hold = view->mHeld.front();
  const auto job = co_await ReadJob(aTask.mJob, deadline);
  if (!job.ok() || !ownership::MayUse(*hold, base::MonotonicClock::now())) {
    co_return;
  }
  aTask.mState = TaskState::Running;
  aTask.mWorker = hold->mWorker.mId;
  ++aTask.mAttempt;
  std::vector<platform::TableWrite> writes;
  writes.push_back({ aRow.mKey, EncodeTask(aTask), aRow.mVersion });
  const auto status =
    co_await mParts.mTable.Commit(TableUse::Batch, std::move(writes), deadline);
  if (!status.ok()) {
    co_return;
  }
  std::vector<platform::StartCommand> commands;
  commands.push_back({ TaskName(aTask),
                       aTask.mAttempt,
                       job->mResources,
                       mOptions.mLease.count(),
                       aTask.mCheckpoint,
                       job->mCommand });
  (void)co_await mParts.mWorker.Start(
    hold->mWorker.mControl, hold->Token(), std::move(commands), deadline);
}

auto Jobs::Follow(const platform::TableRow& aRow, TaskRecord aTask)
  -> net::Task<void>
{
  const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
  const auto hold = mParts.mOwnership.View()->FindHeld(aTask.mWorker);
  if (!hold) {
    co_return;
  }
  const auto report =
    co_await mParts.mWorker.Report(hold->mWorker.mControl, deadline);
  if (!report.ok() || report->mHighestToken != hold->Token()) {
    co_return;
  }
  for (const auto& it : report->mAttempts) {
    if (it.mTask != TaskName(aTask) || it.mAttempt != aTask.mAttempt) {
      continue;
    }
    std::vector<platform::AttemptRef> attempts;
    attempts.push_back({ it.mTask, it.mAttempt });
    if (it.mState == AttemptState::Running) {
      (void)co_await mParts.mWorker.Renew(hold->mWorker.mControl,
                                          hold->Token(),
                                          std::move(attempts),
                                          mOptions.mLease,
                                          deadline);
      co_return;
    }
    if (it.mState == AttemptState::Succeeded) {
      aTask.mState = TaskState::Succeeded;
      std::vector<platform::TableWrite> writes;
      writes.push_back({ aRow.mKey, EncodeTask(aTask), aRow.mVersion });
      (void)co_await mParts.mTable.Commit(
        TableUse::Batch, std::move(writes), deadline);
      co_return;
    }
  }
  // The worker does not know the attempt, and a start that comes late under an
  // older token is refused.
  aTask.mState = TaskState::Pending;
  std::vector<platform::TableWrite> writes;
  writes.push_back({ aRow.mKey, EncodeTask(aTask), aRow.mVersion });
  (void)co_await mParts.mTable.Commit(
    TableUse::Batch, std::move(writes), deadline);
}

} // namespace eelgrasspost::batch
