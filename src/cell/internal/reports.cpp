#include <algorithm>

#include "besteffort.h"
#include "cellinternal.h"
#include "duplicates.h"
#include "eelgrasspost/base/text.h"
#include "workerchoice.h"

namespace eelgrasspost::cell {

namespace {

/** Replaces a run that ended without completing its task. */
auto RequeueTask(CellState& aCell,
                 Task& aTask,
                 const Worker& aWorker,
                 std::uint64_t aAttempt,
                 MonotonicTime aNow) -> void
{
  const auto isOfThisRun = aTask.mPhase == TaskPhase::Placed &&
                           aTask.mWorker == &aWorker &&
                           aTask.mAttempt == aAttempt;
  if (isOfThisRun) {
    ReplaceRun(aCell, aTask, aNow);
  }
}

auto UpdateRun(Run& aRun, const RunningRow& aRow, MonotonicTime aNow) -> void
{
  if (aRun.mPhase == RunPhase::Starting ||
      aRun.mPhase == RunPhase::OutcomeUnknown) {
    aRun.mPhase = RunPhase::Running;
    aRun.mConfirmedAt = aNow;
  }
  if (aRow.mPercent != aRun.mPercent) {
    aRun.mPercent = aRow.mPercent;
    aRun.mPercentMovedAt = aNow;
  }
  aRun.mLoad = aRow.mLoad;
  if (aRun.mTask) {
    NoteStarted(*aRun.mTask->mJob);
  }
  if (!aRow.mCheckpoint.empty()) {
    aRun.mCheckpoint = aRow.mCheckpoint;
    if (aRun.mTask && !aRun.mIsDuplicate) {
      aRun.mTask->mCheckpoint = aRow.mCheckpoint;
    }
  }
}

/** Adopts a run that a previous holder started. An untracked run, and one whose
 * task is done or placed elsewhere, is stopped. */
auto AdoptRun(CellState& aCell,
              Worker& aWorker,
              const RunningRow& aRow,
              MonotonicTime aNow) -> void
{
  auto* task = FindTask(aCell, aRow.mTask);
  const auto isPlacedElsewhere =
    task && task->mPhase == TaskPhase::Placed && task->mWorker != &aWorker;
  const auto isAdopted = task && task->mPhase != TaskPhase::Done &&
                         task->mPhase != TaskPhase::Remote &&
                         !isPlacedElsewhere;
  AddEvent(aCell,
           { CellEventKind::ForeignRunFound,
             aRow.mTask,
             aWorker.mRecord.mId,
             aRow.mAttempt,
             isAdopted           ? "adopted"
             : isPlacedElsewhere ? "placed_elsewhere"
                                 : "untracked",
             aRow.mPercent });
  if (!isAdopted) {
    Run run;
    run.mAttempt = aRow.mAttempt;
    run.mStartedAt = aNow;
    if (task) {
      run.mNeed = SpecOf(*task).mNeed;
      run.mIsBestEffort = SpecOf(*task).mIsBestEffort;
    } else {
      // Nothing is started beside it.
      run.mIsNeedKnown = false;
      run.mNeed = aWorker.mRecord.mCapacity;
    }
    RequestStop(InsertRun(aWorker, aRow.mTask, std::move(run)));
    return;
  }
  std::erase(aCell.mReady, task);
  task->mPhase = TaskPhase::Placed;
  task->mWorker = &aWorker;
  task->mAttempt = aRow.mAttempt;
  // Workers that have not reported may have the other run of two.
  task->mMayBeRunning = aCell.mPolicy.mStartsDuplicates &&
                        SpecOf(*task).mAllowsDuplicates &&
                        !aCell.mUnreconciledWorkers.empty();
  task->mMayHaveRun = true;
  NoteStarted(*task->mJob);
  auto run = MakeRun(aCell, *task, aRow.mAttempt, aNow);
  run.mStartedAt = {};
  run.mPhase = RunPhase::Running;
  run.mConfirmedAt = aNow;
  UpdateRun(InsertRun(aWorker, aRow.mTask, std::move(run)), aRow, aNow);
}

/** Whether a run that a report does not list has certainly ended. */
auto HasVanished(const Run& aRun, MonotonicTime aSentAt) -> bool
{
  if (aRun.mPhase == RunPhase::Running) {
    return aSentAt >= aRun.mConfirmedAt;
  }
  return aRun.mPhase == RunPhase::Stopping && aRun.mStopAnswered &&
         aSentAt >= aRun.mStopAnsweredAt;
}

auto DropVanishedRuns(CellState& aCell,
                      Worker& aWorker,
                      const std::set<std::string_view>& aListed,
                      MonotonicTime aSentAt,
                      MonotonicTime aNow) -> void
{
  std::vector<std::string> gone;
  for (const auto& [name, run] : aWorker.mRuns) {
    if (!aListed.contains(name) && HasVanished(run, aSentAt)) {
      gone.push_back(name);
    }
  }
  for (const auto& it : gone) {
    const auto run = aWorker.mRuns.at(it);
    EraseRun(aWorker, it);
    if (run.mTask) {
      RequeueTask(aCell, *run.mTask, aWorker, run.mAttempt, aNow);
    }
  }
}

auto MarkReconciled(CellState& aCell,
                    const std::string& aId,
                    std::string_view aEvidence,
                    MonotonicTime aNow) -> void
{
  if (aCell.mUnreconciledWorkers.erase(aId) == 0) {
    return;
  }
  AddEvent(aCell,
           { CellEventKind::WorkerReconciled,
             {},
             aId,
             0,
             aEvidence,
             static_cast<double>(aCell.mUnreconciledWorkers.size()) });
  if (!aCell.mUnreconciledWorkers.empty()) {
    return;
  }
  for (auto& [id, job] : aCell.mJobs) {
    for (auto& [number, occurrence] : job->mOccurrences) {
      for (auto& step : occurrence->mSteps) {
        for (auto& it : step.mTasks) {
          if (it.mMayBeRunning && SpecOf(it).mIsLongRunning) {
            // It has not waited for capacity yet, so it is not moved at once.
            it.mReadyAt = aNow;
          }
          it.mMayBeRunning = false;
        }
      }
    }
  }
}

} // namespace

auto DropWorkerRuns(CellState& aCell,
                    Worker& aWorker,
                    RunsLostReason aReason,
                    MonotonicTime aNow) -> void
{
  auto runs = std::move(aWorker.mRuns);
  if (!runs.empty()) {
    AddEvent(aCell,
             { CellEventKind::RunsLost,
               {},
               aWorker.mRecord.mId,
               0,
               base::NameOf(kRunsLostReasonNames, aReason),
               static_cast<double>(runs.size()),
               SinceContact(aWorker.mLastContact, aNow) });
  }
  if (aReason != RunsLostReason::LeaseExpired || aWorker.mIsReplaced) {
    CountCrashes(aCell, aWorker, runs, aNow);
  }
  aWorker.mRuns.clear();
  aWorker.mUsed = {};
  aWorker.mRunsOfUnknownNeed = 0;
  aWorker.mBestEffortCpuMillis = 0;
  aWorker.mServingCpuMillis = 0;
  aWorker.mBestEffortUses.clear();
  aWorker.mServingImages.clear();
  for (auto& [name, run] : runs) {
    ++aCell.mEndsLost;
    if (run.mTask) {
      auto& task = *run.mTask;
      task.mLastContact = aWorker.mLastContact;
      RequeueTask(aCell, task, aWorker, run.mAttempt, aNow);
      if (SpecOf(task).mIsGang && task.mPhase != TaskPhase::Done) {
        StopGang(task);
      }
    }
  }
  aWorker.mSeenEnds = 0;
  aWorker.mStoredEnds = 0;
  aWorker.mUnstoredEnds.clear();
  aWorker.mMayHaveMoreEnds = false;
  aWorker.mForeignEnds.clear();
  aWorker.mLastClockMs = 0;
  MarkReconciled(aCell,
                 aWorker.mRecord.mId,
                 base::NameOf(kRunsLostReasonNames, aReason),
                 aNow);
}

namespace {

auto LowerOf(const Resources& aLeft, const Resources& aRight) -> Resources
{
  return { std::min(aLeft.mCpuMillis, aRight.mCpuMillis),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mAccelerators, aRight.mAccelerators) };
}

auto LogCapacityChange(CellState& aCell, const Worker& aWorker) -> void
{
  const auto& [cpuMillis, memoryMb, accelerators] = aWorker.mRecord.mCapacity;
  AddEvent(aCell,
           { CellEventKind::CapacityChanged,
             base::Cat(cpuMillis,
                       " CPU millis, ",
                       memoryMb,
                       " MB, ",
                       accelerators,
                       " accelerators"),
             aWorker.mRecord.mId,
             0,
             "listed",
             static_cast<double>(cpuMillis) });
}

} // namespace

