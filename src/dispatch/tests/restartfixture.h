#pragma once

#include <memory>
#include <string>
#include <vector>

#include "holderfixture.h"

namespace eelgrasspost::dispatch::testing {

/** A worker that restarts under its id, and one on which its tasks can run
 * instead. The others make a majority of the cell. Each worker counts its lease
 * on a clock that starts anew with each incarnation. */
struct RestartingWorker : HolderFixture
{
  static constexpr auto kId = "0000000000000001";
  const std::string mTask = std::string(kId) + ".0.0.0";
  const std::vector<std::string> mIds = { "w1", "w2", "w3", "w4", "w5" };
  std::shared_ptr<CellHolder> mHolder;
  std::shared_ptr<CellHolder> mNext;

  RestartingWorker()
  {
    mWorkers.mHasRealClock = true;
    mWorkers.mWaitsForEnds = true;
    mLabels = { { "w1", { "label" } }, { "w2", { "label" } } };
    mWorkers.mDraining = { "w2" };
    mHolder = MakeHolder(1, "a/0", mIds);
    BOOST_REQUIRE(Until([&] { return CountRows(kMemberTable) == 5; }));
    Wait(net::Sleep(Milliseconds(1000)), true);
  }

  ~RestartingWorker()
  {
    Do([&] {
      mHolder->End();
      if (mNext) {
        mNext->End();
      }
    });
    StopPool();
  }

  /** The holder's renewal, which it has just sent, ends without a reply. */
  auto RestartUnnoticed() -> void
  {
    const auto& sentAt = mWorkers.mLeaseSentAt;
    auto last = sentAt;
    Do([&] { last = sentAt; });
    BOOST_REQUIRE(Until([&] { return sentAt != last; }));
    Do([&] { mWorkers.Restart("w1"); });
  }

  auto SubmitLongRunningTask() -> void
  {
    auto submission = MakeSubmission(kId);
    submission.mJob.mSpec.mSteps[0].mIsLongRunning = true;
    submission.mJob.mSpec.mSteps[0].mRequiredLabel = "label";
    Wait(mHolder->Execute(submission));
  }

  /** The worker is up, and no call reaches it any more. */
  auto CutOff() -> void
  {
    mWorkers.mUnresponsive = { "w1" };
    mWorkers.mHoldingWorkers = { "w1" };
  }

  auto RunsOn(const std::string& aWorker) -> bool
  {
    return mWorkers.mRunning.contains(mTask) &&
           mWorkers.mWorkerOf.at(mTask) == aWorker;
  }

  auto AdmitOtherWorker(CellHolder& aHolder) -> void
  {
    Do([&] {
      mWorkers.mDraining.clear();
      aHolder.UpdateWorker(MakeRecord("w2"));
    });
  }

  /** Waits until the task runs on the other worker. */
  auto WaitForRunElsewhere() -> bool
  {
    constexpr auto kAtMost = Milliseconds(12000);
    const auto until = base::MonotonicClock::now() + kAtMost;
    auto runs = false;
    while (!runs && base::MonotonicClock::now() < until) {
      Wait(net::Sleep(Milliseconds(20)), true);
      Do([&] { runs = RunsOn("w2"); });
    }
    return runs;
  }
};

} // namespace eelgrasspost::dispatch::testing
