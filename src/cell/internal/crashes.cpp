#include <algorithm>

#include "cellinternal.h"

namespace eelgrasspost::cell {

namespace {

enum class CrashEvidence : std::uint8_t
{
  None,
  /** The worker may have crashed before the start arrived. */
  StartNotAnswered,
  /** It is not known when the worker crashed. */
  TimeUnknown,
  /** Other workers became unreachable at the same time. */
  SeveralWorkers,
  Confirmed,
};

constexpr auto kCrashEvidenceNames = std::array{
  base::EnumName<CrashEvidence>{ CrashEvidence::None, "none" },
  base::EnumName<CrashEvidence>{ CrashEvidence::StartNotAnswered,
                                 "start_not_answered" },
  base::EnumName<CrashEvidence>{ CrashEvidence::TimeUnknown, "time_unknown" },
  base::EnumName<CrashEvidence>{ CrashEvidence::SeveralWorkers,
                                 "several_workers" },
  base::EnumName<CrashEvidence>{ CrashEvidence::Confirmed, "confirmed" },
};

/** Workers that become unreachable within this time of each other may have a
 * common cause. */
constexpr auto kSimultaneous = Milliseconds(100);
/** So many workers at the same time are not explained by single tasks. */
constexpr std::ptrdiff_t kSeveralWorkers = 3;

auto HaveSeveralCrashed(const CellState& aCell, MonotonicTime aAt) -> bool
{
  const auto& workers = aCell.mWorkers;
  return std::count_if(workers.begin(), workers.end(), [&](const auto& aItem) {
           const auto& since = aItem.second->mUnreachableSince;
           return since && *since - aAt < kSimultaneous &&
                  aAt - *since < kSimultaneous;
         }) >= kSeveralWorkers;
}

/** Whether a worker that has crashed may have done so because of a run. A run
 * that the worker outlived by the crash window is not the cause. */
auto EvidenceAgainst(const CellState& aCell,
                     const Worker& aWorker,
                     const Run& aRun,
                     MonotonicTime aNow) -> CrashEvidence
{
  const auto& unreachable = aWorker.mUnreachableSince;
  const auto aliveUntil = unreachable
                            ? std::max(aWorker.mLastContact, *unreachable)
                            : aWorker.mLastContact;
  if (!aRun.mTask || aRun.mStartedAt == MonotonicTime{} ||
      aliveUntil - aRun.mStartedAt >= aCell.mPolicy.mCrashWindow) {
    return CrashEvidence::None;
  }
  if (aRun.mConfirmedAt == MonotonicTime{}) {
    // Without a failed call, the worker may have been out of reach for long
    // before the start was sent.
    return unreachable && aRun.mStartedAt <= *unreachable
             ? CrashEvidence::StartNotAnswered
             : CrashEvidence::None;
  }
  if (!unreachable) {
    return aNow - aRun.mStartedAt < aCell.mPolicy.mCrashWindow
             ? CrashEvidence::Confirmed
             : CrashEvidence::TimeUnknown;
  }
  return HaveSeveralCrashed(aCell, *unreachable) ? CrashEvidence::SeveralWorkers
                                                 : CrashEvidence::Confirmed;
}

auto FailJob(CellState& aCell,
             Job& aJob,
             const std::string& aWorker,
             std::uint64_t aAttempt,
             std::uint32_t aCrashes) -> void
{
  aJob.mState = JobState::Failed;
  MarkDirty(aCell, aJob);
  AddEvent(aCell,
           { CellEventKind::JobEnded,
             aJob.mStored.mSpec.mId,
             aWorker,
             aAttempt,
             "workers_crashed",
             static_cast<double>(aCrashes) });
}

} // namespace

auto IsSuspect(const Task& aTask) -> bool
{
  return aTask.mCrashes != CrashCount{};
}

auto CountCrashes(CellState& aCell,
                  Worker& aWorker,
                  const std::unordered_map<std::string, Run>& aRuns,
                  MonotonicTime aNow) -> void
{
  if (aWorker.mRecord.mState == WorkerState::Draining) {
    // It has left as announced.
    return;
  }
  for (const auto& [name, run] : aRuns) {
    const auto evidence = EvidenceAgainst(aCell, aWorker, run, aNow);
    if (evidence == CrashEvidence::None || IsFinal(run.mTask->mJob->mState) ||
        run.mTask->mPhase == TaskPhase::Done) {
      continue;
    }
    auto& task = *run.mTask;
    auto& job = *task.mJob;
    ++(evidence == CrashEvidence::Confirmed ? task.mCrashes.mConfirmed
                                            : task.mCrashes.mUnconfirmed);
    const auto crashes = task.mCrashes.mConfirmed + task.mCrashes.mUnconfirmed;
    const auto& id = aWorker.mRecord.mId;
    AddEvent(aCell,
             { CellEventKind::CrashCounted,
               name,
               id,
               run.mAttempt,
               base::NameOf(kCrashEvidenceNames, evidence),
               static_cast<double>(crashes) });
    job.mHasUnstoredCrashes = true;
    MarkDirty(aCell, task);
    const auto& policy = aCell.mPolicy;
    if (task.mCrashes.mConfirmed >= policy.mMaxConfirmedCrashes ||
        crashes >= policy.mMaxCrashes) {
      FailJob(aCell, job, id, run.mAttempt, crashes);
    }
  }
}

auto ClearSuspect(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> void
{
  const auto isHarmless =
    aRun.mTask && aNow - aRun.mStartedAt >= aCell.mPolicy.mCrashWindow;
  if (isHarmless) {
    aRun.mTask->mCrashes = {};
  }
}

auto MayJoinWorker(const CellState& aCell,
                   const Worker& aWorker,
                   const Task& aTask,
                   MonotonicTime aNow) -> bool
{
  if (!IsSuspect(aTask)) {
    return aNow >= aWorker.mIsolatedUntil;
  }
  // A worker that has just crashed has few runs, too.
  return !aWorker.mUnreachableSince &&
         aNow - aWorker.mLastStartAt >= aCell.mPolicy.mCrashWindow;
}

auto NoteStart(const CellState& aCell,
               Worker& aWorker,
               const Task& aTask,
               MonotonicTime aNow) -> void
{
  aWorker.mLastStartAt = aNow;
  if (IsSuspect(aTask)) {
    aWorker.mIsolatedUntil = aNow + aCell.mPolicy.mCrashWindow;
  }
}

auto NoteUnreachable(Worker& aWorker, MonotonicTime aNow) -> void
{
  if (!aWorker.mUnreachableSince) {
    aWorker.mUnreachableSince = aNow;
  }
}

auto MarkCrashesStored(Job& aJob) -> void
{
  aJob.mHasUnstoredCrashes = false;
}

auto GiveUpHostedJob(CellState& aCell, Job& aJob) -> void
{
  if (!IsFinal(aJob.mState)) {
    FailJob(aCell, aJob, {}, 0, aCell.mPolicy.mMaxConfirmedCrashes);
  }
}

} // namespace eelgrasspost::cell
