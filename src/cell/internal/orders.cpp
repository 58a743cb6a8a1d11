#include <algorithm>

#include "cellinternal.h"
#include "duplicates.h"
#include "eelgrasspost/cell/lookahead.h"
#include "runmoves.h"

namespace eelgrasspost::cell {

namespace {

auto FindRun(CellState& aCell, const Order& aOrder, Worker*& aWorker) -> Run*
{
  const auto it = aCell.mWorkers.find(aOrder.mWorker);
  if (it == aCell.mWorkers.end()) {
    return nullptr;
  }
  aWorker = it->second.get();
  const auto run = aWorker->mRuns.find(aOrder.mTask);
  const auto isRun =
    run != aWorker->mRuns.end() && run->second.mAttempt == aOrder.mAttempt;
  return isRun ? &run->second : nullptr;
}

/** Removes the run of a refused start; its task is placed again. */
auto WithdrawStart(CellState& aCell,
                   Worker& aWorker,
                   const Order& aOrder,
                   Run& aRun,
                   MonotonicTime aNow) -> void
{
  auto* task = aRun.mTask;
  const auto isCurrent = task && task->mPhase == TaskPhase::Placed &&
                         task->mAttempt == aRun.mAttempt;
  EraseRun(aWorker, aOrder.mTask);
  if (isCurrent) {
    task->mNotBefore = aNow + aCell.mPolicy.mRefusalBackoff;
    ReplaceRun(aCell, *task, aNow);
  }
}

/** How long a worker gets no starts after a start without an answer. */
constexpr auto kSuspectTime = Milliseconds(700);
/** How long a worker gets no starts after it refused one or lacked room. */
constexpr auto kNoRoomBackoff = Milliseconds(300);

auto ApplyStart(CellState& aCell,
                Worker& aWorker,
                const Order& aOrder,
                Run& aRun,
                OrderOutcome aOutcome,
                MonotonicTime aNow) -> void
{
  switch (aOutcome) {
    case OrderOutcome::Done:
      if (aRun.mPhase == RunPhase::Starting ||
          aRun.mPhase == RunPhase::OutcomeUnknown) {
        aRun.mPhase = RunPhase::Running;
      }
      aRun.mConfirmedAt = aNow;
      return;
    case OrderOutcome::Unknown:
      aWorker.mSuspectUntil = aNow + kSuspectTime;
      if (aRun.mTask) {
        NoteMayHaveStarted(*aRun.mTask->mJob);
      }
      if (aRun.mPhase == RunPhase::Starting) {
        // Once a stop is answered, the worker refuses the start even if that
        // arrives later.
        RequestStop(aRun);
      }
      return;
    case OrderOutcome::NoRoom:
      aWorker.mSuspectUntil = aNow + kNoRoomBackoff;
      aWorker.mNeedsPoll = true;
      WithdrawStart(aCell, aWorker, aOrder, aRun, aNow);
      return;
    case OrderOutcome::OtherIncarnation:
      DropWorkerRuns(aCell, aWorker, RunsLostReason::AddressReused, aNow);
      aWorker.mIsKnown = false;
      return;
    case OrderOutcome::Refused:
      aWorker.mSuspectUntil = aNow + kNoRoomBackoff;
      [[fallthrough]];
    case OrderOutcome::Superseded:
    case OrderOutcome::Restarted:
    case OrderOutcome::BadTicket:
      WithdrawStart(aCell, aWorker, aOrder, aRun, aNow);
      return;
  }
}

auto ApplyStop(CellState& aCell,
               Worker& aWorker,
               Run& aRun,
               OrderOutcome aOutcome,
               MonotonicTime aNow) -> void
{
  aRun.mStopInFlight = false;
  if (aOutcome == OrderOutcome::Done) {
    aRun.mStopAnswered = true;
    aRun.mStopAnsweredAt = aNow;
    aWorker.mNeedsPoll = true;
  } else if (aOutcome == OrderOutcome::OtherIncarnation) {
    DropWorkerRuns(aCell, aWorker, RunsLostReason::AddressReused, aNow);
    aWorker.mIsKnown = false;
  }
}

auto CollectStop(const std::string& aName,
                 const Worker& aWorker,
                 Run& aRun,
                 const CellPolicy& aPolicy,
                 MonotonicTime aNow,
                 std::vector<Order>& aOrders) -> void
{
  const auto isDue = aRun.mPhase == RunPhase::Stopping && !aRun.mStopAnswered &&
                     !aRun.mStopInFlight &&
                     aNow >= aRun.mStopSentAt + aPolicy.mStopRetry;
  if (!isDue) {
    return;
  }
  aRun.mStopInFlight = true;
  aRun.mStopSentAt = aNow;
  Order order;
  order.mKind = OrderKind::Stop;
  order.mWorker = aWorker.mRecord.mId;
  order.mTask = aName;
  order.mAttempt = aRun.mAttempt;
  aOrders.push_back(std::move(order));
}

auto CollectCpuShare(const std::string& aName,
                     const Worker& aWorker,
                     Run& aRun,
                     const CellPolicy& aPolicy,
                     std::vector<Order>& aOrders) -> void
{
  if (aRun.mPhase != RunPhase::Running || aRun.mCpuShareInFlight ||
      aRun.mCpuShare == aRun.mWantedCpuShare) {
    return;
  }
  const auto mayBePaused = aPolicy.mMaxUnreported > Milliseconds(0);
  if (mayBePaused && aWorker.mUnreachableSince) {
    // The order would fail at once and be sent again.
    return;
  }
  aRun.mCpuShareInFlight = true;
  Order order;
  order.mKind = OrderKind::SetCpuShare;
  order.mWorker = aWorker.mRecord.mId;
  order.mTask = aName;
  order.mAttempt = aRun.mAttempt;
  order.mPercent = aRun.mWantedCpuShare;
  aOrders.push_back(std::move(order));
}

/** A run may need this many times as long for a percent as its expected
 * duration gives. */
constexpr int kSlowestPace = 3;
/** Restarts of a task that stood still before its limit grows. */
constexpr std::uint32_t kStallsAtFirstLimit = 2;
constexpr std::uint32_t kMaxLimitDoublings = 10;

/** How long a run's percent, a whole number, may stay the same. */
auto StallLimit(const CellState& aCell, const Run& aRun) -> Milliseconds
{
  constexpr int kAllPercent = 100;
  const auto& task = *aRun.mTask;
  const auto least = aRun.mIsBestEffort || aRun.mIsLongRunning
                       ? aCell.mPolicy.mLongStallLimit
                       : aCell.mPolicy.mStallLimit;
  const auto limit =
    std::max(least, ExpectedRunTime(aCell, task) * kSlowestPace / kAllPercent);
  // The estimate may be far too low, so that each run seems to stand still.
  const auto doublings = task.mStalls < kStallsAtFirstLimit
                           ? 0
                           : task.mStalls - kStallsAtFirstLimit + 1;
  return limit * (1U << std::min(doublings, kMaxLimitDoublings));
}

/** Whether a run has made no progress for longer than its limit. */
auto IsStalled(const CellState& aCell, const Run& aRun, MonotonicTime aNow)
  -> bool
{
  if (aRun.mPhase != RunPhase::Running || aRun.mCpuShare < 100 ||
      (aRun.mIsLongRunning && aRun.mPercent >= 100)) {
    return false;
  }
  return aNow - aRun.mPercentMovedAt > StallLimit(aCell, aRun);
}

auto CheckRun(CellState& aCell, Worker& aWorker, Run& aRun, MonotonicTime aNow)
  -> void
{
  if (aRun.mPhase == RunPhase::Stopping || !aRun.mTask) {
    return;
  }
  const auto hasContact =
    aNow - aWorker.mLastContact < aCell.mPolicy.mSilenceLimit;
  if (hasContact && IsStalled(aCell, aRun, aNow)) {
    ++aCell.mStalls;
    ++aRun.mTask->mStalls;
    aRun.mTask->mAvoidedWorker = aWorker.mRecord.mId;
    aWorker.mProbationUntil = aNow + aCell.mPolicy.mProbation;
    AddEvent(aCell,
             { CellEventKind::RunStopped,
               TaskName(*aRun.mTask),
               aWorker.mRecord.mId,
               aRun.mAttempt,
               "stands_still",
               aRun.mPercent });
    RequestStop(aRun);
    return;
  }
  const auto isLeaving = aWorker.mRecord.mState == WorkerState::Draining;
  if (isLeaving && aRun.mIsLongRunning && aRun.mPhase == RunPhase::Running) {
    AddEvent(aCell,
             { CellEventKind::RunStopped,
               TaskName(*aRun.mTask),
               aWorker.mRecord.mId,
               aRun.mAttempt,
               "worker_drains",
               static_cast<double>(aWorker.mRecord.mRemainingMs) });
    RequestStop(aRun);
  }
}

} // namespace

auto ApplyOutcome(CellState& aCell,
                  const Order& aOrder,
                  OrderOutcome aOutcome,
                  MonotonicTime aNow,
                  std::string_view aDetail) -> void
{
  const auto isExecutedStart =
    aOrder.mKind == OrderKind::Start && aOutcome == OrderOutcome::Done;
  if (isExecutedStart) {
    if (auto* task = FindTask(aCell, aOrder.mTask)) {
      NoteStarted(*task->mJob);
    }
  }
  Worker* worker = nullptr;
  auto* run = FindRun(aCell, aOrder, worker);
  if (!worker) {
    return;
  }
  if (aOutcome == OrderOutcome::Done) {
    worker->mLastContact = std::max(worker->mLastContact, aNow);
    worker->mUnreachableSince.reset();
  } else {
    AddEvent(aCell,
             { CellEventKind::OrderFailed,
               aOrder.mTask,
               aOrder.mWorker,
               aOrder.mAttempt,
               base::NameOf(kOrderOutcomeNames, aOutcome),
               static_cast<double>(aOrder.mKind),
               SinceContact(worker->mLastContact, aNow),
               std::string(aDetail) });
    if (aOutcome == OrderOutcome::Unknown ||
        aOutcome == OrderOutcome::Refused ||
        aOutcome == OrderOutcome::Restarted) {
      SuspectRestart(*worker, aNow);
    }
  }
  if (!run) {
    return;
  }
  switch (aOrder.mKind) {
    case OrderKind::Start:
      ApplyStart(aCell, *worker, aOrder, *run, aOutcome, aNow);
      return;
    case OrderKind::Stop:
      ApplyStop(aCell, *worker, *run, aOutcome, aNow);
      return;
    case OrderKind::SetCpuShare:
      run->mCpuShareInFlight = false;
      if (aOutcome == OrderOutcome::Done) {
        run->mCpuShare = aOrder.mPercent;
        run->mPercentMovedAt = aNow;
      }
      return;
  }
}

auto CheckRuns(CellState& aCell, MonotonicTime aNow) -> void
{
  PauseUnreported(aCell, aNow);
  for (auto& [id, worker] : aCell.mWorkers) {
    for (auto& [name, run] : worker->mRuns) {
      CheckRun(aCell, *worker, run, aNow);
    }
  }
}

auto CollectOrders(CellState& aCell, MonotonicTime aNow) -> std::vector<Order>
{
  std::vector<Order> out;
  for (auto& [id, worker] : aCell.mWorkers) {
    if (!worker->mIsKnown) {
      continue;
    }
    for (auto& [name, run] : worker->mRuns) {
      CollectStop(name, *worker, run, aCell.mPolicy, aNow, out);
      CollectCpuShare(name, *worker, run, aCell.mPolicy, out);
    }
  }
  PlaceReady(aCell, aNow, out);
  PlaceDuplicates(aCell, aNow, out);
  return out;
}

} // namespace eelgrasspost::cell
