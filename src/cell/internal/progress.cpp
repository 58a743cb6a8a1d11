#include <algorithm>
#include <set>

#include "cellinternal.h"

namespace eelgrasspost::cell {

namespace {

constexpr std::uint32_t kBitsPerByte = 8;

auto OpenOccurrence(Job& aJob, std::uint32_t aNumber) -> Occurrence&
{
  if (auto* found = FindOccurrence(aJob, aNumber)) {
    return *found;
  }
  aJob.mNextOccurrence = std::max(aJob.mNextOccurrence, aNumber + 1);
  return *aJob.mOccurrences.emplace(aNumber, MakeOccurrence(aJob, aNumber))
            .first->second;
}

auto MarkDone(StepProgress& aStep, Task& aTask) -> void
{
  if (aTask.mPhase != TaskPhase::Done) {
    aTask.mPhase = TaskPhase::Done;
    ++aStep.mDone;
  }
}

auto ApplyDoneTasks(Job& aJob, const DoneTasks& aDone) -> void
{
  auto& occurrence = OpenOccurrence(aJob, aDone.mOccurrence);
  if (aDone.mStep >= occurrence.mSteps.size()) {
    return;
  }
  auto& step = occurrence.mSteps[aDone.mStep];
  for (auto& it : step.mTasks) {
    const auto byte = it.mIndex / kBitsPerByte;
    const auto isDone =
      aDone.mBits.empty() || (byte < aDone.mBits.size() &&
                              ((static_cast<unsigned char>(aDone.mBits[byte]) >>
                                (it.mIndex % kBitsPerByte)) &
                               1U) != 0);
    if (isDone) {
      MarkDone(step, it);
    }
  }
}

auto ApplyTask(Job& aJob, const TaskProgress& aTask) -> void
{
  auto& occurrence = OpenOccurrence(aJob, aTask.mOccurrence);
  if (aTask.mStep >= occurrence.mSteps.size() ||
      aTask.mIndex >= occurrence.mSteps[aTask.mStep].mTasks.size()) {
    return;
  }
  auto& step = occurrence.mSteps[aTask.mStep];
  auto& task = step.mTasks[aTask.mIndex];
  task.mFailedAttempts = aTask.mFailedAttempts;
  task.mCrashes = aTask.mCrashes;
  task.mCheckpoint = aTask.mCheckpoint;
  if (!aTask.mHostCell.empty()) {
    task.mPhase = TaskPhase::Remote;
    task.mHostCell = aTask.mHostCell;
  }
  if (aTask.mIsDone) {
    MarkDone(step, task);
  }
}

/** The members of a gang end and fail together, but their progress may be in
 * rows that are not written at one time. */
auto CompleteGang(StepProgress& aStep) -> void
{
  std::set<std::uint64_t> failed;
  for (const auto& it : aStep.mTasks) {
    failed.insert(it.mFailedAttempts.begin(), it.mFailedAttempts.end());
  }
  const auto isDone = aStep.mDone > 0;
  for (auto& it : aStep.mTasks) {
    it.mFailedAttempts.assign(failed.begin(), failed.end());
    if (isDone) {
      MarkDone(aStep, it);
    }
  }
}

/** Nothing if no task of the step is done. */
auto DoneTasksOf(std::uint32_t aOccurrence,
                 std::uint32_t aStep,
                 const StepProgress& aProgress) -> std::optional<DoneTasks>
{
  if (aProgress.mDone == 0) {
    return std::nullopt;
  }
  DoneTasks out{ aOccurrence, aStep, {} };
  if (aProgress.mDone < aProgress.mTasks.size()) {
    out.mBits.resize((aProgress.mTasks.size() + kBitsPerByte - 1) /
                     kBitsPerByte);
    for (const auto& it : aProgress.mTasks) {
      if (it.mPhase == TaskPhase::Done) {
        auto& byte = out.mBits[it.mIndex / kBitsPerByte];
        byte = static_cast<char>(static_cast<unsigned char>(byte) |
                                 (1U << (it.mIndex % kBitsPerByte)));
      }
    }
  }
  return out;
}

auto AddDoneOccurrence(JobProgress& aProgress, std::uint32_t aNumber) -> void
{
  auto& ranges = aProgress.mDoneOccurrences;
  if (!ranges.empty() &&
      ranges.back().mFirst + ranges.back().mCount == aNumber) {
    ++ranges.back().mCount;
  } else {
    ranges.push_back({ aNumber, 1 });
  }
}

} // namespace

auto ApplyProgress(Job& aJob, const JobProgress& aProgress) -> void
{
  aJob.mHasStarted = aJob.mHasStarted || !aProgress.mTasks.empty() ||
                     !aProgress.mDoneTasks.empty() ||
                     !aProgress.mDoneOccurrences.empty();
  const auto count = OccurrenceCount(aJob.mStored.mSpec);
  for (const auto& range : aProgress.mDoneOccurrences) {
    for (std::uint32_t i = 0; i < range.mCount && range.mFirst + i < count;
         ++i) {
      for (auto& step : OpenOccurrence(aJob, range.mFirst + i).mSteps) {
        for (auto& it : step.mTasks) {
          MarkDone(step, it);
        }
      }
    }
  }
  for (const auto& it : aProgress.mDoneTasks) {
    ApplyDoneTasks(aJob, it);
  }
  for (const auto& it : aProgress.mTasks) {
    ApplyTask(aJob, it);
  }
  const auto& steps = aJob.mStored.mSpec.mSteps;
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (std::size_t i = 0; i < steps.size(); ++i) {
      if (steps[i].mIsGang) {
        CompleteGang(occurrence->mSteps[i]);
      }
    }
  }
}

auto HasProgress(const Task& aTask) -> bool
{
  return !aTask.mFailedAttempts.empty() || !aTask.mCheckpoint.empty() ||
         !aTask.mHostCell.empty() || IsSuspect(aTask);
}

auto ProgressOf(const Task& aTask) -> TaskProgress
{
  return { aTask.mOccurrence,     aTask.mStep,
           aTask.mIndex,          false,
           aTask.mFailedAttempts, aTask.mCheckpoint,
           aTask.mHostCell,       aTask.mCrashes };
}

auto ProgressOf(const Job& aJob) -> JobProgress
{
  JobProgress out;
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    if (aJob.mOccurrencesDone.contains(number)) {
      AddDoneOccurrence(out, number);
      continue;
    }
    for (std::uint32_t i = 0; i < occurrence->mSteps.size(); ++i) {
      const auto& step = occurrence->mSteps[i];
      if (auto done = DoneTasksOf(number, i, step)) {
        out.mDoneTasks.push_back(*std::move(done));
      }
      for (const auto& it : step.mTasks) {
        if (HasProgress(it) && it.mPhase != TaskPhase::Done) {
          out.mTasks.push_back(ProgressOf(it));
        }
      }
    }
  }
  return out;
}

} // namespace eelgrasspost::cell
