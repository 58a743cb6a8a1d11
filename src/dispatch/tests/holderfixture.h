#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspost/net/codec.h"
#include "fakestore.h"
#include "internal/cellholder.h"
#include "poolfixture.h"

namespace eelgrasspost::dispatch::testing {

/** An end that a worker lists until it is acknowledged. */
struct FakeEnd
{
  std::string mWorker;
  cell::EndRow mRow;
};

/** Workers that execute all orders; the test ends their runs. */
class FakeWorkers final : public IWorkerOrders
{
public:
  std::vector<cell::Order> mStarts;
  std::vector<cell::Order> mStops;
  std::map<std::string, std::string> mWorkerOf;
  std::map<std::string, cell::RunningRow> mRunning;
  /** Each worker numbers its ends itself. */
  std::vector<FakeEnd> mEnds;
  /** Highest number that was acknowledged to a worker. */
  std::uint64_t mAcknowledged = 0;
  /** Starts of tasks that were running on another worker. */
  std::size_t mOverlaps = 0;
  /** By worker and task: the highest attempt that was stopped or has ended
   * there; the worker refuses to start it and earlier ones. */
  std::map<std::string, std::map<std::string, std::uint64_t>> mSettledAttempts;
  /** Highest fencing token that each worker has seen. */
  std::map<std::string, std::uint64_t> mTokens;
  /** Start times of the workers' incarnations; 1 where none is given. */
  std::map<std::string, std::int64_t> mIncarnations;
  std::int64_t mClockMs = 100000;
  std::map<std::string, std::int64_t> mStartedAtMs;
  /** Orders get no reply and are kept. */
  bool mHoldsOrders = false;
  /** The same for some workers only. */
  std::set<std::string> mHoldingWorkers;
  std::vector<std::pair<WorkerCall, cell::Order>> mHeldOrders;
  /** Workers that execute renewals but whose replies are lost. */
  std::set<std::string> mLosesReplies;
  /** Number of the next renewals that are executed late, without a reply. */
  std::size_t mLateRenewals = 0;
  /** Workers that do not reply to renewals. */
  std::set<std::string> mUnresponsive;
  /** Ports of workers; another worker replies at each other port. */
  std::map<std::string, std::uint16_t> mPorts;
  /** Renewals wait for an end, as those of the platform's workers do. */
  bool mWaitsForEnds = false;
  /** Ends per reply. */
  std::size_t mMaxListedEnds = 500;
  /** Tasks that crash each worker that starts them. */
  std::set<std::string> mDeadlyTasks;
  /** Listed capacity of workers; starts on others are not checked. */
  std::map<std::string, cell::Resources> mCapacities;
  /** Capacity that may still be used shortly after it was reduced. */
  std::map<std::string, cell::Resources> mFormerCapacities;
  /** Workers that are listed as draining. */
  std::set<std::string> mDraining;
  /** What one task needs, by the id of its job. */
  std::map<std::string, cell::Resources> mNeeds;
  /** Starts that exceeded the capacity of their worker, described. */
  std::vector<std::string> mExcessiveStarts;
  /** By worker: calls with lower tokens are lost. */
  std::map<std::string, std::uint64_t> mLowestHeardTokens;
  /** The workers' clocks show the time; otherwise each call advances them. */
  bool mHasRealClock = false;

  auto End(const std::string& aTask, cell::EndKind aKind) -> void
  {
    const auto attempt = mRunning.at(aTask).mAttempt;
    const auto& worker = mWorkerOf.at(aTask);
    auto& settled = mSettledAttempts[worker][aTask];
    settled = std::max(settled, attempt);
    mRunning.erase(aTask);
    mEnds.push_back(
      { worker, { ++mLastEnds[worker], aTask, attempt, aKind, "" } });
  }

