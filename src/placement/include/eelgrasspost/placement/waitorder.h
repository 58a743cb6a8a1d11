#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "eelgrasspost/placement/placementtypes.h"

namespace eelgrasspost::placement {

/** A task that waits for a place. */
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
 * The class of a task. A declaration is trusted only where it holds even if it
 * is off by the stated factor.
 */
auto ClassOf(base::Milliseconds aUsed,
             base::Milliseconds aDeclared,
             const ClassPolicy& aPolicy) -> WorkClass;

/** What long work must leave free on a worker. */
auto ShortReserve(const Resources& aCapacity, const ClassPolicy& aPolicy)
  -> Resources;

/** Sorts waiting tasks; lower goes first. */
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
