#include <algorithm>

#include "queueorder.h"
#include "workerchoice.h"

namespace eelgrasspost::cell {

namespace {

/** A reservation lapses when its task is not tried again for this time. */
constexpr auto kReservationTime = Milliseconds(1500);
/** Time that another cell has until its task is known here. */
constexpr auto kHostReservationTime = Milliseconds(3000);
/** A reservation that has not become complete for this time gives way to tasks
 * that could start at once. */
constexpr auto kExclusiveTime = Milliseconds(700);

auto Subtract(Resources& aFrom, const Resources& aLess) -> void
{
  aFrom.mCpuMillis -= aLess.mCpuMillis;
  aFrom.mMemoryMb -= aLess.mMemoryMb;
  aFrom.mAccelerators -= aLess.mAccelerators;
}

auto Add(Resources& aTo, const Resources& aMore) -> void
{
  aTo.mCpuMillis += aMore.mCpuMillis;
  aTo.mMemoryMb += aMore.mMemoryMb;
  aTo.mAccelerators += aMore.mAccelerators;
}

/** What no run of a worker has reserved. */
auto FreeNow(const CellState& aCell, const Worker& aWorker) -> Resources
{
  auto out = UsableCapacity(aCell, aWorker);
  Subtract(out, aWorker.mUsed);
  return out;
}

/** Whether a task may start although a reservation does not fit beside it. */
auto MayDisplace(const Reservation& aReservation,
                 const Resources& aFree,
                 MonotonicTime aNow) -> bool
{
  return !Contains(aFree, aReservation.mNeed) &&
         aNow - aReservation.mSince >= kExclusiveTime;
}

/** The worker whose room for a long-running task is complete soonest: the one
 * with the most free CPU among those that can hold it. */
auto FindWorkerToReserve(const CellState& aCell,
                         const LongRunningNeed& aNeed,
                         MonotonicTime aNow) -> Worker*
{
  Worker* best = nullptr;
  std::int64_t bestFree = 0;
  for (const auto& [id, worker] : aCell.mWorkers) {
    if (!IsUsable(aCell, *worker, aNow) || !Suits(*worker, aNeed) ||
        !Contains(CapacityFor(aCell, *worker, aNeed.mTask, aNow),
                  aNeed.mResources)) {
      continue;
    }
    const auto free = worker->mRecord.mCapacity.mCpuMillis -
                      worker->mUsed.mCpuMillis -
                      ReservedForOthers(*worker, aNeed.mTask, aNow).mCpuMillis;
    if (!best || free > bestFree) {
      best = worker.get();
      bestFree = free;
    }
  }
  return best;
}

auto Reserve(CellState& aCell,
             const LongRunningNeed& aNeed,
             Milliseconds aTime,
             MonotonicTime aNow) -> Worker*
{
  auto since = aNow;
  if (auto* worker = FindReservedWorker(aCell, aNeed.mTask, aNow)) {
    auto& reservation = worker->mReservations.at(aNeed.mTask);
    since = reservation.mSince;
    const auto isUseful =
      IsUsable(aCell, *worker, aNow) && Suits(*worker, aNeed) &&
      Contains(CapacityFor(aCell, *worker, aNeed.mTask, aNow),
               aNeed.mResources);
    if (isUseful) {
      const auto until = std::max(reservation.mUntil, aNow + aTime);
      reservation = { aNeed.mResources, until, since };
      return worker;
    }
    worker->mReservations.erase(aNeed.mTask);
  }
  auto* worker = FindWorkerToReserve(aCell, aNeed, aNow);
  if (worker) {
    worker->mReservations[aNeed.mTask] = { aNeed.mResources,
                                           aNow + aTime,
                                           since };
  }
  return worker;
}

/** A worker that could start a task of another cell at once. */
auto FindWorkerWithRoom(const CellState& aCell,
                        const LongRunningNeed& aNeed,
                        RoomUse aUse,
                        MonotonicTime aNow) -> Worker*
{
  StepSpec spec;
  spec.mNeed = aNeed.mResources;
  spec.mIsLongRunning = true;
  for (const auto& [id, worker] : aCell.mWorkers) {
    if (IsUsable(aCell, *worker, aNow) && Suits(*worker, aNeed) &&
        aNow >= worker->mIsolatedUntil &&
        HasRoom(aCell, *worker, spec, aNeed.mTask, aUse, aNow)) {
      return worker.get();
    }
  }
  return nullptr;
}

} // namespace

auto Contains(const Resources& aCapacity, const Resources& aNeed) -> bool
{
  return aNeed.mCpuMillis <= aCapacity.mCpuMillis &&
         aNeed.mMemoryMb <= aCapacity.mMemoryMb &&
         aNeed.mAccelerators <= aCapacity.mAccelerators;
}

auto NeedOf(const Task& aTask) -> LongRunningNeed
{
  const auto& spec = SpecOf(aTask);
  return { TaskName(aTask),    aTask.mJob->mStored.mQueue.mService,
           spec.mNeed,         spec.mRequiredLabel,
           spec.mMaxPerWorker, IsRestart(aTask) };
}

auto Suits(const Worker& aWorker, const LongRunningNeed& aNeed) -> bool
{
  if (!IsOfKind(aWorker, aNeed.mService, aNeed.mRequiredLabel)) {
    return false;
  }
  if (aNeed.mMaxPerWorker == 0) {
    return true;
  }
  // Tasks of one step differ in the last part of their names only.
  const auto step = aNeed.mTask.substr(0, aNeed.mTask.rfind('.') + 1);
  const auto runs = std::count_if(
    aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aItem) {
      return aItem.first.starts_with(step);
    });
  const auto reserved = std::count_if(aWorker.mReservations.begin(),
                                      aWorker.mReservations.end(),
                                      [&](const auto& aItem) {
                                        return aItem.first.starts_with(step) &&
                                               aItem.first != aNeed.mTask;
                                      });
  return static_cast<std::uint32_t>(runs + reserved) < aNeed.mMaxPerWorker;
}