  auto Send(WorkerCall aCall, const cell::Order& aOrder, std::int64_t)
    -> net::Task<OrderReply> override
  {
    if (!Hears(aCall)) {
      co_await net::Sleep(Milliseconds(100));
      co_return OrderReply{ cell::OrderOutcome::Unknown };
    }
    if (mHoldsOrders || mHoldingWorkers.contains(aCall.mWorker)) {
      mHeldOrders.emplace_back(aCall, aOrder);
      co_return OrderReply{ cell::OrderOutcome::Unknown };
    }
    co_return Execute(aCall, aOrder);
  }

  /** Executes the held orders, which were not answered. */
  auto ExecuteHeldOrders() -> void
  {
    mHoldsOrders = false;
    for (const auto& [call, order] : mHeldOrders) {
      Execute(call, order);
    }
    mHeldOrders.clear();
  }

  /** Executes the held orders to one worker. */
  auto ExecuteHeldOrders(const std::string& aWorker) -> void
  {
    mHoldingWorkers.erase(aWorker);
    for (const auto& [call, order] : mHeldOrders) {
      if (call.mWorker == aWorker) {
        Execute(call, order);
      }
    }
    std::erase_if(mHeldOrders, [&](const auto& aItem) {
      return aItem.first.mWorker == aWorker;
    });
  }

  auto Execute(const WorkerCall& aCall, const cell::Order& aOrder) -> OrderReply
  {
    if (!AcceptToken(aCall)) {
      return OrderReply{ cell::OrderOutcome::Superseded,
                         ClockOf(aCall.mWorker) };
    }
    auto& settled = mSettledAttempts[aCall.mWorker][aOrder.mTask];
    if (aOrder.mKind == cell::OrderKind::Start && aOrder.mAttempt <= settled) {
      return OrderReply{ cell::OrderOutcome::Refused, ClockOf(aCall.mWorker) };
    }
    if (aOrder.mKind == cell::OrderKind::Stop) {
      settled = std::max(settled, aOrder.mAttempt);
    }
    if (aOrder.mKind == cell::OrderKind::Start) {
      mStarts.push_back(aOrder);
      CheckCapacity(aCall, aOrder);
      mOverlaps += mRunning.contains(aOrder.mTask) &&
                       mWorkerOf.at(aOrder.mTask) != aCall.mWorker
                     ? 1
                     : 0;
      mWorkerOf[aOrder.mTask] = aCall.mWorker;
      mRunning[aOrder.mTask] = { aOrder.mTask, aOrder.mAttempt, "", 1, 0 };
      if (mDeadlyTasks.contains(aOrder.mTask)) {
        Restart(aCall.mWorker);
      }
    }
    if (aOrder.mKind == cell::OrderKind::Stop) {
      mStops.push_back(aOrder);
    }
    ++mClockMs;
    return OrderReply{ cell::OrderOutcome::Done, ClockOf(aCall.mWorker) };
  }

