#include "queueorder.h"

#include <algorithm>
#include <string_view>
#include <tuple>

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
  return SpecOf(aTask).mIsLongRunning && aTask.mMayHaveRun;
}

namespace {

/** The order of short tasks of one priority: those of jobs that can still be in
 * time first. Best-effort jobs follow each other by the least remaining work,
 * others by age. */
auto ShortTaskKey(const Task& aTask)
{
  const auto& job = *aTask.mJob;
  const auto isBestEffort = SpecOf(aTask).mIsBestEffort;
  return std::tuple(job.mRank.mLateness,
                    isBestEffort,
                    isBestEffort ? job.mRank.mRemainingWork : 0.0);
}

/** The order of long-running tasks of one priority: the largest first, as this
 * leaves less capacity unused. New tasks of one image are placed together. */
auto LongRunningKey(const Task& aTask)
{
  const auto& spec = SpecOf(aTask);
  return std::tuple(IsRestart(aTask) ? std::string_view()
                                     : std::string_view(spec.mImage),
                    -spec.mNeed.mCpuMillis);
}

auto AgeKey(const Task& aTask)
{
  const auto& job = *aTask.mJob;
  return std::tuple(job.mAddedAt,
                    std::string_view(job.mStored.mSpec.mId),
                    aTask.mOccurrence,
                    aTask.mStep,
                    aTask.mIndex);
}

} // namespace

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
  if (isLeftLongRunning) {
    const auto leftKey = LongRunningKey(*aLeft);
    const auto rightKey = LongRunningKey(*aRight);
    return leftKey != rightKey ? leftKey < rightKey
                               : AgeKey(*aLeft) < AgeKey(*aRight);
  }
  const auto leftKey = ShortTaskKey(*aLeft);
  const auto rightKey = ShortTaskKey(*aRight);
  return leftKey != rightKey ? leftKey < rightKey
                             : AgeKey(*aLeft) < AgeKey(*aRight);
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
