#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/cellstate.h"
#include "eelgrasspost/cell/room.h"
#include "internal/cellchoice.h"
#include "internal/claiming.h"

namespace eelgrasspost::dispatch::testing {

using base::Milliseconds;
using base::MonotonicTime;

/** The cells of several domains, full of long-running tasks, to which entries
 * send short jobs. All decisions are those of the product; workers, messages
 * and the store are simulated with fixed delays. */
class CellPool
{
public:
  static constexpr auto kStep = Milliseconds(10);
  /** A message, a transaction of the store and its reply. */
  static constexpr auto kCommitTime = Milliseconds(20);
  static constexpr auto kHeartbeat = Milliseconds(300);
  static constexpr auto kTick = Milliseconds(200);
  static constexpr auto kFlush = Milliseconds(80);
  static constexpr auto kWorkerReport = Milliseconds(500);

  struct Load
  {
    std::vector<std::string> mDomains{ "a", "b", "c" };
    std::size_t mWorkersPerDomain = 220;
    /** Processor share of the largest entries. */
    double mCpuShare = 0.5;
    /** Share of the CPU that long-running tasks use. */
    double mLongRunningShare = 0.86;
    double mJobsPerS = 11;
    /** Rise and fall of the arrivals, relative to their mean. */
    double mSwing = 0.55;
    double mSwingPeriodS = 13;
    std::uint64_t mSeed = 1;
  };

  explicit CellPool(Load aLoad)
    : mLoad(std::move(aLoad))
    , mRandom(mLoad.mSeed)
  {
    for (const auto& it : mLoad.mDomains) {
      AddDomain(it);
    }
    for (auto& [name, cell] : mCells) {
      Fill(cell);
      cell.mStatus = MakeStatus(name);
    }
  }

  auto RunFor(Milliseconds aTime) -> void
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      ++mSteps;
      SubmitJobs();
      ExecuteDueMessages();
      for (auto& [name, cell] : mCells) {
        ReportEnds(cell);
        Start(cell);
        StoreProgress(cell);
      }
      Migrate();
      SendHeartbeats();
      CountStranded();
    }
  }

  auto Tasks() const -> std::size_t { return mTasks; }
  /** Tasks that waited for longer than the slack of their job's objective while
   * another cell had a worker with room and no waiting task. */
  auto Stranded() const -> std::size_t { return mStranded.size(); }
  /** Tasks of jobs in time that waited while a task of a late job took room
   * that they fit into. */
  auto Overtaken() const -> std::size_t { return mOvertaken.size(); }
  /** Share of the finished jobs that met their objective. */
  auto InTimeShare() const -> double
  {
    return static_cast<double>(mJobsInTime) /
           static_cast<double>(std::max<std::size_t>(1, mJobsDone));
  }

