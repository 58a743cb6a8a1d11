#pragma once

#include "eelgrasspost/base/clock.h"

namespace eelgrasspost::routing {

/** Whether a service currently sends overflow to another failure domain. */
struct SpillState
{
  bool mSpilling = false;
  /** Since when switching has been the better choice; valid while
   * mSwitchPending is set. */
  base::MonotonicTime mSwitchPendingSince{};
  bool mSwitchPending = false;
};

/** Expected costs that decide whether to spill. */
struct SpillCost
{
  /** Time until a slot is free in this failure domain. */
  base::Microseconds mLocalWait{ 0 };
  /** Time until a slot is free in the other failure domain. */
  base::Microseconds mRemoteWait{ 0 };
  /** Network round trip between the failure domains. */
  base::Microseconds mRoundTrip{ 0 };
};

/**
 * Starts spilling after the local wait has clearly exceeded the remote cost for
 * some time, and stops after it has not exceeded it for a longer time.
 * Otherwise the last decision is kept (hysteresis).
 */
auto DecideSpill(SpillState& aState,
                 const SpillCost& aCost,
                 base::MonotonicTime aNow) -> bool;

} // namespace eelgrasspost::routing