  auto Renew(WorkerCall aCall, LeaseRenewal aRenewal)
    -> net::Task<LeaseRenewalReply> override
  {
    co_await net::Sleep(Milliseconds(5));
    LeaseRenewalReply out;
    if (mWaitsForEnds && !mUnresponsive.contains(aCall.mWorker) &&
        !HasEnds(aCall.mWorker)) {
      co_await net::Sleep(Milliseconds(aRenewal.mWaitMs));
    }
    if (mUnresponsive.contains(aCall.mWorker) || !Hears(aCall)) {
      co_return out;
    }
    if (mPorts.contains(aCall.mWorker) &&
        mPorts.at(aCall.mWorker) != aCall.mAddress.mPort) {
      out.mOutcome = cell::OrderOutcome::OtherIncarnation;
      co_return out;
    }
    const auto isLate = mLateRenewals > 0;
    if (isLate) {
      --mLateRenewals;
      co_await net::Sleep(Milliseconds(400));
    }
    if (!AcceptToken(aCall)) {
      out.mOutcome = cell::OrderOutcome::Superseded;
      co_return out;
    }
    mAcknowledged = std::max(mAcknowledged, aRenewal.mStoredEnds);
    std::erase_if(mEnds, [&](const FakeEnd& aEnd) {
      return aEnd.mWorker == aCall.mWorker &&
             aEnd.mRow.mNumber <= aRenewal.mStoredEnds;
    });
    if (isLate || mLosesReplies.contains(aCall.mWorker)) {
      co_return out;
    }
    out.mOutcome = cell::OrderOutcome::Done;
    out.mReport.mIncarnationStartMs = IncarnationOf(aCall.mWorker);
    mClockMs += 10;
    out.mReport.mClockMs = ClockOf(aCall.mWorker);
    for (auto& [name, it] : mRunning) {
      if (mWorkerOf.at(name) == aCall.mWorker) {
        it.mPercent += 1;
        out.mReport.mRunning.push_back(it);
      }
    }
    for (const auto& it : mEnds) {
      if (it.mWorker == aCall.mWorker &&
          out.mReport.mEnds.size() < mMaxListedEnds) {
        out.mReport.mEnds.push_back(it.mRow);
      }
    }
    out.mReport.mMayHaveMoreEnds = out.mReport.mEnds.size() >= mMaxListedEnds;
    co_return out;
  }

  /** Ends a worker's incarnation and its runs and starts the next one. */
  auto Restart(const std::string& aWorker) -> void
  {
    mIncarnations[aWorker] = IncarnationOf(aWorker) + 1;
    mTokens.erase(aWorker);
    mSettledAttempts.erase(aWorker);
    mStartedAtMs[aWorker] = mClockMs;
    mLastEnds.erase(aWorker);
    mAcknowledged = 0;
    std::erase_if(mEnds,
                  [&](const FakeEnd& aEnd) { return aEnd.mWorker == aWorker; });
    std::erase_if(mRunning, [&](const auto& aItem) {
      return mWorkerOf.at(aItem.first) == aWorker;
    });
  }

  /** A worker's clock, which starts anew with each incarnation. */
  auto ClockOf(const std::string& aWorker) const -> std::int64_t
  {
    if (mHasRealClock) {
      return std::chrono::duration_cast<Milliseconds>(
               base::MonotonicClock::now().time_since_epoch())
        .count();
    }
    const auto it = mStartedAtMs.find(aWorker);
    return it == mStartedAtMs.end() ? mClockMs : mClockMs - it->second + 1;
  }

  auto HasEnds(const std::string& aWorker) const -> bool
  {
    return std::any_of(mEnds.begin(), mEnds.end(), [&](const FakeEnd& aEnd) {
      return aEnd.mWorker == aWorker;
    });
  }

  auto NeedOf(const std::string& aTask) const -> cell::Resources
  {
    const auto it = mNeeds.find(aTask.substr(0, aTask.find('.')));
    return it == mNeeds.end() ? cell::Resources{} : it->second;
  }

  auto CountStarts(const std::string& aTask) const -> std::size_t
  {
    return static_cast<std::size_t>(
      std::count_if(mStarts.begin(), mStarts.end(), [&](const auto& aOrder) {
        return aOrder.mTask == aTask;
      }));
  }

  auto IncarnationOf(const std::string& aWorker) const -> std::int64_t
  {
    const auto it = mIncarnations.find(aWorker);
    return it == mIncarnations.end() ? 1 : it->second;
  }

private:
  auto AcceptToken(const WorkerCall& aCall) -> bool
  {
    auto& token = mTokens[aCall.mWorker];
    if (aCall.mToken < token) {
      return false;
    }
    token = aCall.mToken;
    return true;
  }

  auto Hears(const WorkerCall& aCall) const -> bool
  {
    const auto it = mLowestHeardTokens.find(aCall.mWorker);
    return it == mLowestHeardTokens.end() || aCall.mToken >= it->second;
  }

