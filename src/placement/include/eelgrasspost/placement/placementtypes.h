#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::placement {

using platform::Resources;

/** Whether a demand fits into the free resources in every dimension. */
constexpr auto Fits(const Resources& aDemand, const Resources& aFree) -> bool
{
  return aDemand.mCpuMillis <= aFree.mCpuMillis &&
         aDemand.mMemoryMb <= aFree.mMemoryMb &&
         aDemand.mAccelerators <= aFree.mAccelerators;
}

constexpr auto operator+(const Resources& aOne, const Resources& aOther)
  -> Resources
{
  return { aOne.mCpuMillis + aOther.mCpuMillis,
           aOne.mMemoryMb + aOther.mMemoryMb,
           aOne.mAccelerators + aOther.mAccelerators };
}

constexpr auto operator-(const Resources& aOne, const Resources& aOther)
  -> Resources
{
  return { aOne.mCpuMillis - aOther.mCpuMillis,
           aOne.mMemoryMb - aOther.mMemoryMb,
           aOne.mAccelerators - aOther.mAccelerators };
}

/** Class of a task by the time that it has used so far. */
enum class WorkClass : std::uint8_t
{
  Short,
  Long,
};

inline constexpr auto kWorkClassNames = std::array{
  base::EnumName<WorkClass>{ WorkClass::Short, "short" },
  base::EnumName<WorkClass>{ WorkClass::Long, "long" },
};

/** Order of waiting tasks. The first two are baselines for comparison. */
enum class OrderPolicy : std::uint8_t
{
  /** By submission. */
  FirstInFirstOut,
  /** By declared run time. */
  DeclaredShortestFirst,
  /** By work class, which depends on the time used so far; then by
   * submission. */
  LeastUsedFirst,
};

inline constexpr auto kOrderPolicyNames = std::array{
  base::EnumName<OrderPolicy>{ OrderPolicy::FirstInFirstOut, "fifo" },
  base::EnumName<OrderPolicy>{ OrderPolicy::DeclaredShortestFirst, "declared" },
  base::EnumName<OrderPolicy>{ OrderPolicy::LeastUsedFirst, "least_used" },
};

/** Order of waiting tasks, and the limits that separate short from long tasks.
 */
struct ClassPolicy
{
  OrderPolicy mOrder = OrderPolicy::LeastUsedFirst;
  /** A task is short until it has used this much time. */
  base::Milliseconds mShortLimit{ 60000 };
  /** Declared run times may be wrong by up to this factor in either
   * direction. */
  std::int64_t mDeclaredErrorFactor = 10;
  /** Percentage of each worker's capacity that is reserved for short tasks. */
  std::int64_t mShortReservePercent = 25;
};

} // namespace eelgrasspost::placement
