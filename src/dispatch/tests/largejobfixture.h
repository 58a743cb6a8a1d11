#pragma once

#include <set>

#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/text.h"
#include "holderfixture.h"

namespace eelgrasspost::dispatch::testing {

/** A cell with one worker and a job of many tasks. */
struct LargeJobFixture : HolderFixture
{
  const std::string mId = "00000000000000a1";
  std::uint64_t mTerm = 1;
  std::shared_ptr<CellHolder> mHolder;
  std::set<std::string> mDone;
  /** Tasks that were started although they are done. */
  std::vector<std::string> mStartedAgain;
  std::size_t mCheckedStarts = 0;

  LargeJobFixture()
  {
    mWorkers.mWaitsForEnds = true;
    mHolder = MakeHolder(mTerm);
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 1; }));
  }

  ~LargeJobFixture()
  {
    Do([&] { mHolder->End(); });
    StopPool();
  }

  auto MakeLargeJob(const std::vector<std::uint32_t>& aCounts) -> JobCommand
  {
    auto out = MakeSubmission(mId);
    auto& steps = out.mJob.mSpec.mSteps;
    steps[0].mNeed = { 1, 1, 0 };
    steps[0].mCheckpoints = true;
    steps.resize(aCounts.size(), steps[0]);
    for (std::uint32_t i = 0; i < aCounts.size(); ++i) {
      steps[i].mCount = aCounts[i];
      if (i > 0) {
        steps[i].mAfter = { i - 1 };
      }
    }
    return out;
  }

  auto Submit(const JobCommand& aSubmission) -> void
  {
    BOOST_REQUIRE(
      (Wait(mHolder->Execute(aSubmission)).mOutcome == JobOutcome::Done));
  }

  auto WaitForRuns(std::size_t aCount) -> void
  {
    BOOST_REQUIRE(Until([&] { return mWorkers.mRunning.size() >= aCount; }));
  }

  /** Ends running tasks; on the pool's thread. */
  auto EndRuns(std::size_t aCount,
               cell::EndKind aKind,
               const std::string& aCheckpoint = "") -> void
  {
    std::vector<std::string> tasks;
    for (const auto& [name, it] : mWorkers.mRunning) {
      if (tasks.size() < aCount) {
        tasks.push_back(name);
      }
    }
    CheckStarts();
    for (const auto& it : tasks) {
      mWorkers.End(it, aKind);
      mWorkers.mEnds.back().mRow.mCheckpoint = aCheckpoint;
      if (aKind == cell::EndKind::Done) {
        mDone.insert(it);
      }
    }
  }

  /** Looks for starts of tasks that were done before. */
  auto CheckStarts() -> void
  {
    for (; mCheckedStarts < mWorkers.mStarts.size(); ++mCheckedStarts) {
      const auto& task = mWorkers.mStarts[mCheckedStarts].mTask;
      if (mDone.contains(task)) {
        mStartedAgain.push_back(task);
      }
    }
  }

  auto TakeOver() -> void
  {
    Do([&] { mHolder->End(); });
    mHolder = MakeHolder(++mTerm);
    BOOST_REQUIRE(
      Until([&] { return mHolder->Phase() == HolderPhase::Active; }));
  }

  /** A worker lists 500 ends at a time. */
  auto AreEndsAcknowledged() -> bool
  {
    constexpr auto kPeriods = 4;
    for (auto i = 0; i < kPeriods; ++i) {
      if (Until([&] { return mWorkers.mEnds.empty(); })) {
        return true;
      }
    }
    return false;
  }

  auto CountDoneTasks() -> std::size_t
  {
    std::size_t out = 0;
    Do([&] {
      const auto it = mHolder->State().mJobs.find(mId);
      if (it == mHolder->State().mJobs.end()) {
        return;
      }
      for (const auto& [number, occurrence] : it->second->mOccurrences) {
        for (const auto& step : occurrence->mSteps) {
          out += step.mDone;
        }
      }
    });
    return out;
  }

  /** Ends all runs as done until the job is shown as done. */
  auto Finish() -> bool
  {
    for (auto i = 0; i < 4000; ++i) {
      auto isDone = false;
      Do([&] {
        EndRuns(mWorkers.mRunning.size(), cell::EndKind::Done);
        isDone = IdState(mId) == cell::JobState::Done;
      });
      if (isDone) {
        return true;
      }
      Wait(net::Sleep(Milliseconds(5)), true);
    }
    return false;
  }

  /** No row of an ended job is left. */
  auto HasNoRows() -> bool
  {
    return Until([&] {
      return CountRows(kJobTable) == 0 && CountRows(kProgressTable) == 0 &&
             CountRows(kPieceTable) == 0;
    });
  }
};

} // namespace eelgrasspost::dispatch::testing
