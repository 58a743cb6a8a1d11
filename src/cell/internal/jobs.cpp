#include <algorithm>

#include "cellinternal.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/progresspieces.h"
#include "joblength.h"

namespace eelgrasspost::cell {

namespace {

auto AreDone(const Occurrence& aOccurrence,
             const std::vector<StepSpec>& aSteps,
             const std::vector<std::uint32_t>& aNumbers) -> bool
{
  return std::all_of(
    aNumbers.begin(), aNumbers.end(), [&](std::uint32_t aStep) {
      return aStep < aSteps.size() &&
             aOccurrence.mSteps[aStep].mDone == aSteps[aStep].mCount;
    });
}

auto IsDue(const CellState& aCell,
           const JobSpec& aSpec,
           std::uint32_t aNumber,
           std::int64_t aWallMs) -> bool
{
  if (aSpec.mRepeatCount == 0) {
    return true;
  }
  const auto due = aSpec.mFirstStartMs + aNumber * aSpec.mIntervalMs;
  return aWallMs + aCell.mPolicy.mEarlyMs >= due;
}

} // namespace

auto MakeOccurrence(Job& aJob, std::uint32_t aNumber)
  -> std::unique_ptr<Occurrence>
{
  auto out = std::make_unique<Occurrence>();
  out->mNumber = aNumber;
  const auto& steps = aJob.mStored.mSpec.mSteps;
  out->mSteps.resize(steps.size());
  for (std::uint32_t i = 0; i < steps.size(); ++i) {
    auto& tasks = out->mSteps[i].mTasks;
    tasks.resize(steps[i].mCount);
    for (std::uint32_t k = 0; k < tasks.size(); ++k) {
      tasks[k].mJob = &aJob;
      tasks[k].mOccurrence = aNumber;
      tasks[k].mStep = i;
      tasks[k].mIndex = k;
    }
  }
  return out;
}

auto OccurrenceCount(const JobSpec& aSpec) -> std::uint32_t
{
  return std::max<std::uint32_t>(1, aSpec.mRepeatCount);
}

auto FindOccurrence(Job& aJob, std::uint32_t aNumber) -> Occurrence*
{
  const auto it = aJob.mOccurrences.find(aNumber);
  return it == aJob.mOccurrences.end() ? nullptr : it->second.get();
}

auto AddEvent(CellState& aCell, CellEvent aEvent) -> void
{
  // The holder logs and clears the events at each decision; the bound limits
  // bursts.
  constexpr std::size_t kMaxEvents = 512;
  if (aCell.mEvents.size() < kMaxEvents) {
    aCell.mEvents.push_back(std::move(aEvent));
  }
}

auto TaskName(const Task& aTask) -> std::string
{
  return base::Cat(aTask.mJob->mStored.mSpec.mId,
                   ".",
                   aTask.mOccurrence,
                   ".",
                   aTask.mStep,
                   ".",
                   aTask.mIndex);
}

auto SpecOf(const Task& aTask) -> const StepSpec&
{
  return aTask.mJob->mStored.mSpec.mSteps[aTask.mStep];
}

auto FindTask(CellState& aCell, std::string_view aName) -> Task*
{
  const auto parts = base::Split(aName, '.');
  if (parts.size() != 4) {
    return nullptr;
  }
  auto* job = FindJob(aCell, parts[0]);
  const auto occurrence = base::ParseNumber<std::uint32_t>(parts[1]);
  const auto step = base::ParseNumber<std::uint32_t>(parts[2]);
  const auto index = base::ParseNumber<std::uint32_t>(parts[3]);
  if (!job || !occurrence || !step || !index) {
    return nullptr;
  }
  return FindTask(*job, { *occurrence, *step, *index });
}

auto FindTask(Job& aJob, const TaskPosition& aPosition) -> Task*
{
  auto* found = FindOccurrence(aJob, aPosition.mOccurrence);
  if (!found || aPosition.mStep >= found->mSteps.size() ||
      aPosition.mIndex >= found->mSteps[aPosition.mStep].mTasks.size()) {
    return nullptr;
  }
  return &found->mSteps[aPosition.mStep].mTasks[aPosition.mIndex];
}

auto MarkDirty(CellState& aCell, Job& aJob) -> void
{
  aJob.mIsDirty = true;
  aCell.mDirty.insert(aJob.mStored.mSpec.mId);
}

auto MarkDirty(CellState& aCell, Task& aTask) -> void
{
  aTask.mJob->mChangedPieces.insert(PieceOf(aTask));
  MarkDirty(aCell, *aTask.mJob);
}

auto MakeReady(CellState& aCell, Task& aTask, MonotonicTime aNow) -> void
{
  aTask.mPhase = TaskPhase::Ready;
  aTask.mWorker = nullptr;
  aTask.mReadyAt = aNow;
  aCell.mReady.push_back(&aTask);
  aCell.mHasNewReady = true;
}

auto OpenSteps(CellState& aCell,
               Job& aJob,
               Occurrence& aOccurrence,
               MonotonicTime aNow) -> void
{
  const auto& steps = aJob.mStored.mSpec.mSteps;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    auto& step = aOccurrence.mSteps[i];
    if (step.mIsOpen || !AreDone(aOccurrence, steps, steps[i].mAfter)) {
      continue;
    }
    step.mIsOpen = true;
    for (auto& it : step.mTasks) {
      if (it.mPhase == TaskPhase::Waiting) {
        MakeReady(aCell, it, aNow);
      }
    }
  }
}

