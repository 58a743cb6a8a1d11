#pragma once

#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/text.h"
#include "internal/overflow.h"

namespace eelgrasspost::dispatch::testing {

using admission::RoomKind;

inline constexpr double kCores = 100;

/** Cells without room whose loads are known, and jobs for them. */
struct Overflow
{
  std::vector<CellStatus> mCells;
  MonotonicTime mNow = MonotonicTime{} + std::chrono::hours(1);

  /** aWaitMs: the time that the cell needs for its backlog. */
  static auto MakeCell(const std::string& aName,
                       std::int64_t aWaitMs,
                       double aRate = kCores) -> CellStatus
  {
    CellStatus out;
    out.mName = aName;
    out.mIsActive = true;
    out.mCapacityCpuMillis = static_cast<std::int64_t>(kCores * 1000);
    out.mLoad.mReserved = { kCores, aRate };
    out.mLoad.mLeftover = { kCores, aRate };
    const auto backlog = static_cast<double>(aWaitMs) * aRate;
    out.mLoad.mBacklogs = { { RoomKind::Reserved, 1, 0, backlog, 0 },
                            { RoomKind::Leftover, 1, 0, backlog, 0 } };
    return out;
  }

  auto AddCell(const std::string& aName,
               std::int64_t aWaitMs,
               double aRate = kCores) -> CellStatus&
  {
    mCells.push_back(MakeCell(aName, aWaitMs, aRate));
    return mCells.back();
  }

  static auto MakeDemand(double aCpuMs = 1000) -> admission::JobDemand
  {
    admission::JobDemand out;
    out.mPriority = 1;
    out.mCpuMs = aCpuMs;
    return out;
  }

  static auto MakeJob(const std::string& aId) -> cell::JobSpec
  {
    cell::StepSpec step;
    step.mCount = 1;
    step.mNeed = { 1000, 1000, 0 };
    step.mEstimatedMs = 1000;
    cell::JobSpec out;
    out.mId = aId;
    out.mSteps = { step };
    return out;
  }

  static auto MakeCandidate(const std::string& aId, double aCpuMs = 1000)
    -> OverflowCandidate
  {
    OverflowCandidate out;
    out.mJob.mId = aId;
    out.mDemand = MakeDemand(aCpuMs);
    return out;
  }

  static auto MakeCandidates(std::size_t aCount, double aCpuMs = 1000)
    -> std::vector<OverflowCandidate>
  {
    std::vector<OverflowCandidate> out;
    for (std::size_t i = 0; i < aCount; ++i) {
      out.push_back(MakeCandidate(base::Cat("job-", i), aCpuMs));
    }
    return out;
  }

  /** The cell that a new job goes to. */
  auto First(std::size_t aJob) const -> std::string
  {
    const auto offers = PlanOffersByWait(
      mCells, MakeJob(base::Cat("job-", aJob)), MakeDemand(), "a");
    return offers.empty() ? "none" : offers.front().mCell;
  }

  /** How many of the new jobs that arrive at one time go to each cell. */
  auto CountFirst(std::size_t aJobs) const -> std::map<std::string, std::size_t>
  {
    std::map<std::string, std::size_t> out;
    for (std::size_t i = 0; i < aJobs; ++i) {
      ++out[First(i)];
    }
    return out;
  }

  auto Moves(std::size_t aCandidates,
             std::size_t aMax = kMigrationsPerTick) const
    -> std::vector<OverflowMove>
  {
    return PlanOverflow(mCells, "a/0", MakeCandidates(aCandidates), aMax);
  }

  /** Adds what was sent to the cells since their reports. */
  auto SetSent(const SentJobs& aSent) -> void
  {
    for (auto& it : mCells) {
      it.mSentBacklogs = SentBacklogs(aSent, it.mName);
    }
  }
};

} // namespace eelgrasspost::dispatch::testing