auto UpdateWorker(CellState& aCell,
                  const WorkerRecord& aRecord,
                  MonotonicTime aNow) -> Worker&
{
  auto& slot = aCell.mWorkers[aRecord.mId];
  if (!slot) {
    slot = std::make_unique<Worker>();
    slot->mLastContact = aNow;
    slot->mLeasesExpiredAt = aNow + Milliseconds(aCell.mPolicy.mLeaseMs);
    slot->mRecord.mCapacity = aRecord.mCapacity;
    slot->mLowestCapacity = aRecord.mCapacity;
  }
  const auto wasReady = slot->mRecord.mState == WorkerState::Ready;
  const auto hadCapacity = slot->mRecord.mCapacity;
  const auto isSameIncarnation =
    slot->mRecord.mIncarnationStartMs == aRecord.mIncarnationStartMs;
  slot->mRecord = aRecord;
  slot->mLowestCapacity = isSameIncarnation
                            ? LowerOf(slot->mLowestCapacity, aRecord.mCapacity)
                            : aRecord.mCapacity;
  if (aRecord.mCapacity != hadCapacity) {
    LogCapacityChange(aCell, *slot);
    RescaleBestEffortUses(*slot, hadCapacity);
    RemoveExpiredReservations(aCell, aNow);
  }
  slot->mIsListed = true;
  if (aRecord.mState == WorkerState::Draining && wasReady) {
    slot->mDrainingSince = aNow;
  }
  if (aRecord.mIncarnationStartMs != 0 && slot->mIncarnationStartMs != 0 &&
      aRecord.mIncarnationStartMs > slot->mIncarnationStartMs) {
    // The list does not tell what runs on the new incarnation, which may have
    // accepted a lower token. Its runs are settled by its own reply.
    slot->mIsKnown = false;
  }
  return *slot;
}

