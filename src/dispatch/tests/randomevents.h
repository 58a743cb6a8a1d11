#pragma once

#include "longrunningfixture.h"

namespace eelgrasspost::dispatch::testing {

/** A draining worker is replaced after this time. */
inline constexpr std::int64_t kReplacementMs = 1000;
/** Minimum time for which a draining worker stays. */
inline constexpr std::int64_t kDrainMs = 2000;

/** Cells whose workers, holders and store change at random. */
struct RandomEvents : BusyCells
{
  using BusyCells::BusyCells;

  bool mHasDrainedCell = false;

  auto AddWorker(const std::string& aCell) -> void
  {
    const auto id = MakeWorker(aCell);
    ListWorker(MakeRecord(id));
    Note(id + " appears in " + aCell);
  }

  /** A draining worker leaves once it has no runs. */
  auto LeaveWhenIdle(const std::string& aWorker) -> void
  {
    const auto& running = mWorkers.mRunning;
    const auto isBusy =
      std::any_of(running.begin(), running.end(), [&](const auto& aItem) {
        return mWorkers.mWorkerOf.at(aItem.first) == aWorker;
      });
    if (isBusy || mWorkers.HasEnds(aWorker)) {
      After(100, [this, aWorker] { LeaveWhenIdle(aWorker); });
      return;
    }
    const auto cell = mCellOf.at(aWorker);
    mCellOf.erase(aWorker);
    mWorkers.mUnresponsive.insert(aWorker);
    mNewest.at(cell)->UnlistWorker(aWorker);
    mCells.at(cell)->UnlistWorker(aWorker);
    Note(aWorker + " of " + cell + " has left");
  }

  auto Drain(const std::string& aWorker) -> void
  {
    if (!mWorkers.mDraining.insert(aWorker).second) {
      return;
    }
    Note(aWorker + " of " + mCellOf.at(aWorker) + " drains");
    ListWorker(MakeRecord(aWorker));
    After(kDrainMs, [this, aWorker] { LeaveWhenIdle(aWorker); });
  }

  auto DrainOne() -> void
  {
    const auto [worker, cell] = Pick(mCellOf);
    if (mWorkers.mDraining.contains(worker)) {
      return;
    }
    Drain(worker);
    After(kReplacementMs, [this, cell = cell] { AddWorker(cell); });
  }

  auto DrainCell() -> void
  {
    if (mHasDrainedCell) {
      DrainOne();
      return;
    }
    mHasDrainedCell = true;
    const auto cell = Pick(mCells).first;
    std::int64_t at = 0;
    for (const auto& [id, name] : mCellOf) {
      if (name == cell) {
        After(at, [this, id = id] { Drain(id); });
        After(4000 + at, [this, cell] { AddWorker(cell); });
        at += 300;
      }
    }
  }

  auto EndLongRunning() -> void
  {
    const auto task = mTasks.empty() ? std::string() : Pick(mTasks);
    if (mWorkers.mRunning.contains(task)) {
      const auto isFailed = Random(0, 1) == 0;
      Note(task + (isFailed ? " fails" : " stops") + " on " +
           mWorkers.mWorkerOf.at(task));
      mWorkers.End(task,
                   isFailed ? cell::EndKind::Failed : cell::EndKind::Stopped);
    }
  }

  /** The old holder either ends, or hears no worker any more and still gets the
   * commands for a while. */
  auto ChangeHolder() -> void
  {
    const auto cell = Pick(mCells).first;
    if (!mChanging.insert(cell).second) {
      return;
    }
    const auto old = mCells.at(cell);
    const auto announce = [this, cell, old] {
      mCells[cell] = mNewest.at(cell);
      old->End();
      mChanging.erase(cell);
      Note("the next holder of " + cell + " gets its commands");
    };
    if (Random(0, 1) == 0) {
      Note("the holder of " + cell + " ends");
      old->End();
      After(Random(300, 800), [this, cell, announce] {
        StartHolder(cell);
        announce();
      });
      return;
    }
    Note("the holder of " + cell + " is cut off from its workers");
    StartHolder(cell);
    for (const auto& [id, name] : mCellOf) {
      if (name == cell) {
        mWorkers.mLowestHeardTokens[id] =
          mTerms.at(cell) * 1000 * kTokensPerVersion;
      }
    }
    After(Random(500, 1000), announce);
  }

  auto SetCapacity(const std::string& aWorker, std::int64_t aCpuMillis) -> void
  {
    if (!mCellOf.contains(aWorker)) {
      return;
    }
    Note(aWorker + " has " + std::to_string(aCpuMillis) + " CPU millis");
    auto& capacity = mWorkers.mCapacities.at(aWorker);
    if (aCpuMillis < capacity.mCpuMillis) {
      // Orders that were sent before the change may still arrive.
      mWorkers.mFormerCapacities[aWorker] = capacity;
      After(100,
            [this, aWorker] { mWorkers.mFormerCapacities.erase(aWorker); });
    }
    capacity.mCpuMillis = aCpuMillis;
    ListWorker(MakeRecord(aWorker));
  }

  auto ChangeCapacity() -> void
  {
    const auto worker = Pick(mCellOf).first;
    if (mWorkers.mCapacities.at(worker).mCpuMillis < kWorkerCpuMillis) {
      return;
    }
    SetCapacity(worker, kWorkerCpuMillis * 3 / 4);
    After(Random(1000, 3000),
          [this, worker] { SetCapacity(worker, kWorkerCpuMillis); });
  }

  auto FailWrite() -> void
  {
    const auto fault = Pick(std::vector{
      FakeFault::LoseReply, FakeFault::LoseCall, FakeFault::Refuse });
    Note(fault == FakeFault::LoseReply  ? "a write loses its reply"
         : fault == FakeFault::LoseCall ? "a write is lost"
                                        : "a write is refused");
    mStore.mFaults.push_back(fault);
  }

  auto MakeEvent() -> void
  {
    switch (Random(0, 8)) {
      case 0:
      case 1:
        return DrainOne();
      case 2:
      case 3:
        return EndLongRunning();
      case 4:
      case 5:
        return ChangeHolder();
      case 6:
        return ChangeCapacity();
      case 7:
        return FailWrite();
      default:
        return DrainCell();
    }
  }
};

} // namespace eelgrasspost::dispatch::testing