auto ReservedForOthers(const Worker& aWorker,
                       std::string_view aTask,
                       MonotonicTime aNow) -> Resources
{
  Resources out;
  for (const auto& [name, it] : aWorker.mReservations) {
    if (aNow < it.mUntil && name != aTask) {
      Add(out, it.mNeed);
    }
  }
  return out;
}

auto CapacityFor(const CellState& aCell,
                 const Worker& aWorker,
                 std::string_view aTask,
                 MonotonicTime aNow) -> Resources
{
  auto out = UsableCapacity(aCell, aWorker);
  for (const auto& [name, run] : aWorker.mRuns) {
    if (run.mIsLongRunning && run.mPhase != RunPhase::Stopping) {
      Subtract(out, run.mNeed);
    }
  }
  Subtract(out, ReservedForOthers(aWorker, aTask, aNow));
  return out;
}

auto HasReservation(const Worker& aWorker,
                    std::string_view aTask,
                    MonotonicTime aNow) -> bool
{
  const auto it = aWorker.mReservations.find(aTask);
  return it != aWorker.mReservations.end() && aNow < it->second.mUntil;
}

auto FindReservedWorker(CellState& aCell,
                        const std::string& aTask,
                        MonotonicTime aNow) -> Worker*
{
  for (auto& [id, worker] : aCell.mWorkers) {
    if (HasReservation(*worker, aTask, aNow)) {
      return worker.get();
    }
  }
  return nullptr;
}

auto RemoveReservation(CellState& aCell, const std::string& aTask) -> void
{
  for (auto& [id, worker] : aCell.mWorkers) {
    worker->mReservations.erase(aTask);
  }
}