auto UnlistWorker(CellState& aCell, const std::string& aId) -> void
{
  const auto it = aCell.mWorkers.find(aId);
  if (it != aCell.mWorkers.end()) {
    it->second->mIsListed = false;
  }
}

auto SuspectRestart(Worker& aWorker, MonotonicTime aNow) -> void
{
  aWorker.mMayHaveRestartedSince = aNow;
  aWorker.mNeedsPoll = true;
}

auto NoteLateStart(Worker& aWorker, MonotonicTime aUntil) -> void
{
  aWorker.mLateStartsUntil = std::max(aWorker.mLateStartsUntil, aUntil);
}

auto ApplyReport(CellState& aCell,
                 Worker& aWorker,
                 const WorkerReport& aReport,
                 MonotonicTime aSentAt,
                 MonotonicTime aNow) -> void
{
  if (aReport.mIncarnationStartMs != 0 && aWorker.mIncarnationStartMs != 0 &&
      aReport.mIncarnationStartMs != aWorker.mIncarnationStartMs) {
    DropWorkerRuns(aCell, aWorker, RunsLostReason::NewIncarnationReplied, aNow);
  }
  aWorker.mIncarnationStartMs = aReport.mIncarnationStartMs;
  if (aReport.mClockMs < aWorker.mLastClockMs) {
    // A later report arrived first on another connection.
    return;
  }
  aWorker.mLastClockMs = aReport.mClockMs;
  aWorker.mLastContact = aNow;
  aWorker.mReportedAt = aNow;
  aWorker.mUnreachableSince.reset();
  aWorker.mNeedsPoll = false;
  aWorker.mIsKnown = true;
  if (aWorker.mMayHaveRestartedSince &&
      aSentAt >= *aWorker.mMayHaveRestartedSince) {
    aWorker.mMayHaveRestartedSince.reset();
  }
  aWorker.mMayHaveMoreEnds = aReport.mMayHaveMoreEnds;
  for (const auto& it : aReport.mEnds) {
    if (it.mNumber > aWorker.mSeenEnds) {
      aWorker.mSeenEnds = it.mNumber;
      ApplyEnd(aCell, aWorker, it, aNow);
    }
  }
  std::set<std::string_view> listed;
  for (const auto& it : aReport.mRunning) {
    listed.insert(it.mTask);
    const auto run = aWorker.mRuns.find(it.mTask);
    if (run == aWorker.mRuns.end()) {
      AdoptRun(aCell, aWorker, it, aNow);
    } else if (run->second.mAttempt == it.mAttempt) {
      UpdateRun(run->second, it, aNow);
      ClearSuspect(aCell, run->second, aNow);
    }
  }
  if (!aReport.mMayHaveMoreEnds) {
    DropVanishedRuns(aCell, aWorker, listed, aSentAt, aNow);
    MarkReconciled(aCell, aWorker.mRecord.mId, "reported", aNow);
  }
  if (aWorker.mConsecutiveFailures >= aCell.mPolicy.mProbationFailures) {
    aWorker.mProbationUntil = aNow + aCell.mPolicy.mProbation;
    AddEvent(aCell,
             { CellEventKind::WorkerOnProbation,
               {},
               aWorker.mRecord.mId,
               0,
               "failures_in_a_row",
               static_cast<double>(aWorker.mConsecutiveFailures) });
    aWorker.mConsecutiveFailures = aCell.mPolicy.mProbationFailures - 1;
  }
  LearnFromReport(aCell, aWorker, aNow);
  AdjustCpuShares(aCell, aWorker, aNow);
}

} // namespace eelgrasspost::cell
