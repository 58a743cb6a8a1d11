#include "eelgrasspost/placement/eviction.h"

#include <algorithm>

namespace eelgrasspost::placement {

namespace {

constexpr auto kBudgetWindow = std::chrono::minutes(1);

/** Resources that are missing for a demand; zero in dimensions that fit. */
auto Shortfall(const Resources& aDemand, const Resources& aFree) -> Resources
{
  const auto gap = aDemand - aFree;
  return { std::max<std::int64_t>(0, gap.mCpuMillis),
           std::max<std::int64_t>(0, gap.mMemoryMb),
           std::max<std::int64_t>(0, gap.mAccelerators) };
}

/** Whether the eviction of a task frees any of the missing resources. */
auto ReducesShortfall(const RunningTask& aTask, const Resources& aShortfall)
  -> bool
{
  const auto& held = aTask.mResources;
  return (aShortfall.mCpuMillis > 0 && held.mCpuMillis > 0) ||
         (aShortfall.mMemoryMb > 0 && held.mMemoryMb > 0) ||
         (aShortfall.mAccelerators > 0 && held.mAccelerators > 0);
}

/** Removes victims that later ones have made redundant. */
auto DropRedundant(std::vector<const RunningTask*>& aVictims,
                   Resources aFree,
                   const Resources& aDemand) -> void
{
  for (auto it = aVictims.begin(); it != aVictims.end();) {
    const auto without = aFree - (*it)->mResources;
    if (Fits(aDemand, without)) {
      aFree = without;
      it = aVictims.erase(it);
    } else {
      ++it;
    }
  }
}

} // namespace

auto EvictionBudget::Remaining(const EvictionPolicy& aPolicy,
                               base::MonotonicTime aNow) const -> std::int64_t
{
  const auto recent =
    std::ranges::count_if(mRecent, [&](base::MonotonicTime aAt) {
      return aNow - aAt < kBudgetWindow;
    });
  return std::max<std::int64_t>(0, aPolicy.mMaxPerMinute - recent);
}

auto EvictionBudget::Record(base::MonotonicTime aNow) -> void
{
  std::erase_if(mRecent, [&](base::MonotonicTime aAt) {
    return aNow - aAt >= kBudgetWindow;
  });
  mRecent.push_back(aNow);
}

auto MayEvict(const RunningTask& aTask,
              const EvictionPolicy& aPolicy,
              base::MonotonicTime aNow) -> bool
{
  const auto neverEvicted = aTask.mJobEvictedAt == base::MonotonicTime();
  return !aTask.mUrgent && (neverEvicted || aNow - aTask.mJobEvictedAt >=
                                              aPolicy.mMinIntervalPerJob);
}

auto ChooseEvictions(const std::vector<RunningTask>& aRunning,
                     const Resources& aFree,
                     const Resources& aDemand,
                     const EvictionPolicy& aPolicy,
                     std::int64_t aBudget,
                     base::MonotonicTime aNow) -> std::vector<std::string>
{
  std::vector<const RunningTask*> candidates;
  for (const auto& it : aRunning) {
    if (MayEvict(it, aPolicy, aNow)) {
      candidates.push_back(&it);
    }
  }
  std::ranges::sort(candidates, [](const auto* aOne, const auto* aOther) {
    return std::tie(aOne->mSinceCheckpoint, aOne->mUsed, aOne->mTask) <
           std::tie(aOther->mSinceCheckpoint, aOther->mUsed, aOther->mTask);
  });
  auto free = aFree;
  std::vector<const RunningTask*> victims;
  for (const auto* it : candidates) {
    if (Fits(aDemand, free)) {
      break;
    }
    if (ReducesShortfall(*it, Shortfall(aDemand, free))) {
      victims.push_back(it);
      free = free + it->mResources;
    }
  }
  if (!Fits(aDemand, free)) {
    return {};
  }
  DropRedundant(victims, free, aDemand);
  if (static_cast<std::int64_t>(victims.size()) > aBudget) {
    return {};
  }
  std::vector<std::string> out;
  out.reserve(victims.size());
  for (const auto* it : victims) {
    out.push_back(it->mTask);
  }
  return out;
}

} // namespace eelgrasspost::placement