auto CheckOccurrenceDone(CellState& aCell, Job& aJob, Occurrence& aOccurrence)
  -> void
{
  const auto& steps = aJob.mStored.mSpec.mSteps;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (aOccurrence.mSteps[i].mDone < steps[i].mCount) {
      return;
    }
  }
  aJob.mOccurrencesDone.insert(aOccurrence.mNumber);
  if (aJob.mOccurrencesDone.size() == OccurrenceCount(aJob.mStored.mSpec)) {
    aJob.mState = JobState::Done;
    AddEvent(
      aCell,
      { CellEventKind::JobEnded, aJob.mStored.mSpec.mId, {}, 0, "done" });
    MarkDirty(aCell, aJob);
  }
}

auto MarkTaskDone(CellState& aCell, Task& aTask, MonotonicTime aNow) -> void
{
  if (aTask.mPhase == TaskPhase::Done) {
    return;
  }
  auto& job = *aTask.mJob;
  auto& occurrence = *job.mOccurrences.at(aTask.mOccurrence);
  aTask.mPhase = TaskPhase::Done;
  aTask.mWorker = nullptr;
  aTask.mMayBeRunning = false;
  aTask.mCheckpoint.clear();
  ++occurrence.mSteps[aTask.mStep].mDone;
  MarkDirty(aCell, aTask);
  OpenSteps(aCell, job, occurrence, aNow);
  CheckOccurrenceDone(aCell, job, occurrence);
}

auto AddJob(CellState& aCell,
            StoredJob aJob,
            const JobProgress& aProgress,
            bool aInherited,
            MonotonicTime aNow,
            std::int64_t aWallMs) -> Job&
{
  auto id = aJob.mSpec.mId;
  auto& slot = aCell.mJobs[id];
  slot = std::make_unique<Job>();
  auto& job = *slot;
  job.mStored = std::move(aJob);
  // A job that a previous holder accepted keeps its age.
  const auto age =
    job.mStored.mAcceptedMs > 0
      ? std::max<std::int64_t>(0, aWallMs - job.mStored.mAcceptedMs)
      : 0;
  job.mAddedAt = aNow - Milliseconds(age);
  if (!aInherited) {
    aCell.mLastNewJobAt = aNow;
  }
  ApplyProgress(job, aProgress);
  job.mHasStarted = job.mHasStarted || IsHostedJob(job);
  const auto& spec = job.mStored.mSpec;
  const auto count = OccurrenceCount(spec);
  for (std::uint32_t i = 0; i < count && IsDue(aCell, spec, i, aWallMs); ++i) {
    if (!FindOccurrence(job, i)) {
      job.mOccurrences.emplace(i, MakeOccurrence(job, i));
    }
    job.mNextOccurrence = std::max(job.mNextOccurrence, i + 1);
  }
  for (auto& [number, occurrence] : job.mOccurrences) {
    for (auto& step : occurrence->mSteps) {
      for (auto& it : step.mTasks) {
        if (IsHostedJob(job) && !IsHostedTask(job, it)) {
          it.mPhase = TaskPhase::Remote;
        }
        it.mMayBeRunning = aInherited && it.mPhase == TaskPhase::Waiting;
        it.mMayHaveRun = aInherited || job.mHasStarted;
      }
    }
    OpenSteps(aCell, job, *occurrence, aNow);
    CheckOccurrenceDone(aCell, job, *occurrence);
  }
  return job;
}

