#include "eelgrasspost/placement/waitorder.h"

namespace eelgrasspost::placement {

namespace {

auto RankOf(const WaitingTask& aTask, const ClassPolicy& aPolicy)
  -> std::int64_t
{
  switch (aPolicy.mOrder) {
    case OrderPolicy::FirstInFirstOut:
      return 0;
    case OrderPolicy::DeclaredShortestFirst:
      return aTask.mDeclared.count();
    case OrderPolicy::LeastUsedFirst:
      return static_cast<std::int64_t>(
        ClassOf(aTask.mUsed, aTask.mDeclared, aPolicy));
  }
  return 0;
}

} // namespace

auto ClassOf(base::Milliseconds aUsed,
             base::Milliseconds aDeclared,
             const ClassPolicy& aPolicy) -> WorkClass
{
  const auto isSurelyLong =
    aDeclared > aPolicy.mShortLimit * aPolicy.mDeclaredErrorFactor;
  return isSurelyLong || aUsed >= aPolicy.mShortLimit ? WorkClass::Long
                                                      : WorkClass::Short;
}

auto ShortReserve(const Resources& aCapacity, const ClassPolicy& aPolicy)
  -> Resources
{
  if (aPolicy.mOrder != OrderPolicy::LeastUsedFirst) {
    return {};
  }
  constexpr std::int64_t kHundredPercent = 100;
  // Accelerators are few and indivisible, so none is reserved.
  return { aCapacity.mCpuMillis * aPolicy.mShortReservePercent /
             kHundredPercent,
           aCapacity.mMemoryMb * aPolicy.mShortReservePercent / kHundredPercent,
           0 };
}

auto KeyOf(const WaitingTask& aTask, const ClassPolicy& aPolicy) -> WaitKey
{
  return {
    !aTask.mUrgent, RankOf(aTask, aPolicy), aTask.mSequence, aTask.mTask
  };
}

} // namespace eelgrasspost::placement
