#pragma once

#include <cstdio>
#include <random>
#include <sstream>

#include "holderfixture.h"
#include "internal/holdertimes.h"

namespace eelgrasspost::dispatch::testing {

/** Four cells with four workers each, long-running jobs that use 45% of the
 * capacity, and short tasks that always wait in each cell. All members are used
 * on the pool's thread only. */
struct BusyCells : HolderFixture
{
  /** Time in which a long-running task without a run has to be at work again if
   * a worker has room for it. */
  static constexpr auto kRestartLimit = Milliseconds(6000);
  static constexpr std::int64_t kWorkerCpuMillis = 16000;
  static constexpr std::size_t kWaitingShortTasks = 8;

  /** A long-running task that has no run. */
  struct Absence
  {
    MonotonicTime mSince;
    /** Since when each worker has had room for it. */
    std::map<std::string, MonotonicTime> mRoomSince;
  };

  /** Chooses the events. */
  std::mt19937 mRandom;
  /** Chooses short jobs and the times at which runs end. */
  std::mt19937 mLoadRandom;
  /** Cells of the listed workers. */
  std::map<std::string, std::string> mCellOf;
  /** The newest holder of each cell; mCells has those that get commands. */
  std::map<std::string, std::shared_ptr<CellHolder>> mNewest;
  std::map<std::string, std::uint64_t> mTerms;
  /** Cells of which a holder takes over. */
  std::set<std::string> mChanging;
  std::vector<std::shared_ptr<CellHolder>> mHolders;
  std::vector<std::string> mTasks;
  std::map<std::string, Absence> mAbsences;
  std::multimap<MonotonicTime, std::function<void()>> mDue;
  std::map<std::string, std::uint64_t> mEndingAttempts;
  std::size_t mHandledStops = 0;
  std::size_t mWorkerCount = 0;
  std::uint64_t mShortJobs = 0;
  bool mIsOver = false;
  std::deque<std::string> mEvents;
  std::vector<std::string> mFaultsFound;
  std::set<std::string> mReported;
  Milliseconds mLongestAbsence{ 0 };
  std::size_t mAbsenceCount = 0;
  /** Runs of long-running tasks outside the cells of their jobs. */
  std::set<std::pair<std::string, std::uint64_t>> mHostedRuns;
  /** Samples of cells, and those of them in which short tasks waited. */
  std::size_t mSampledCells = 0;
  std::size_t mCellsWithWaiting = 0;
  MonotonicTime mBegin = base::MonotonicClock::now();

