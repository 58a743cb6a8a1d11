#pragma once

#include "eelgrasspost/base/clock.h"

namespace eelgrasspost::routing {

/** Whether a service sends overflow to another failure domain at present. */
struct SpillState
{
  bool mSpilling = false;
  /** Since when the other choice has been the better one. */
  base::MonotonicTime mSwitchPendingSince{};
  bool mSwitchPending = false;
};

/** What a spill is weighed by. */
struct SpillCost
{
  /** Until a slot is free in this failure domain. */
  base::Microseconds mLocalWait{ 0 };
  base::Microseconds mRemoteWait{ 0 };
  /** There and back. */
  base::Microseconds mRoundTrip{ 0 };
};

/**
 * Spills when it has paid clearly for a while, and stops when it has not paid
 * for a longer while; in between the last decision stands.
 */
auto DecideSpill(SpillState& aState,
                 const SpillCost& aCost,
                 base::MonotonicTime aNow) -> bool;

} // namespace eelgrasspost::routing