auto OpenDueOccurrences(CellState& aCell,
                        MonotonicTime aNow,
                        std::int64_t aWallMs) -> void
{
  for (auto& [id, it] : aCell.mJobs) {
    const auto& spec = it->mStored.mSpec;
    while (it->mNextOccurrence < OccurrenceCount(spec) &&
           IsDue(aCell, spec, it->mNextOccurrence, aWallMs)) {
      const auto number = it->mNextOccurrence++;
      auto made = MakeOccurrence(*it, number);
      auto& occurrence = *made;
      it->mOccurrences.emplace(number, std::move(made));
      OpenSteps(aCell, *it, occurrence, aNow);
    }
  }
}

auto FindJob(CellState& aCell, const std::string& aId) -> Job*
{
  const auto it = aCell.mJobs.find(aId);
  return it == aCell.mJobs.end() ? nullptr : it->second.get();
}

namespace {

/** Number of tasks of each step that are not done, over all occurrences. */
auto RemainingTasks(const Job& aJob) -> std::vector<std::uint32_t>
{
  const auto& spec = aJob.mStored.mSpec;
  std::vector<std::uint32_t> out;
  out.reserve(spec.mSteps.size());
  for (std::size_t i = 0; i < spec.mSteps.size(); ++i) {
    std::uint32_t done = 0;
    for (const auto& [number, occurrence] : aJob.mOccurrences) {
      done += occurrence->mSteps[i].mDone;
    }
    const auto total = spec.mSteps[i].mCount * OccurrenceCount(spec);
    out.push_back(total - std::min(total, done));
  }
  return out;
}

auto RemainingWork(const Job& aJob, const std::vector<std::uint32_t>& aTasks)
  -> double
{
  constexpr double kMillisMsPerCpuSecond = 1e6;
  const auto& steps = aJob.mStored.mSpec.mSteps;
  auto out = 0.0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    out += static_cast<double>(aTasks[i]) *
           static_cast<double>(steps[i].mNeed.mCpuMillis) *
           static_cast<double>(steps[i].mEstimatedMs) / kMillisMsPerCpuSecond;
  }
  return out;
}

} // namespace

auto RankJob(const Job& aJob, MonotonicTime aNow) -> JobRank
{
  // Run times are estimated roughly; a job is late only when it misses its
  // objective even if the rest takes this share of the estimate.
  constexpr double kOptimisticShare = 0.7;
  const auto remaining = RemainingTasks(aJob);
  const auto objective = ObjectiveMs(aJob.mStored.mSpec, aJob.mStored.mQueue);
  const auto age = static_cast<double>(
    std::chrono::duration_cast<Milliseconds>(aNow - aJob.mAddedAt).count());
  const auto end =
    age + kOptimisticShare * CriticalPathMs(aJob.mStored.mSpec, remaining);
  JobRank out;
  out.mRemainingWork = RemainingWork(aJob, remaining);
  out.mLateness = end < objective                      ? Lateness::InTime
                  : end < kWorthlessFactor * objective ? Lateness::Late
                                                       : Lateness::Worthless;
  return out;
}

auto NoteStarted(Job& aJob) -> void
{
  aJob.mHasStarted = true;
  NoteMayHaveStarted(aJob);
}

auto NoteMayHaveStarted(Job& aJob) -> void
{
  if (aJob.mState == JobState::Queued) {
    aJob.mState = JobState::Running;
  }
}

auto HasRun(const Job& aJob) -> bool
{
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (const auto& step : occurrence->mSteps) {
      for (const auto& it : step.mTasks) {
        if (it.mPhase == TaskPhase::Placed || it.mPhase == TaskPhase::Remote ||
            it.mMayBeRunning) {
          return true;
        }
      }
    }
  }
  return false;
}

auto RemoveJob(CellState& aCell, const std::string& aId) -> void
{
  auto* job = FindJob(aCell, aId);
  if (!job) {
    return;
  }
  std::erase_if(aCell.mReady, [&](Task* aTask) { return aTask->mJob == job; });
  for (auto& [id, worker] : aCell.mWorkers) {
    for (auto& [name, run] : worker->mRuns) {
      if (run.mTask && run.mTask->mJob == job) {
        run.mTask = nullptr;
        RequestStop(run);
      }
    }
  }
  aCell.mDirty.erase(aId);
  aCell.mJobs.erase(aId);
}

} // namespace eelgrasspost::cell
