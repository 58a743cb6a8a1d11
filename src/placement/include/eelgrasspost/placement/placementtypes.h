#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::placement {

using platform::Resources;

/** Whether each part of a demand fits into what is free. */
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

/** How a task is treated, judged by the time that it has used so far. */
enum class WorkClass : std::uint8_t
{
  Short,
  Long,
};

inline constexpr auto kWorkClassNames = std::array{
  base::EnumName<WorkClass>{ WorkClass::Short, "short" },
  base::EnumName<WorkClass>{ WorkClass::Long, "long" },
};

/** How waiting tasks are ordered. The first two are baselines. */
enum class OrderPolicy : std::uint8_t
{
  /** By submission. */
  FirstInFirstOut,
  /** By declared run time. */
  DeclaredShortestFirst,
  /** By work class, which follows the time used so far; then by submission. */
  LeastUsedFirst,
};

inline constexpr auto kOrderPolicyNames = std::array{
  base::EnumName<OrderPolicy>{ OrderPolicy::FirstInFirstOut, "fifo" },
  base::EnumName<OrderPolicy>{ OrderPolicy::DeclaredShortestFirst, "declared" },
  base::EnumName<OrderPolicy>{ OrderPolicy::LeastUsedFirst, "least_used" },
};

/** Limits that separate short from long work. */
struct ClassPolicy
{
  OrderPolicy mOrder = OrderPolicy::LeastUsedFirst;
  /** A task is short until it has used this much. */
  base::Milliseconds mShortLimit{ 60000 };
  /** Declared run times are off by up to this factor, either way. */
  std::int64_t mDeclaredErrorFactor = 10;
  /** Share of each worker that long work may not take, in percent. */
  std::int64_t mShortReservePercent = 25;
};

} // namespace eelgrasspost::placement
