#include <algorithm>

#include "cellinternal.h"
#include "duplicates.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/lookahead.h"

namespace eelgrasspost::cell {

namespace {

auto StepOf(Task& aTask) -> StepProgress&
{
  return aTask.mJob->mOccurrences.at(aTask.mOccurrence)->mSteps[aTask.mStep];
}

/** Counts a failure against the worker on which a run has failed. */
auto BlameWorker(Worker& aWorker, Task& aTask) -> void
{
  const auto& id = aTask.mJob->mStored.mSpec.mId;
  aWorker.mConsecutiveFailures += aWorker.mLastFailedJob != id ? 1 : 0;
  aWorker.mLastFailedJob = id;
  aTask.mAvoidedWorker = aWorker.mRecord.mId;
}

auto IsCounted(const Task& aTask, std::uint64_t aAttempt) -> bool
{
  const auto& counted = aTask.mFailedAttempts;
  return std::find(counted.begin(), counted.end(), aAttempt) != counted.end();
}

/** aWorker: the id of the worker; empty if another cell has listed the end. */
auto CountFailure(CellState& aCell,
                  const std::string& aWorker,
                  Task& aTask,
                  std::uint64_t aAttempt) -> void
{
  auto& counted = aTask.mFailedAttempts;
  auto& job = *aTask.mJob;
  const auto& spec = SpecOf(aTask);
  ++aCell.mEndsFailed;
  if (spec.mIsLongRunning) {
    return;
  }
  if (spec.mIsGang) {
    // The members of a gang share their attempts and their failures.
    for (auto& it : StepOf(aTask).mTasks) {
      if (&it != &aTask) {
        it.mFailedAttempts.push_back(aAttempt);
        MarkDirty(aCell, it);
      }
    }
  }
  counted.push_back(aAttempt);
  MarkDirty(aCell, aTask);
  const auto failures = static_cast<std::int64_t>(counted.size());
  if (failures >= job.mStored.mQueue.mMaxAttempts) {
    job.mState = JobState::Failed;
    AddEvent(aCell,
             { CellEventKind::JobEnded,
               job.mStored.mSpec.mId,
               aWorker,
               aTask.mAttempt,
               "attempts_used",
               static_cast<double>(failures) });
  }
}

auto ApplyDone(CellState& aCell, Task& aTask, MonotonicTime aNow) -> void
{
  ++aCell.mEndsDone;
  const auto& spec = SpecOf(aTask);
  NoteDone(aCell, spec);
  if (!spec.mIsGang) {
    StopBothRuns(aCell, aTask);
    if (aTask.mPhase == TaskPhase::Placed && aTask.mWorker) {
      const auto run = aTask.mWorker->mRuns.find(TaskName(aTask));
      if (run != aTask.mWorker->mRuns.end()) {
        RequestStop(run->second);
      }
    }
    MarkTaskDone(aCell, aTask, aNow);
    return;
  }
  for (auto& it : StepOf(aTask).mTasks) {
    MarkTaskDone(aCell, it, aNow);
  }
}

/** Whether another cell stores the progress of a task that has ended here, or
 * may do so soon. A failure of a job that migrates is counted here: its cell
 * keeps the job if the migration fails. */
auto IsForeign(const Task* aTask, EndKind aKind) -> bool
{
  if (!aTask) {
    return true;
  }
  const auto mayLeave = aTask->mJob->mIsMigrating && aKind == EndKind::Done;
  return !SpecOf(*aTask).mIsLongRunning &&
         (aTask->mPhase == TaskPhase::Remote || mayLeave);
}

/** The end must not be acknowledged before the cell that has the job has stored
 * it: the task would start again. */
auto AddForeignEnd(CellState& aCell, Worker& aWorker, const EndRow& aEnd)
  -> void
{
  if (aEnd.mKind != EndKind::Done && aEnd.mKind != EndKind::Failed) {
    return;
  }
  AddEvent(aCell,
           { CellEventKind::EndWithoutJob,
             aEnd.mTask,
             aWorker.mRecord.mId,
             aEnd.mAttempt,
             base::NameOf(kEndKindNames, aEnd.mKind),
             static_cast<double>(aEnd.mNumber) });
  aWorker.mForeignEnds[aEnd.mNumber] = aEnd;
}

} // namespace

auto StopGang(Task& aTask) -> void
{
  for (auto& it : StepOf(aTask).mTasks) {
    if (it.mPhase != TaskPhase::Placed || !it.mWorker) {
      continue;
    }
    const auto run = it.mWorker->mRuns.find(TaskName(it));
    if (run != it.mWorker->mRuns.end()) {
      RequestStop(run->second);
    }
  }
}

auto ApplyEnd(CellState& aCell,
              Worker& aWorker,
              const EndRow& aEnd,
              MonotonicTime aNow) -> void
{
  const auto it = aWorker.mRuns.find(aEnd.mTask);
  const auto isRun =
    it != aWorker.mRuns.end() && it->second.mAttempt == aEnd.mAttempt;
  const auto isDuplicate = isRun && it->second.mIsDuplicate;
  if (isRun) {
    if (aEnd.mKind == EndKind::Done && it->second.mTask) {
      LearnRunTime(aCell, *it->second.mTask, it->second, aNow);
    }
    EraseRun(aWorker, aEnd.mTask);
  }
  AddEvent(aCell,
           { CellEventKind::RunEnded,
             aEnd.mTask,
             aWorker.mRecord.mId,
             aEnd.mAttempt,
             base::NameOf(kEndKindNames, aEnd.mKind),
             static_cast<double>(aEnd.mNumber) });
  auto* task = FindTask(aCell, aEnd.mTask);
  if (IsForeign(task, aEnd.mKind)) {
    AddForeignEnd(aCell, aWorker, aEnd);
    return;
  }
  if (!IsHostedJob(*task->mJob)) {
    aWorker.mUnstoredEnds[aEnd.mNumber] = task->mJob->mStored.mSpec.mId;
  }
  if (IsFinal(task->mJob->mState)) {
    return;
  }
  NoteStarted(*task->mJob);
  task->mMayHaveRun = true;
  const auto isCurrent = task->mPhase == TaskPhase::Placed &&
                         task->mWorker == &aWorker &&
                         task->mAttempt == aEnd.mAttempt;
  if (task->mPhase == TaskPhase::Done) {
    return;
  }
  // The end of an earlier attempt does not end a later one on another worker.
  if (!aEnd.mCheckpoint.empty() && !isDuplicate) {
    task->mCheckpoint = aEnd.mCheckpoint;
  }
  const auto& spec = SpecOf(*task);
  if (aEnd.mKind == EndKind::Done && !spec.mIsLongRunning) {
    aWorker.mConsecutiveFailures = 0;
    NoteFirstDone(aCell, *task, aWorker, aEnd.mAttempt);
    ApplyDone(aCell, *task, aNow);
    return;
  }
  if (aEnd.mKind == EndKind::Failed && !IsCounted(*task, aEnd.mAttempt)) {
    BlameWorker(aWorker, *task);
    CountFailure(aCell, aWorker.mRecord.mId, *task, aEnd.mAttempt);
  }
  if (!task->mCheckpoint.empty()) {
    MarkDirty(aCell, *task);
  }
  if (isCurrent) {
    ReplaceRun(aCell, *task, aNow);
  }
  if (spec.mIsGang) {
    StopGang(*task);
  }
}

auto ApplyForeignEnd(CellState& aCell,
                     Job& aJob,
                     const TaskProgress& aEnd,
                     MonotonicTime aNow) -> bool
{
  auto* task = FindTask(aJob, { aEnd.mOccurrence, aEnd.mStep, aEnd.mIndex });
  if (!task) {
    const auto& spec = aJob.mStored.mSpec;
    return aEnd.mOccurrence >= OccurrenceCount(spec) ||
           aEnd.mStep >= spec.mSteps.size() ||
           aEnd.mIndex >= spec.mSteps[aEnd.mStep].mCount;
  }
  const auto isOver = IsFinal(aJob.mState) || task->mPhase == TaskPhase::Done ||
                      SpecOf(*task).mIsLongRunning;
  if (isOver) {
    return true;
  }
  NoteStarted(aJob);
  task->mMayHaveRun = true;
  if (aEnd.mIsDone) {
    ApplyDone(aCell, *task, aNow);
    return true;
  }
  for (const auto it : aEnd.mFailedAttempts) {
    if (!IsCounted(*task, it)) {
      CountFailure(aCell, {}, *task, it);
    }
  }
  return true;
}

auto HighestSettledEnd(const Worker& aWorker) -> std::uint64_t
{
  return aWorker.mForeignEnds.empty()
           ? aWorker.mSeenEnds
           : std::min(aWorker.mSeenEnds,
                      aWorker.mForeignEnds.begin()->first - 1);
}

auto NoteStoredEnds(Worker& aWorker,
                    std::uint64_t aNumber,
                    const std::set<std::string>& aUnstoredJobs) -> void
{
  auto& ends = aWorker.mUnstoredEnds;
  std::erase_if(ends, [&](const auto& aItem) {
    return aItem.first <= aNumber && !aUnstoredJobs.contains(aItem.second);
  });
  const auto stored =
    ends.empty() ? aNumber : std::min(aNumber, ends.begin()->first - 1);
  aWorker.mStoredEnds = std::max(aWorker.mStoredEnds, stored);
}

} // namespace eelgrasspost::cell
