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
#include "fakeworkers.h"
#include "internal/cellholder.h"
#include "poolfixture.h"

namespace eelgrasspost::dispatch::testing {

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
  /** Plans moves of waiting jobs of the given cell; set for overflow. */
  std::function<std::vector<OverflowMove>(
    const std::string&,
    const std::vector<OverflowCandidate>&)>
    mPlanOverflow;
  /** Executes a command of a holder; replaceable. */
  std::function<net::Task<JobReply>(JobCommand)> mExecute =
    [this](JobCommand aCommand) { return ExecuteInCell(std::move(aCommand)); };
  /** Labels of workers. */
  std::map<std::string, std::vector<std::string>> mLabels;
  /** Whether the next holders know that the previous process has ended. */
  bool mIsPreviousHolderGone = true;
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
    if (mPlanOverflow) {
      context.mPlanOverflow = [this, aCell](const auto& aCandidates,
                                            std::size_t) {
        return mPlanOverflow(aCell, aCandidates);
      };
    }
    CellRow row;
    row.mName = aCell;
    row.mDomain = "a";
    row.mTerm = aTerm;
    auto out = std::make_shared<CellHolder>(context, row, aTerm * 1000);
    for (const auto& it : aWorkers) {
      out->UpdateWorker(MakeRecord(it));
    }
    mPool.Spawn(mPool.Executor(0), WriteCellRow(row, aTerm * 1000));
    mPool.Spawn(mPool.Executor(0), out->Run(mIsPreviousHolderGone));
    return out;
  }

  /** Writes the row by which a holder has claimed its cell. */
  auto WriteCellRow(CellRow aRow, std::uint64_t aVersion) -> net::Task<void>
  {
    const auto key = "cell/" + aRow.mName;
    mStore.mRows[{ std::string(kControlTable), "", key }] = {
      std::string(kControlTable), "", key, net::Encode(aRow), aVersion
    };
    co_return;
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
    if (const auto it = mLabels.find(aId); it != mLabels.end()) {
      out.mLabels = it->second;
    }
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
