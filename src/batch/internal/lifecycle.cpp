#include "eelgrasspost/batch/lifecycle.h"

#include <algorithm>
#include <set>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::batch {

namespace {

using platform::AttemptState;

auto Take(TaskRecord& aTask, TaskEvent aEvent) -> bool
{
  const auto next = NextTaskState(aTask.mState, aEvent);
  if (next) {
    aTask.mState = *next;
  }
  return next.has_value();
}

auto VerdictOf(AttemptState aState) -> AttemptVerdict
{
  switch (aState) {
    case AttemptState::Running:
      return AttemptVerdict::Undecided;
    case AttemptState::Succeeded:
      return AttemptVerdict::Succeeded;
    case AttemptState::Failed:
      return AttemptVerdict::Failed;
    case AttemptState::Stopped:
    case AttemptState::LeaseLapsed:
      return AttemptVerdict::Interrupted;
  }
  return AttemptVerdict::Undecided;
}

auto TakeProgress(TaskRecord& aTask, const platform::AttemptReport* aFound)
  -> void
{
  if (aFound == nullptr) {
    return;
  }
  aTask.mUsedMs += aFound->mUsedMs;
  if (!aFound->mCheckpoint.empty()) {
    aTask.mCheckpoint = aFound->mCheckpoint;
  }
}

auto ApplyFailure(TaskRecord& aTask, const platform::AttemptReport* aFound)
  -> bool
{
  aTask.mFailedOn.push_back(aTask.mWorker);
  const auto detail = aFound == nullptr ? std::string() : aFound->mDetail;
  const auto workers =
    std::set<std::string>(aTask.mFailedOn.begin(), aTask.mFailedOn.end());
  if (workers.size() < kFailuresToPark &&
      aTask.mFailedOn.size() < kRepeatedFailuresToPark) {
    return Take(aTask, TaskEvent::Failed);
  }
  aTask.mReason = base::Cat("failed on ",
                            base::Join(aTask.mFailedOn, ", "),
                            ", last with: ",
                            detail,
                            "; correct the command and submit a new job");
  return Take(aTask, TaskEvent::Parked);
}

} // namespace

auto JudgeAttempt(const TaskRecord& aTask,
                  const platform::WorkerReport& aReport,
                  const platform::AttemptReport* aFound) -> AttemptVerdict
{
  if (aFound != nullptr) {
    return VerdictOf(aFound->mState);
  }
  // Commands under lower tokens are refused, and those sent to an earlier
  // incarnation ended with its connections.
  const auto isFenced = aReport.mHighestToken > aTask.mToken ||
                        aReport.mIncarnation != aTask.mIncarnation;
  return isFenced ? AttemptVerdict::NeverRan : AttemptVerdict::Undecided;
}

auto ApplyVerdict(TaskRecord& aTask,
                  AttemptVerdict aVerdict,
                  const platform::AttemptReport* aFound) -> bool
{
  if (aTask.mState != TaskState::Running) {
    return false;
  }
  switch (aVerdict) {
    case AttemptVerdict::Undecided:
      return false;
    case AttemptVerdict::Succeeded:
      TakeProgress(aTask, aFound);
      return Take(aTask, TaskEvent::Succeeded);
    case AttemptVerdict::Failed:
      return ApplyFailure(aTask, aFound);
    case AttemptVerdict::Interrupted:
    case AttemptVerdict::NeverRan:
      TakeProgress(aTask, aFound);
      return Take(aTask, TaskEvent::Interrupted);
  }
  return false;
}

auto ApplyStart(TaskRecord& aTask,
                const std::string& aWorker,
                const platform::FencingToken& aToken,
                const std::string& aIncarnation) -> bool
{
  if (!Take(aTask, TaskEvent::Started)) {
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
  if (!Take(aTask, TaskEvent::Parked)) {
    return false;
  }
  aTask.mReason = std::move(aReason);
  return true;
}

auto ApplyCancel(TaskRecord& aTask) -> bool
{
  return Take(aTask, TaskEvent::Cancelled);
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
