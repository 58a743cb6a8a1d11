#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "eelgrasspost/placement/placementtypes.h"

namespace eelgrasspost::placement {

/** A task that waits to be placed. */
struct WaitingTask
{
  std::string mTask;
  std::string mTeam;
  Resources mDemand;
  bool mUrgent = false;
  /** Time used by its earlier attempts. */
  base::Milliseconds mUsed{ 0 };
  base::Milliseconds mDeclared{ 0 };
  /** Order of submission, the same on every entry. */
  std::uint64_t mSequence = 0;
};

/**
 * The class of a task. A declared run time makes it long only if it would be so
 * even with the declaration wrong by mDeclaredErrorFactor.
 */
auto ClassOf(base::Milliseconds aUsed,
             base::Milliseconds aDeclared,
             const ClassPolicy& aPolicy) -> WorkClass;

/** Capacity of a worker that is reserved for short tasks. */
auto ShortReserve(const Resources& aCapacity, const ClassPolicy& aPolicy)
  -> Resources;

/** Sort key of waiting tasks; lower keys go first. */
struct WaitKey
{
  bool mNotUrgent = true;
  std::int64_t mRank = 0;
  std::uint64_t mSequence = 0;
  std::string mTask;

  auto operator<=>(const WaitKey&) const = default;
};

auto KeyOf(const WaitingTask& aTask, const ClassPolicy& aPolicy) -> WaitKey;

} // namespace eelgrasspost::placement