  auto CheckCapacity(const WorkerCall& aCall, const cell::Order& aOrder) -> void
  {
    const auto& worker = aCall.mWorker;
    const auto listed = mCapacities.find(worker);
    if (listed == mCapacities.end()) {
      return;
    }
    const auto former = mFormerCapacities.find(worker);
    const auto& capacity =
      former == mFormerCapacities.end() ? listed->second : former->second;
    auto cpu = NeedOf(aOrder.mTask).mCpuMillis;
    auto memory = NeedOf(aOrder.mTask).mMemoryMb;
    std::string runs;
    for (const auto& [name, it] : mRunning) {
      if (name != aOrder.mTask && mWorkerOf.at(name) == worker) {
        cpu += NeedOf(name).mCpuMillis;
        memory += NeedOf(name).mMemoryMb;
        runs += " " + name + "/" + std::to_string(it.mAttempt);
      }
    }
    if (cpu > capacity.mCpuMillis || memory > capacity.mMemoryMb) {
      mExcessiveStarts.push_back(
        aOrder.mTask + "/" + std::to_string(aOrder.mAttempt) + " on " + worker +
        ": " + std::to_string(cpu) + " of " +
        std::to_string(capacity.mCpuMillis) + " CPU millis, beside" + runs);
    }
  }

  std::map<std::string, std::uint64_t> mLastEnds;
};

struct HolderFixture : PoolFixture
{
  DispatchSettings mSettings;
  FakeStore mStore;
  FakeWorkers mWorkers;
  base::Metrics mMetrics;
  base::EventLog mLog{ "test" };

  ~HolderFixture() { StopPool(); }

  /** Holders by cell name, for commands between cells. */
  std::map<std::string, std::shared_ptr<CellHolder>> mCells;
  /** The cells that report capacity for long-running tasks, the one with the
   * most first. */
  std::vector<std::string> mHostCells;
  /** Finds a cell for a long-running task of the given cell; replaceable. */
  std::function<std::optional<std::string>(const std::string&,
                                           const HostQuery&)>
    mFindHost = [this](const std::string&, const HostQuery& aQuery) {
      for (const auto& it : mHostCells) {
        if (!aQuery.mExcluded.contains(it)) {
          return std::optional(it);
        }
      }
      return std::optional<std::string>();
    };
  /** Finds a cell for a job of the given cell that has not started. */
  std::function<std::optional<std::string>(const std::string&,
                                           const cell::MigratableJob&)>
    mFindEmptier = [](const std::string&, const cell::MigratableJob&) {
      return std::optional<std::string>();
    };
  /** Finds a cell with capacity for a waiting job of the given cell. */
  std::function<std::optional<std::string>(const std::string&,
                                           const cell::MigratableJob&)>
    mFindCapacity = [](const std::string&, const cell::MigratableJob&) {
      return std::optional<std::string>();
    };
  /** Executes a command of a holder; replaceable. */
  std::function<net::Task<JobReply>(JobCommand)> mExecute =
    [this](JobCommand aCommand) { return ExecuteInCell(std::move(aCommand)); };
  /** Time for which the VM of the holders was suspended. */
  Milliseconds mSuspended{ 0 };

  /** Executes a command at the holder that mCells names. */
  auto ExecuteInCell(JobCommand aCommand) -> net::Task<JobReply>
  {
    const auto it = mCells.find(aCommand.mCell);
    if (it == mCells.end()) {
      co_return JobReply{ JobOutcome::CellNotHeld };
    }
    co_return co_await it->second->Execute(std::move(aCommand));
  }

  /** Chooses host cells as the entry does. */
  auto UseRealHostChoice() -> void
  {
    mFindHost = [this](const std::string& aFrom, const HostQuery& aQuery) {
      std::vector<CellStatus> cells;
      for (const auto& [name, it] : mCells) {
        if (it->Phase() != HolderPhase::Ended) {
          cells.push_back(it->GetStatus());
        }
      }
      return ChooseHostCell(cells, aFrom, aQuery);
    };
  }