private:
  struct SimulatedCell
  {
    cell::CellState mState;
    CellStatus mStatus;
    std::map<std::string, std::vector<cell::RunningRow>> mRunning;
    std::map<std::string, std::uint64_t> mEnds;
    std::multimap<MonotonicTime, std::pair<std::string, std::string>> mDueEnds;
  };

  struct SubmittedJob
  {
    MonotonicTime mSentAt{};
    std::vector<Milliseconds> mRunTimes;
    Milliseconds mSlack{ 0 };
    Milliseconds mObjective{ 0 };
  };

  struct Message
  {
    std::string mCell;
    cell::StoredJob mJob;
    /** The cell that the job leaves; empty for a submission. */
    std::string mFrom;
  };

  auto Uniform() -> double
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  auto Around(double aMean, double aSpread, double aMax) -> double
  {
    const auto sigma = std::sqrt(std::log(1 + aSpread * aSpread));
    std::lognormal_distribution<double> spread(
      std::log(aMean) - sigma * sigma / 2, sigma);
    return std::min(aMax, spread(mRandom));
  }

  auto WallMs() const -> std::int64_t
  {
    return std::chrono::duration_cast<Milliseconds>(mNow.time_since_epoch())
      .count();
  }

  auto AddDomain(const std::string& aDomain) -> void
  {
    const auto layout =
      LayoutRow{ aDomain,
                 CellCountFor(mLoad.mWorkersPerDomain, mLoad.mCpuShare) };
    for (std::size_t i = 0; i < mLoad.mWorkersPerDomain; ++i) {
      cell::WorkerRecord record;
      record.mId = base::Cat(aDomain, "-worker-", i);
      record.mService = "service";
      record.mDomain = aDomain;
      record.mCapacity = { i % 3 == 2 ? 24000 : 16000, 64000, 0 };
      const auto name = CellOfWorker(record.mId, layout);
      auto& cell = mCells[name];
      cell.mState.mName = name;
      cell::UpdateWorker(cell.mState, record, mNow);
      Report(cell, record.mId, {});
    }
  }

  auto Report(SimulatedCell& aCell,
              const std::string& aWorker,
              std::vector<cell::EndRow> aEnds) -> void
  {
    cell::WorkerReport report;
    report.mIncarnationStartMs = 1;
    report.mClockMs = WallMs();
    for (auto& it : aCell.mRunning[aWorker]) {
      it.mPercent += 1;
    }
    report.mRunning = aCell.mRunning[aWorker];
    report.mEnds = std::move(aEnds);
    auto& worker = *aCell.mState.mWorkers.at(aWorker);
    worker.mLeasesExpiredAt =
      mNow + Milliseconds(aCell.mState.mPolicy.mLeaseMs);
    cell::ApplyReport(aCell.mState, worker, report, mNow, mNow);
    worker.mStoredEnds = worker.mSeenEnds;
  }

  static auto MakeJob(const std::string& aId) -> cell::StoredJob
  {
    cell::StoredJob out;
    out.mSpec.mId = aId;
    out.mQueue.mName = "queue";
    out.mQueue.mService = "service";
    out.mQueue.mMaxAttempts = 3;
    out.mQueue.mStretch = 1.5;
    out.mQueue.mExtraMs = 250;
    return out;
  }

  /** Starts long-running tasks until they use their share of the CPU. */
  auto Fill(SimulatedCell& aCell) -> void
  {
    std::int64_t capacity = 0;
    for (const auto& [id, it] : aCell.mState.mWorkers) {
      capacity += it->mRecord.mCapacity.mCpuMillis;
    }
    std::int64_t used = 0;
    for (auto i = 0; static_cast<double>(used) <
                     mLoad.mLongRunningShare * static_cast<double>(capacity);
         ++i) {
      auto job = MakeJob(base::Cat(aCell.mState.mName, "-long-", i));
      cell::StepSpec step;
      step.mCount = 1;
      step.mNeed = { static_cast<std::int64_t>(Around(3000, 0.5, 9000)),
                     1000,
                     0 };
      step.mIsLongRunning = true;
      job.mSpec.mSteps = { step };
      used += step.mNeed.mCpuMillis;
      cell::AddJob(aCell.mState, job, {}, false, mNow, WallMs());
      Start(aCell);
      if (!aCell.mState.mReady.empty()) {
        cell::RemoveJob(aCell.mState, job.mSpec.mId);
      }
    }
  }

  auto SubmitJobs() -> void
  {
    const auto at = std::chrono::duration<double>(mNow - mStartedAt).count();
    constexpr double kTwoPi = 6.283185307179586;
    const auto rate =
      mLoad.mJobsPerS *
      (1 + mLoad.mSwing * std::sin(kTwoPi * at / mLoad.mSwingPeriodS));
    if (Uniform() >= rate * std::chrono::duration<double>(kStep).count()) {
      return;
    }
    auto job = MakeJob(base::Cat("job-", mJobs.size()));
    job.mAcceptedMs = WallMs();
    auto& submitted = mJobs[job.mSpec.mId];
    submitted.mSentAt = mNow;
    const auto steps =
      static_cast<std::uint32_t>(1 + (Uniform() < 0.5) + (Uniform() < 0.1));
    const auto width =
      std::max(1U, static_cast<std::uint32_t>(Around(13, 0.8, 80)));
    const auto cpu = static_cast<std::int64_t>(Around(3200, 0.45, 9600));
    Milliseconds chain(0);
    for (std::uint32_t i = 0; i < steps; ++i) {
      const auto time = Around(850, 0.5, 4000);
      submitted.mRunTimes.emplace_back(static_cast<std::int64_t>(time));
      chain += submitted.mRunTimes.back();
      cell::StepSpec step;
      step.mCount = width;
      step.mNeed = { cpu, 2 * cpu, 0 };
      step.mEstimatedMs = static_cast<std::int64_t>(Around(time, 0.9, 20000));
      if (i > 0) {
        step.mAfter = { i - 1 };
      }
      job.mSpec.mSteps.push_back(step);
      mTasks += width;
    }
    submitted.mSlack = chain / 2 + Milliseconds(job.mQueue.mExtraMs);
    submitted.mObjective = chain + submitted.mSlack;
    const auto domain = static_cast<std::size_t>(
      Uniform() * static_cast<double>(mLoad.mDomains.size()));
    Send(job, mLoad.mDomains[domain]);
  }

  auto Statuses() const -> std::vector<CellStatus>
  {
    std::vector<CellStatus> out;
    out.reserve(mCells.size());
    for (const auto& [name, it] : mCells) {
      out.push_back(it.mStatus);
    }
    return out;
  }

  auto MakeStatus(const std::string& aCell) -> CellStatus
  {
    auto out = MakeCellStatus(mCells.at(aCell).mState, mNow);
    out.mIsActive = true;
    return out;
  }

  auto Send(const cell::StoredJob& aJob, const std::string& aDomain) -> void
  {
    for (const auto& it : PlanOffers(Statuses(), aJob.mSpec, aDomain)) {
      if (!it.mMustStartAtOnce ||
          StartableShare(MakeStatus(it.mCell), aJob.mSpec) >= 1) {
        mMessages.emplace(mNow + kCommitTime, Message{ it.mCell, aJob, "" });
        return;
      }
    }
  }

  auto ExecuteDueMessages() -> void
  {
    while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
      const auto message = std::move(mMessages.begin()->second);
      mMessages.erase(mMessages.begin());
      auto& to = mCells.at(message.mCell).mState;
      cell::JobProgress progress;
      if (!message.mFrom.empty()) {
        auto& from = mCells.at(message.mFrom).mState;
        progress =
          cell::ProgressOf(*cell::FindJob(from, message.mJob.mSpec.mId));
        cell::RemoveJob(from, message.mJob.mSpec.mId);
      }
      cell::AddJob(to, message.mJob, progress, false, mNow, WallMs());
    }
  }

  auto ReportEnds(SimulatedCell& aCell) -> void
  {
    std::map<std::string, std::vector<cell::EndRow>> ends;
    while (!aCell.mDueEnds.empty() && aCell.mDueEnds.begin()->first <= mNow) {
      const auto [worker, task] = aCell.mDueEnds.begin()->second;
      aCell.mDueEnds.erase(aCell.mDueEnds.begin());
      auto& running = aCell.mRunning[worker];
      const auto it =
        std::find_if(running.begin(), running.end(), [&](const auto& aRow) {
          return aRow.mTask == task;
        });
      ends[worker].push_back(
        { ++aCell.mEnds[worker], task, it->mAttempt, cell::EndKind::Done, "" });
      running.erase(it);
    }
    for (auto& [worker, rows] : ends) {
      Report(aCell, worker, std::move(rows));
    }
    if (mSteps % (kWorkerReport / kStep) == 0) {
      for (const auto& [id, it] : aCell.mState.mWorkers) {
        Report(aCell, id, {});
      }
    }
  }

  auto Start(SimulatedCell& aCell) -> void
  {
    const auto orders = cell::CollectOrders(aCell.mState, mNow);
    for (const auto& it : orders) {
      if (it.mKind != cell::OrderKind::Start) {
        continue;
      }
      aCell.mRunning[it.mWorker].push_back({ it.mTask, it.mAttempt, "", 1, 0 });
      const auto* task = cell::FindTask(aCell.mState, it.mTask);
      const auto job = mJobs.find(task->mJob->mStored.mSpec.mId);
      if (job != mJobs.end()) {
        aCell.mDueEnds.emplace(mNow + job->second.mRunTimes[task->mStep],
                               std::pair(it.mWorker, it.mTask));
        CountOvertaken(aCell, *task);
      }
      cell::ApplyOutcome(aCell.mState, it, cell::OrderOutcome::Done, mNow);
    }
    aCell.mState.mEvents.clear();
  }

  auto StoreProgress(SimulatedCell& aCell) -> void
  {
    if (mSteps % (kFlush / kStep) != 0) {
      return;
    }
    for (const auto& id : std::set(aCell.mState.mDirty)) {
      auto* job = cell::FindJob(aCell.mState, id);
      job->mIsDirty = false;
      if (cell::IsFinal(job->mState)) {
        const auto& submitted = mJobs.at(id);
        ++mJobsDone;
        mJobsInTime += mNow - submitted.mSentAt <= submitted.mObjective ? 1 : 0;
        cell::RemoveJob(aCell.mState, id);
      }
    }
    aCell.mState.mDirty.clear();
  }

  auto Migrate() -> void
  {
    if (mSteps % (kTick / kStep) != 0) {
      return;
    }
    for (auto& [name, cell] : mCells) {
      std::size_t moves = 0;
      for (const auto& it :
           cell::FindMigratable(cell.mState, mNow, kMigrationDelay)) {
        const auto target = moves < kMigrationsPerTick && IsMigrationDue(it)
                              ? ChooseCellWithCapacity(Statuses(), name, it)
                              : std::nullopt;
        if (target) {
          ++moves;
          auto* job = cell::FindJob(cell.mState, it.mId);
          job->mIsMigrating = true;
          mMessages.emplace(mNow + kCommitTime,
                            Message{ *target, job->mStored, name });
        }
      }
    }
  }

  auto SendHeartbeats() -> void
  {
    const auto period = kHeartbeat / kStep;
    auto phase = mSteps;
    for (auto& [name, cell] : mCells) {
      if (phase++ % period == 0) {
        cell.mStatus = MakeStatus(name);
      }
    }
  }

  auto CountStranded() -> void
  {
    constexpr auto kSampleInterval = Milliseconds(50);
    if (mSteps % (kSampleInterval / kStep) != 0) {
      return;
    }
    std::map<std::string, std::int64_t> largest;
    for (const auto& [name, it] : mCells) {
      if (it.mState.mReady.empty()) {
        largest[name] = cell::RoomOf(it.mState, mNow).mLargestCpuMillis;
      }
    }
    for (const auto& [name, cell] : mCells) {
      for (const auto* it : cell.mState.mReady) {
        const auto& slack = mJobs.at(it->mJob->mStored.mSpec.mId).mSlack;
        const auto hasRoomElsewhere =
          std::any_of(largest.begin(), largest.end(), [&](const auto& aItem) {
            return aItem.second >= cell::SpecOf(*it).mNeed.mCpuMillis;
          });
        if (mNow - it->mReadyAt > slack && hasRoomElsewhere) {
          mStranded.insert(cell::TaskName(*it));
        }
      }
    }
  }

  auto CountOvertaken(const SimulatedCell& aCell, const cell::Task& aStarted)
    -> void
  {
    const auto isLate = [](const cell::Task& aTask) {
      return aTask.mJob->mRank.mLateness != cell::Lateness::InTime;
    };
    if (!isLate(aStarted)) {
      return;
    }
    for (const auto* it : aCell.mState.mReady) {
      const auto fits = cell::SpecOf(*it).mNeed.mCpuMillis <=
                        cell::SpecOf(aStarted).mNeed.mCpuMillis;
      if (fits && !isLate(*it) && !it->mJob->mIsMigrating) {
        mOvertaken.insert(cell::TaskName(*it));
      }
    }
  }

  Load mLoad;
  std::mt19937_64 mRandom;
  MonotonicTime mNow = MonotonicTime{} + std::chrono::hours(1);
  MonotonicTime mStartedAt = mNow;
  std::int64_t mSteps = 0;
  std::map<std::string, SimulatedCell> mCells;
  std::map<std::string, SubmittedJob> mJobs;
  std::multimap<MonotonicTime, Message> mMessages;
  std::size_t mTasks = 0;
  std::size_t mJobsDone = 0;
  std::size_t mJobsInTime = 0;
  std::set<std::string> mStranded;
  std::set<std::string> mOvertaken;
};

/** Plays 40 s of waves of short jobs. */
inline auto PlayWaves(std::uint64_t aSeed) -> CellPool
{
  CellPool::Load load;
  load.mSeed = aSeed;
  CellPool out(load);
  out.RunFor(Milliseconds(40000));
  BOOST_TEST_MESSAGE("tasks " << out.Tasks() << ", stranded " << out.Stranded()
                              << ", overtaken " << out.Overtaken()
                              << ", jobs in time " << out.InTimeShare());
  return out;
}

} // namespace eelgrasspost::dispatch::testing
