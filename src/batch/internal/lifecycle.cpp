#include "eelgrasspost/batch/lifecycle.h"

#include <algorithm>
#include <set>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::batch {

namespace {

using platform::AttemptState;

auto ApplyEvent(TaskRecord& aTask, TaskEvent aEvent) -> bool
{
  const auto next = NextTaskState(aTask.mState, aEvent);
  if (next) {
    aTask.mState = *next;
  }
  return next.has_value();
}

auto OutcomeOf(AttemptState aState) -> AttemptOutcome
{
  switch (aState) {
    case AttemptState::Running:
      return AttemptOutcome::Undecided;
    case AttemptState::Succeeded:
      return AttemptOutcome::Succeeded;
    case AttemptState::Failed:
      return AttemptOutcome::Failed;
    case AttemptState::Stopped:
    case AttemptState::LeaseLapsed:
      return AttemptOutcome::Interrupted;
  }
  return AttemptOutcome::Undecided;
}

auto RecordProgress(TaskRecord& aTask,
                    const platform::AttemptReport* aAttemptReport) -> void
{
  if (aAttemptReport == nullptr) {
    return;
  }
  aTask.mUsedMs += aAttemptReport->mUsedMs;
  if (!aAttemptReport->mCheckpoint.empty()) {
    aTask.mCheckpoint = aAttemptReport->mCheckpoint;
  }
}

auto ApplyFailure(TaskRecord& aTask,
                  const platform::AttemptReport* aAttemptReport) -> bool
{
  aTask.mFailedOn.push_back(aTask.mWorker);
  const auto detail =
    aAttemptReport == nullptr ? std::string() : aAttemptReport->mDetail;
  const auto workers =
    std::set<std::string>(aTask.mFailedOn.begin(), aTask.mFailedOn.end());
  if (workers.size() < kFailedWorkersToPark &&
      aTask.mFailedOn.size() < kTotalFailuresToPark) {
    return ApplyEvent(aTask, TaskEvent::Failed);
  }
  aTask.mReason = base::Cat("failed on ",
                            base::Join(aTask.mFailedOn, ", "),
                            "; last error: ",
                            detail,
                            "; correct the command and submit a new job");
  return ApplyEvent(aTask, TaskEvent::Parked);
}

} // namespace

auto ClassifyAttempt(const TaskRecord& aTask,
                     const platform::WorkerReport& aReport,
                     const platform::AttemptReport* aAttemptReport)
  -> AttemptOutcome
{
  if (aAttemptReport != nullptr) {
    return OutcomeOf(aAttemptReport->mState);
  }
  // The worker rejects commands under tokens lower than its highest, and
  // commands to an earlier incarnation were lost with its connections.
  const auto isFenced = aReport.mHighestToken > aTask.mToken ||
                        aReport.mIncarnation != aTask.mIncarnation;
  return isFenced ? AttemptOutcome::NeverRan : AttemptOutcome::Undecided;
}

auto ApplyOutcome(TaskRecord& aTask,
                  AttemptOutcome aOutcome,
                  const platform::AttemptReport* aAttemptReport) -> bool
{
  if (aTask.mState != TaskState::Running) {
    return false;
  }
  switch (aOutcome) {
    case AttemptOutcome::Undecided:
      return false;
    case AttemptOutcome::Succeeded:
      RecordProgress(aTask, aAttemptReport);
      return ApplyEvent(aTask, TaskEvent::Succeeded);
    case AttemptOutcome::Failed:
      return ApplyFailure(aTask, aAttemptReport);
    case AttemptOutcome::Interrupted:
    case AttemptOutcome::NeverRan:
      RecordProgress(aTask, aAttemptReport);
      return ApplyEvent(aTask, TaskEvent::Interrupted);
  }
  return false;
}

auto ApplyStart(TaskRecord& aTask,
                const std::string& aWorker,
                const platform::FencingToken& aToken,
                const std::string& aIncarnation) -> bool
{
  if (!ApplyEvent(aTask, TaskEvent::Started)) {
    return false;
  }
  ++aTask.mAttempt;
  aTask.mWorker = aWorker;
  aTask.mToken = aToken;
  aTask.mIncarnation = aIncarnation;
  return true;
}

auto ApplyPark(TaskRecord& aTask, std::string aReason) -> bool
{
  if (!ApplyEvent(aTask, TaskEvent::Parked)) {
    return false;
  }
  aTask.mReason = std::move(aReason);
  return true;
}

auto ApplyCancel(TaskRecord& aTask) -> bool
{
  return ApplyEvent(aTask, TaskEvent::Cancelled);
}

auto HasEnded(TaskState aState) -> bool
{
  return aState == TaskState::Succeeded || aState == TaskState::Cancelled;
}

auto HasEnded(const TaskBlock& aBlock) -> bool
{
  return std::ranges::all_of(aBlock.mTasks, [](const TaskRecord& aTask) {
    return HasEnded(aTask.mState);
  });
}

auto JobStateOf(const JobRecord& aJob, const std::vector<TaskBlock>& aBlocks)
  -> JobState
{
  std::int64_t succeeded = 0;
  bool isParked = false;
  bool isCancelled = aJob.mCancelled;
  for (const auto& block : aBlocks) {
    for (const auto& it : block.mTasks) {
      isParked = isParked || it.mState == TaskState::Parked;
      isCancelled = isCancelled || it.mState == TaskState::Cancelled;
      succeeded += it.mState == TaskState::Succeeded ? 1 : 0;
    }
  }
  if (succeeded == aJob.mSpec.mTasks) {
    return JobState::Succeeded;
  }
  if (isCancelled) {
    return JobState::Cancelled;
  }
  return isParked ? JobState::Parked : JobState::Active;
}

} // namespace eelgrasspost::batch
