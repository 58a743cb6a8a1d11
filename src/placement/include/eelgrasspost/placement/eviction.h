#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/placement/placementtypes.h"

namespace eelgrasspost::placement {

/** A running task that might be evicted. */
struct RunningTask
{
  std::string mTask;
  std::string mJob;
  Resources mResources;
  bool mUrgent = false;
  WorkClass mClass = WorkClass::Short;
  /** Work that would be lost, as it is in no checkpoint. */
  base::Milliseconds mSinceCheckpoint{ 0 };
  /** Work that this run has done in all. */
  base::Milliseconds mUsed{ 0 };
  /** Last eviction of its job; the clock's epoch if there was none. */
  base::MonotonicTime mJobEvictedAt;
};

struct EvictionPolicy
{
  /** Shortest time between two evictions of one job. */
  base::Milliseconds mMinIntervalPerJob{ 60 * 60 * 1000 };
  /** Evictions in any minute, all together. */
  std::int64_t mMaxPerMinute = 6;
};

/** Counts evictions against the limit per minute. */
class EvictionBudget
{
public:
  /** Evictions that are still allowed at a moment. */
  auto Remaining(const EvictionPolicy& aPolicy, base::MonotonicTime aNow) const
    -> std::int64_t;
  auto Record(base::MonotonicTime aNow) -> void;

private:
  std::vector<base::MonotonicTime> mRecent;
};

/** Whether the policy lets a task be evicted now. */
auto MayEvict(const RunningTask& aTask,
              const EvictionPolicy& aPolicy,
              base::MonotonicTime aNow) -> bool;

/**
 * Chooses the tasks of one worker whose eviction makes room for a demand: the
 * fewest that lose the least work. Empty when the room cannot be made within
 * the policy and the budget.
 */
auto ChooseEvictions(const std::vector<RunningTask>& aRunning,
                     const Resources& aFree,
                     const Resources& aDemand,
                     const EvictionPolicy& aPolicy,
                     std::int64_t aBudget,
                     base::MonotonicTime aNow) -> std::vector<std::string>;

} // namespace eelgrasspost::placement
