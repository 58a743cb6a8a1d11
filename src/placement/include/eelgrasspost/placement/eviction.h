#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/placement/placementtypes.h"

namespace eelgrasspost::placement {

/** A running task that is a candidate for eviction. */
struct RunningTask
{
  std::string mTask;
  std::string mJob;
  Resources mResources;
  bool mUrgent = false;
  WorkClass mClass = WorkClass::Short;
  /** Work since the last checkpoint, which an eviction loses. */
  base::Milliseconds mSinceCheckpoint{ 0 };
  /** Total work of this run. */
  base::Milliseconds mUsed{ 0 };
  /** Time of the last eviction from its job; the clock's epoch if none. */
  base::MonotonicTime mJobEvictedAt;
};

struct EvictionPolicy
{
  /** Minimum interval between two evictions from the same job. */
  base::Milliseconds mMinIntervalPerJob{ 60 * 60 * 1000 };
  /** Maximum number of evictions in any minute, over all jobs. */
  std::int64_t mMaxPerMinute = 6;
};

/** Limits evictions per minute with a sliding window. */
class EvictionBudget
{
public:
  /** Number of evictions that are still allowed. */
  auto Remaining(const EvictionPolicy& aPolicy, base::MonotonicTime aNow) const
    -> std::int64_t;
  auto Record(base::MonotonicTime aNow) -> void;

private:
  std::vector<base::MonotonicTime> mRecent;
};

/** Whether the policy allows the eviction of a task. */
auto MayEvict(const RunningTask& aTask,
              const EvictionPolicy& aPolicy,
              base::MonotonicTime aNow) -> bool;

/**
 * Chooses tasks of one worker whose eviction frees enough resources for a
 * demand. Prefers tasks that lose the least work and spares those that turn out
 * not to be needed. Empty if the demand cannot be met within the policy and the
 * budget.
 */
auto ChooseEvictions(const std::vector<RunningTask>& aRunning,
                     const Resources& aFree,
                     const Resources& aDemand,
                     const EvictionPolicy& aPolicy,
                     std::int64_t aBudget,
                     base::MonotonicTime aNow) -> std::vector<std::string>;

} // namespace eelgrasspost::placement
