#pragma once

#include <string>

#include "eelgrasspost/cell/room.h"

namespace eelgrasspost::cell::testing {

/** A cell with workers that have reported, and a clock that tests advance. */
struct CellFixture
{
  CellState mCell;
  MonotonicTime mNow = MonotonicTime{} + std::chrono::hours(1);
  std::int64_t mClockMs = 1000;

  auto Advance(Milliseconds aTime) -> void
  {
    mNow += aTime;
    mClockMs += aTime.count();
  }

  auto AddWorker(const std::string& aId, std::int64_t aCpu = 16000) -> Worker&
  {
    WorkerRecord record;
    record.mId = aId;
    record.mService = "service";
    record.mCapacity = { aCpu, 64000, 0 };
    auto& worker = UpdateWorker(mCell, record, mNow);
    Report(aId, {}, {});
    return worker;
  }

  auto Report(const std::string& aId,
              std::vector<RunningRow> aRunning,
              std::vector<EndRow> aEnds) -> void
  {
    Advance(Milliseconds(10));
    WorkerReport report;
    report.mIncarnationStartMs = 1;
    report.mClockMs = mClockMs;
    report.mRunning = std::move(aRunning);
    report.mEnds = std::move(aEnds);
    auto& worker = *mCell.mWorkers.at(aId);
    worker.mLeasesExpiredAt = mNow + Milliseconds(6000);
    ApplyReport(mCell, worker, report, mNow, mNow);
  }

  static auto MakeJob(const std::string& aId, StepSpec aStep) -> StoredJob
  {
    StoredJob out;
    out.mSpec.mId = aId;
    out.mSpec.mPayload = "payload";
    out.mSpec.mSteps = { std::move(aStep) };
    out.mQueue.mName = "queue";
    out.mQueue.mService = "service";
    out.mQueue.mMaxAttempts = 3;
    return out;
  }

  static auto MakeStep(std::uint32_t aCount, std::int64_t aCpu = 1000)
    -> StepSpec
  {
    StepSpec out;
    out.mCount = aCount;
    out.mNeed = { aCpu, 1000, 0 };
    return out;
  }

  static auto MakeServing(std::uint32_t aCount,
                          std::int64_t aCpu,
                          std::string aImage) -> StepSpec
  {
    auto out = MakeStep(aCount, aCpu);
    out.mIsLongRunning = true;
    out.mTargetTailMs = 18;
    out.mImage = std::move(aImage);
    return out;
  }

  static auto MakeBestEffort(std::uint32_t aCount,
                             std::int64_t aCpu,
                             std::string aImage) -> StepSpec
  {
    auto out = MakeStep(aCount, aCpu);
    out.mIsBestEffort = true;
    out.mImage = std::move(aImage);
    return out;
  }

  /** Sets the estimate of a best-effort image beside the image "serving". */
  auto SetEstimate(const std::string& aBestEffort, PairEstimate aPair) -> void
  {
    const auto bestEffort = ImageIndex(mCell.mInterference, aBestEffort);
    const auto serving = ImageIndex(mCell.mInterference, "serving");
    mCell.mInterference.mPairs[bestEffort][serving] = aPair;
  }

  auto Add(StoredJob aJob,
           const JobProgress& aProgress = {},
           bool aInherited = false) -> Job&
  {
    return AddJob(mCell, std::move(aJob), aProgress, aInherited, mNow, 0);
  }

  /** Collects the orders and answers each of them with success. */
  auto Start() -> std::vector<Order>
  {
    auto out = CollectOrders(mCell, mNow);
    for (const auto& it : out) {
      ApplyOutcome(mCell, it, OrderOutcome::Done, mNow);
    }
    return out;
  }
};

} // namespace eelgrasspost::cell::testing