  explicit BusyCells(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mLoadRandom(aSeed)
  {
    mWorkers.mHasRealClock = true;
    UseRealHostChoice();
    for (const auto* cell : { "a/0", "b/0", "c/0", "d/0" }) {
      Do([&] {
        for (auto i = 0; i < 4; ++i) {
          MakeWorker(cell);
        }
        StartHolder(cell);
        mCells[cell] = mNewest[cell];
      });
      BOOST_REQUIRE(
        Until([&] { return mCells.at(cell)->Phase() == HolderPhase::Active; }));
    }
    mPool.Spawn(mPool.Executor(0), Sample());
  }

  ~BusyCells()
  {
    Do([&] {
      mIsOver = true;
      for (const auto& it : mHolders) {
        it->End();
      }
    });
    StopPool();
  }

  auto Random(std::int64_t aMin, std::int64_t aMax) -> std::int64_t
  {
    return std::uniform_int_distribution<std::int64_t>(aMin, aMax)(mRandom);
  }

  auto RandomLoad(std::int64_t aMin, std::int64_t aMax) -> std::int64_t
  {
    return std::uniform_int_distribution<std::int64_t>(aMin, aMax)(mLoadRandom);
  }

  template<typename T>
  auto Pick(const T& aItems) -> typename T::value_type
  {
    return *std::next(aItems.begin(),
                      Random(0, static_cast<std::int64_t>(aItems.size()) - 1));
  }

  auto After(std::int64_t aMs, std::function<void()> aFunction) -> void
  {
    mDue.emplace(base::MonotonicClock::now() + Milliseconds(aMs),
                 std::move(aFunction));
  }

  auto Note(const std::string& aText) -> void
  {
    const auto at = std::chrono::duration_cast<Milliseconds>(
      base::MonotonicClock::now() - mBegin);
    mEvents.push_back(std::to_string(at.count()) + " ms: " + aText);
  }

  auto MakeWorker(const std::string& aCell) -> std::string
  {
    auto id = "w" + std::to_string(++mWorkerCount);
    mCellOf[id] = aCell;
    mWorkers.mPorts[id] = static_cast<std::uint16_t>(mWorkerCount);
    mWorkers.mCapacities[id] = { kWorkerCpuMillis, 64000, 0 };
    return id;
  }

  auto StartHolder(const std::string& aCell) -> void
  {
    std::vector<std::string> workers;
    for (const auto& [id, cell] : mCellOf) {
      if (cell == aCell) {
        workers.push_back(id);
      }
    }
    mNewest[aCell] = MakeHolder(++mTerms[aCell], aCell, workers);
    mHolders.push_back(mNewest[aCell]);
  }

  /** Tells the holders of a worker's cell what the platform lists. */
  auto ListWorker(const cell::WorkerRecord& aRecord) -> void
  {
    const auto& cell = mCellOf.at(aRecord.mId);
    mNewest.at(cell)->UpdateWorker(aRecord);
    if (mCells.at(cell) != mNewest.at(cell)) {
      mCells.at(cell)->UpdateWorker(aRecord);
    }
  }

  auto CpuOf(const std::string& aTask) const -> std::int64_t
  {
    return mWorkers.NeedOf(aTask).mCpuMillis;
  }

  auto MakeJob(const std::string& aId, std::uint32_t aCount, std::int64_t aCpu)
    -> JobCommand
  {
    auto out = MakeSubmission(aId);
    auto& step = out.mJob.mSpec.mSteps[0];
    step.mCount = aCount;
    step.mNeed = { aCpu, 100, 0 };
    out.mJob.mQueue.mMaxAttempts = 100;
    mWorkers.mNeeds[aId] = step.mNeed;
    return out;
  }

  /** Adds eight long-running jobs; their tasks are checked from now on. */
  auto AddLongRunningJobs() -> void
  {
    constexpr std::int64_t kMeanCpu = 16 * kWorkerCpuMillis * 45 / 100 / 24;
    for (auto i = 0; i < 8; ++i) {
      const auto id = "000000000000010" + std::to_string(i);
      const auto count = 2 + i % 3;
      // Two jobs have tasks of more than half of a worker.
      const auto cpu = i % 4 == 0 ? 9000 : kMeanCpu - 1000 + i % 3 * 500;
      JobCommand command;
      std::shared_ptr<CellHolder> holder;
      Do([&] {
        command = MakeJob(id, static_cast<std::uint32_t>(count), cpu);
        command.mJob.mSpec.mSteps[0].mIsLongRunning = true;
        holder = std::next(mCells.begin(), i % 4)->second;
      });
      BOOST_REQUIRE(
        (Wait(holder->Execute(command)).mOutcome == JobOutcome::Done));
      Do([&] {
        for (auto index = 0; index < count; ++index) {
          mTasks.push_back(id + ".0.0." + std::to_string(index));
        }
      });
    }
  }

  auto Sample() -> net::Task<void>
  {
    while (!mIsOver) {
      const auto now = base::MonotonicClock::now();
      while (!mDue.empty() && mDue.begin()->first <= now) {
        const auto function = std::move(mDue.begin()->second);
        mDue.erase(mDue.begin());
        function();
      }
      for (const auto& [name, it] : mNewest) {
        it->ConfirmClaim(base::BootNow());
      }
      EndRuns();
      SubmitShortJobs();
      CheckTasks(now);
      co_await net::Sleep(Milliseconds(50));
    }
  }

  auto EndLater(const std::string& aTask, cell::EndKind aKind, std::int64_t aMs)
    -> void
  {
    const auto attempt = mWorkers.mRunning.at(aTask).mAttempt;
    if (mEndingAttempts[aTask] == attempt) {
      return;
    }
    mEndingAttempts[aTask] = attempt;
    After(aMs, [this, aTask, aKind, attempt] {
      const auto it = mWorkers.mRunning.find(aTask);
      if (it != mWorkers.mRunning.end() && it->second.mAttempt == attempt) {
        mWorkers.End(aTask, aKind);
      }
    });
  }

  auto EndRuns() -> void
  {
    for (; mHandledStops < mWorkers.mStops.size(); ++mHandledStops) {
      const auto& stop = mWorkers.mStops[mHandledStops];
      const auto it = mWorkers.mRunning.find(stop.mTask);
      if (it != mWorkers.mRunning.end() &&
          it->second.mAttempt == stop.mAttempt &&
          mWorkers.mWorkerOf.at(stop.mTask) == stop.mWorker) {
        EndLater(stop.mTask, cell::EndKind::Stopped, RandomLoad(50, 300));
      }
    }
    for (const auto& [task, row] : mWorkers.mRunning) {
      if (task.starts_with('f')) {
        EndLater(task, cell::EndKind::Done, RandomLoad(300, 900));
      }
    }
  }

  auto SubmitShortJobs() -> void
  {
    auto submit = [](std::shared_ptr<CellHolder> aHolder,
                     JobCommand aCommand) -> net::Task<void> {
      co_await aHolder->Execute(std::move(aCommand));
    };
    for (const auto& [name, holder] : mCells) {
      const auto& ready = holder->State().mReady;
      const auto waiting =
        std::count_if(ready.begin(), ready.end(), [](const auto* aTask) {
          return !cell::IsLongRunning(aTask->mJob->mStored.mSpec);
        });
      ++mSampledCells;
      mCellsWithWaiting += waiting > 0 ? 1 : 0;
      if (holder->Phase() != HolderPhase::Active ||
          static_cast<std::size_t>(waiting) >= kWaitingShortTasks) {
        continue;
      }
      std::array<char, 32> id{};
      std::snprintf(id.data(),
                    id.size(),
                    "f%015llx",
                    static_cast<unsigned long long>(++mShortJobs));
      mPool.Spawn(mPool.Executor(0),
                  submit(holder,
                         MakeJob(id.data(),
                                 static_cast<std::uint32_t>(RandomLoad(2, 4)),
                                 RandomLoad(4, 8) * 500)));
    }
  }

  /** Whether a worker has room for a long-running task, as short tasks yield.
   */
  auto HasRoom(const std::string& aWorker, const std::string& aTask) const
    -> bool
  {
    if (mWorkers.mDraining.contains(aWorker)) {
      return false;
    }
    auto left = mWorkers.mCapacities.at(aWorker).mCpuMillis;
    for (const auto& [task, row] : mWorkers.mRunning) {
      if (!task.starts_with('f') && mWorkers.mWorkerOf.at(task) == aWorker) {
        left -= CpuOf(task);
      }
    }
    return left >= CpuOf(aTask);
  }

  auto CheckTasks(MonotonicTime aNow) -> void
  {
    for (const auto& task : mTasks) {
      if (const auto it = mWorkers.mRunning.find(task);
          it != mWorkers.mRunning.end()) {
        mAbsenceCount += mAbsences.erase(task);
        const auto cell = mCellOf.find(mWorkers.mWorkerOf.at(task));
        const auto job = static_cast<std::size_t>(task[15] - '0');
        if (cell != mCellOf.end() &&
            cell->second != std::next(mCells.begin(), job % 4)->first) {
          mHostedRuns.emplace(task, it->second.mAttempt);
        }
        continue;
      }
      auto& absence =
        mAbsences.try_emplace(task, Absence{ aNow, {} }).first->second;
      std::erase_if(absence.mRoomSince, [&](const auto& aItem) {
        return !mCellOf.contains(aItem.first) || !HasRoom(aItem.first, task);
      });
      for (const auto& [worker, cell] : mCellOf) {
        if (!HasRoom(worker, task)) {
          continue;
        }
        const auto since =
          absence.mRoomSince.try_emplace(worker, aNow).first->second;
        const auto lasted =
          std::chrono::duration_cast<Milliseconds>(aNow - since);
        mLongestAbsence = std::max(mLongestAbsence, lasted);
        if (lasted > kRestartLimit && mReported.insert(task).second) {
          mFaultsFound.push_back(Describe(task, worker, aNow));
        }
      }
    }
  }

  /** A task without a run, what the holders know of it, and the last events. */
  auto Describe(const std::string& aTask,
                const std::string& aWorker,
                MonotonicTime aNow) -> std::string
  {
    std::ostringstream out;
    out << "\ntask " << aTask << " of " << CpuOf(aTask)
        << " CPU millis has no run; " << aWorker << " of "
        << mCellOf.at(aWorker) << " has room";
    for (const auto& holder : mHolders) {
      auto& state = const_cast<cell::CellState&>(holder->State());
      const auto* task = cell::FindTask(state, aTask);
      const auto isNewest = mNewest.at(holder->Name()) == holder;
      if (!isNewest && (!task || holder->Phase() == HolderPhase::Ended)) {
        continue;
      }
      out << "\n  " << holder->Name() << " term " << holder->Row().mTerm
          << " phase " << static_cast<int>(holder->Phase()) << ": ";
      if (!task) {
        out << "unknown";
        continue;
      }
      out << "task phase " << static_cast<int>(task->mPhase) << ", ready for "
          << std::chrono::duration_cast<Milliseconds>(aNow - task->mReadyAt)
               .count()
          << " ms, may be running " << task->mMayBeRunning << ", host '"
          << task->mHostCell << "', returning " << task->mIsReturning
          << ", hosted " << cell::IsHostedJob(*task->mJob) << ", migrating "
          << task->mJob->mIsMigrating << ", dirty " << task->mJob->mIsDirty;
      for (const auto& it : cell::FindWaiting(state, aNow, Milliseconds(0))) {
        if (it.mTask == task) {
          out << ", waits: "
              << base::NameOf(cell::kWaitReasonNames, it.mReason);
        }
      }
      for (const auto& it : state.mUnreconciledWorkers) {
        out << ", unsettled " << it;
      }
    }
    DescribeWorker(out, aWorker, aNow);
    const auto n = std::min<std::size_t>(mEvents.size(), 16);
    for (auto i = mEvents.size() - n; i < mEvents.size(); ++i) {
      out << "\n  " << mEvents[i];
    }
    return out.str();
  }

  auto DescribeWorker(std::ostream& aOut,
                      const std::string& aWorker,
                      MonotonicTime aNow) -> void
  {
    const auto& holder = *mNewest.at(mCellOf.at(aWorker));
    const auto found = holder.State().mWorkers.find(aWorker);
    if (found == holder.State().mWorkers.end()) {
      aOut << "\n  the cell does not know " << aWorker;
      return;
    }
    const auto& it = *found->second;
    aOut << "\n  " << aWorker << ": known " << it.mIsKnown << ", listed "
         << it.mIsListed << ", used " << it.mUsed.mCpuMillis << " of "
         << it.mRecord.mCapacity.mCpuMillis << " (lowest "
         << it.mLowestCapacity.mCpuMillis << "), unknown runs "
         << it.mRunsOfUnknownNeed << ", suspect " << (it.mSuspectUntil > aNow)
         << ", probation " << (it.mProbationUntil > aNow) << ", restarted "
         << it.mMayHaveRestartedSince.has_value() << ", reservations "
         << it.mReservations.size();
    for (const auto& [name, reservation] : it.mReservations) {
      aOut << " [" << name << " " << reservation.mNeed.mCpuMillis << "]";
    }
  }
};

} // namespace eelgrasspost::dispatch::testing
