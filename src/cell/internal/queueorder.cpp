#include "queueorder.h"

#include <string_view>
#include <utility>

namespace eelgrasspost::cell {

namespace {

/** A job without any run is not kept waiting for a harmless place beyond the
 * first, and beyond the second in a quiet cell. Forced runs cost the jobs of a
 * busy cell more than they earn: 0.25 instead of 0.42 in a score. */
constexpr auto kMostWait = Milliseconds(25000);
constexpr auto kMostIdleWait = Milliseconds(1500);
/** Share of the processors, reserved or wanted by filling tasks, below which
 * the cell counts as quiet; and the time without a new job after which it does
 * whatever runs. Jobs have to be at work within 14 s of the end of traffic. */
constexpr double kQuietShare = 0.6;
constexpr auto kQuietTime = Milliseconds(3000);

/** A lasting task that ran before, here or under another holder: its users
 * miss it. */
auto IsRestart(const Task& aTask) -> bool
{
  return SpecOf(aTask).mIsLongRunning && aTask.mJob->mHasStarted;
}

} // namespace

auto IsBefore(const Task* aLeft, const Task* aRight) -> bool
{
  if (IsRestart(*aLeft) != IsRestart(*aRight)) {
    return IsRestart(*aLeft);
  }
  const auto& left = aLeft->mJob->mStored.mQueue;
  const auto& right = aRight->mJob->mStored.mQueue;
  if (left.mPriority != right.mPriority) {
    return left.mPriority < right.mPriority;
  }
  const auto leftLasts = SpecOf(*aLeft).mIsLongRunning;
  const auto rightLasts = SpecOf(*aRight).mIsLongRunning;
  if (leftLasts != rightLasts) {
    return rightLasts;
  }
  if (SpecOf(*aLeft).mIsBestEffort && SpecOf(*aRight).mIsBestEffort &&
      aLeft->mJob->mRank != aRight->mJob->mRank) {
    return aLeft->mJob->mRank < aRight->mJob->mRank;
  }
  if (leftLasts) {
    // The largest first: less room is lost. New tasks of one image together.
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

auto IsQuiet(const CellState& aCell, MonotonicTime aNow) -> bool
{
  if (aNow - aCell.mLastNewJobAt > kQuietTime) {
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
  return taken < kQuietShare * capacity;
}

auto MustRun(const Task& aTask, bool aIsQuiet, MonotonicTime aNow) -> bool
{
  const auto limit = aIsQuiet ? kMostIdleWait : kMostWait;
  return aNow - aTask.mReadyAt > limit && SpecOf(aTask).mIsBestEffort &&
         !HasRun(*aTask.mJob);
}

} // namespace eelgrasspost::cell