  auto MakeHolder(std::uint64_t aTerm,
                  const std::string& aCell = "a/0",
                  const std::vector<std::string>& aWorkers = { "w1" })
    -> std::shared_ptr<CellHolder>
  {
    HolderContext context{
      mSettings,
      mStore,
      mWorkers,
      mMetrics,
      mLog,
      mPool.Executor(0),
      1,
      2,
      [](const cell::MigratableJob&) { return std::optional<std::string>(); },
      [this, aCell](const cell::MigratableJob& aJob) {
        return mFindEmptier(aCell, aJob);
      },
      [this](JobCommand aCommand) { return mExecute(std::move(aCommand)); },
      [this, aCell](const HostQuery& aQuery) {
        return mFindHost(aCell, aQuery);
      },
      [] { return std::vector<std::string>(); },
      [this] { return base::BootNow() + mSuspended; }
    };
    context.mFindCellWithCapacity = [this,
                                     aCell](const cell::MigratableJob& aJob) {
      return mFindCapacity(aCell, aJob);
    };
    CellRow row;
    row.mName = aCell;
    row.mDomain = "a";
    row.mTerm = aTerm;
    auto out = std::make_shared<CellHolder>(context, row, aTerm * 1000);
    std::vector<cell::WorkerRecord> workers;
    workers.reserve(aWorkers.size());
    for (const auto& it : aWorkers) {
      workers.push_back(MakeRecord(it));
    }
    mPool.Spawn(mPool.Executor(0), out->Run(std::move(workers), true));
    return out;
  }

  /** A worker as the platform lists it. */
  auto MakeRecord(const std::string& aId) -> cell::WorkerRecord
  {
    cell::WorkerRecord out;
    out.mId = aId;
    out.mIncarnationStartMs = mWorkers.IncarnationOf(aId);
    out.mService = "service";
    if (const auto it = mWorkers.mPorts.find(aId);
        it != mWorkers.mPorts.end()) {
      out.mAddress.mPort = it->second;
    }
    if (mWorkers.mDraining.contains(aId)) {
      out.mState = cell::WorkerState::Draining;
    }
    out.mCapacity = { 16000, 64000, 0 };
    if (const auto it = mWorkers.mCapacities.find(aId);
        it != mWorkers.mCapacities.end()) {
      out.mCapacity = it->second;
    }
    return out;
  }

  /** Executes a function on the pool's thread. */
  auto Do(std::function<void()> aFunction) -> void
  {
    Until([&] {
      aFunction();
      return true;
    });
  }

  static auto MakeSubmission(const std::string& aId) -> JobCommand
  {
    JobCommand out;
    out.mCell = "a/0";
    out.mJobId = aId;
    out.mTimeoutMs = 3000;
    out.mJob.mSpec.mId = aId;
    cell::StepSpec step;
    step.mCount = 1;
    step.mNeed = { 1000, 1000, 0 };
    out.mJob.mSpec.mSteps = { step };
    out.mJob.mQueue.mName = "queue";
    out.mJob.mQueue.mService = "service";
    out.mJob.mQueue.mMaxAttempts = 3;
    return out;
  }

  auto IdState(const std::string& aId) -> std::optional<cell::JobState>
  {
    for (const auto& [key, it] : mStore.mRows) {
      if (it.mTable == kIdTable && it.mKey == aId) {
        return net::Decode<JobIdRow>(it.mValue)->mState;
      }
    }
    return std::nullopt;
  }

  auto CountRows(std::string_view aTable) -> std::size_t
  {
    std::size_t out = 0;
    for (const auto& [key, it] : mStore.mRows) {
      out += it.mTable == aTable ? 1 : 0;
    }
    return out;
  }
};

} // namespace eelgrasspost::dispatch::testing