auto RoomForRestart(const CellState& aCell,
                    const Worker& aWorker,
                    std::string_view aTask,
                    MonotonicTime aNow) -> Resources
{
  if (aWorker.mRunsOfUnknownNeed > 0) {
    return {};
  }
  auto free = FreeNow(aCell, aWorker);
  auto lasting = CapacityFor(aCell, aWorker, aTask, aNow);
  Resources complete;
  for (const auto& [name, it] : aWorker.mReservations) {
    if (aNow >= it.mUntil || name == aTask) {
      continue;
    }
    if (MayDisplace(it, free, aNow)) {
      Add(lasting, it.mNeed);
    } else if (Contains(free, it.mNeed)) {
      Add(complete, it.mNeed);
    }
  }
  Subtract(free, complete);
  return { std::min(free.mCpuMillis, lasting.mCpuMillis),
           std::min(free.mMemoryMb, lasting.mMemoryMb),
           std::min(free.mAccelerators, lasting.mAccelerators) };
}

auto DisplaceReservations(CellState& aCell,
                          Worker& aWorker,
                          const LongRunningNeed& aNeed,
                          MonotonicTime aNow) -> void
{
  const auto free = FreeNow(aCell, aWorker);
  auto& reservations = aWorker.mReservations;
  while (!Contains(CapacityFor(aCell, aWorker, aNeed.mTask, aNow),
                   aNeed.mResources)) {
    // The one that lacks most is the furthest from a start.
    auto displaced = reservations.end();
    for (auto it = reservations.begin(); it != reservations.end(); ++it) {
      const auto mayDisplace =
        it->first != aNeed.mTask && MayDisplace(it->second, free, aNow);
      if (mayDisplace &&
          (displaced == reservations.end() ||
           it->second.mNeed.mCpuMillis > displaced->second.mNeed.mCpuMillis)) {
        displaced = it;
      }
    }
    if (displaced == reservations.end()) {
      return;
    }
    const auto time =
      std::chrono::duration_cast<Milliseconds>(aNow - displaced->second.mSince);
    AddEvent(aCell,
             { CellEventKind::ReservationDisplaced,
               displaced->first,
               aWorker.mRecord.mId,
               0,
               "for_restart",
               static_cast<double>(time.count()) });
    reservations.erase(displaced);
  }
}

auto RemoveExpiredReservations(CellState& aCell, MonotonicTime aNow) -> void
{
  for (auto& [id, worker] : aCell.mWorkers) {
    const auto& capacity = worker->mRecord.mCapacity;
    std::erase_if(worker->mReservations, [&](const auto& aItem) {
      return aNow >= aItem.second.mUntil ||
             !Contains(capacity, aItem.second.mNeed);
    });
  }
}

auto ReserveForTask(CellState& aCell, const Task& aTask, MonotonicTime aNow)
  -> Worker*
{
  return Reserve(aCell, NeedOf(aTask), kReservationTime, aNow);
}

auto ReserveCapacity(CellState& aCell,
                     const LongRunningNeed& aNeed,
                     bool aMayWait,
                     MonotonicTime aNow) -> bool
{
  auto* worker = FindWorkerWithRoom(aCell, aNeed, RoomUse::Unreserved, aNow);
  if (!worker && aNeed.mIsRestart) {
    worker = FindWorkerWithRoom(aCell, aNeed, RoomUse::Displacing, aNow);
  }
  if (worker) {
    DisplaceReservations(aCell, *worker, aNeed, aNow);
    RemoveReservation(aCell, aNeed.mTask);
    worker->mReservations[aNeed.mTask] = { aNeed.mResources,
                                           aNow + kHostReservationTime,
                                           aNow };
    return true;
  }
  return aMayWait && Reserve(aCell, aNeed, kHostReservationTime, aNow);
}

auto LargestReservableCpu(const CellState& aCell,
                          const Worker& aWorker,
                          MonotonicTime aNow) -> std::int64_t
{
  return std::max<std::int64_t>(
    0, CapacityFor(aCell, aWorker, {}, aNow).mCpuMillis);
}

} // namespace eelgrasspost::cell
