#include "spill.h"

namespace eelgrasspost::routing {

namespace {

constexpr auto kStartDelay = base::Milliseconds(20);
constexpr auto kStopDelay = base::Milliseconds(200);
/** The local wait must exceed the remote cost by this factor to start. */
constexpr int kStartFactor = 2;

} // namespace

auto DecideSpill(SpillState& aState,
                 const SpillCost& aCost,
                 base::MonotonicTime aNow) -> bool
{
  const auto remoteCost = aCost.mRemoteWait + aCost.mRoundTrip;
  const auto wantsSwitch = aState.mSpilling
                             ? aCost.mLocalWait <= remoteCost
                             : aCost.mLocalWait > remoteCost * kStartFactor;
  if (!wantsSwitch) {
    aState.mSwitchPending = false;
    return aState.mSpilling;
  }
  if (!aState.mSwitchPending) {
    aState.mSwitchPending = true;
    aState.mSwitchPendingSince = aNow;
  }
  const auto delay = aState.mSpilling ? kStopDelay : kStartDelay;
  if (aNow - aState.mSwitchPendingSince >= delay) {
    aState.mSpilling = !aState.mSpilling;
    aState.mSwitchPending = false;
  }
  return aState.mSpilling;
}

} // namespace eelgrasspost::routing
