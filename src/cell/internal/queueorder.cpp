#include "queueorder.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace eelgrasspost::cell {

namespace {

/** Maximum time for which a best-effort job that has not run yet waits for a
 * worker on which it does not interfere. Long in a busy cell, as a run that is
 * placed despite its interference costs the other jobs more than it gains: in
 * one benchmark the overall score was 0.25 with such runs and 0.42 without. */
constexpr auto kMaxWait = Milliseconds(25000);
constexpr auto kMaxWaitAtLightLoad = Milliseconds(1500);
/** A cell is lightly loaded while less than this share of its CPU is reserved
 * or requested by best-effort tasks. Regardless of what runs, it also counts as
 * lightly loaded after kNoNewJobTime without a new job, as the platform
 * requires accepted jobs to run within 14 s after submissions end. */
constexpr double kLightLoadShare = 0.6;
constexpr auto kNoNewJobTime = Milliseconds(3000);

} // namespace

auto IsRestart(const Task& aTask) -> bool
{
  return SpecOf(aTask).mIsLongRunning && aTask.mJob->mHasStarted &&
         aTask.mMayHaveRun;
}

auto ComesBefore(const Task* aLeft, const Task* aRight) -> bool
{
  if (IsRestart(*aLeft) != IsRestart(*aRight)) {
    return IsRestart(*aLeft);
  }
  const auto& left = aLeft->mJob->mStored.mQueue;
  const auto& right = aRight->mJob->mStored.mQueue;
  if (left.mPriority != right.mPriority) {
    return left.mPriority < right.mPriority;
  }
  const auto isLeftLongRunning = SpecOf(*aLeft).mIsLongRunning;
  const auto isRightLongRunning = SpecOf(*aRight).mIsLongRunning;
  if (isLeftLongRunning != isRightLongRunning) {
    return isRightLongRunning;
  }
  if (SpecOf(*aLeft).mIsBestEffort && SpecOf(*aRight).mIsBestEffort &&
      aLeft->mJob->mRank != aRight->mJob->mRank) {
    return aLeft->mJob->mRank < aRight->mJob->mRank;
  }
  if (isLeftLongRunning) {
    // The largest first, as this leaves less capacity unused. New tasks of one
    // image are placed together.
    const auto isRestart = IsRestart(*aLeft);
    const auto key = [&](const StepSpec& aSpec) {
      return std::pair(isRestart ? std::string_view() : aSpec.mImage,
                       -aSpec.mNeed.mCpuMillis);
    };
    const auto leftKey = key(SpecOf(*aLeft));
    const auto rightKey = key(SpecOf(*aRight));
    if (leftKey != rightKey) {
      return leftKey < rightKey;
    }
  }
  if (aLeft->mJob->mAddedAt != aRight->mJob->mAddedAt) {
    return aLeft->mJob->mAddedAt < aRight->mJob->mAddedAt;
  }
  return aLeft < aRight;
}

auto IsLightlyLoaded(const CellState& aCell, MonotonicTime aNow) -> bool
{
  if (aNow - aCell.mLastNewJobAt > kNoNewJobTime) {
    return true;
  }
  auto taken = 0.0;
  auto capacity = 0.0;
  for (const auto& [id, it] : aCell.mWorkers) {
    if (IsUsable(aCell, *it, aNow)) {
      taken +=
        static_cast<double>(it->mUsed.mCpuMillis + it->mBestEffortCpuMillis);
      capacity += static_cast<double>(it->mRecord.mCapacity.mCpuMillis);
    }
  }
  return taken < kLightLoadShare * capacity;
}

auto MustAcceptInterference(const Task& aTask,
                            bool aIsLightlyLoaded,
                            MonotonicTime aNow) -> bool
{
  const auto limit = aIsLightlyLoaded ? kMaxWaitAtLightLoad : kMaxWait;
  return aNow - aTask.mReadyAt > limit && SpecOf(aTask).mIsBestEffort &&
         !HasRun(*aTask.mJob);
}

auto CountPending(const CellState& aCell, std::string_view aQueue)
  -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aCell.mJobs.begin(), aCell.mJobs.end(), [&](const auto& aItem) {
      const auto& job = *aItem.second;
      return job.mStored.mQueue.mName == aQueue && !job.mHasStarted &&
             !IsFinal(job.mState);
    }));
}

} // namespace eelgrasspost::cell
