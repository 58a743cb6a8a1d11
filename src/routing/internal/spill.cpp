#include "spill.h"

namespace eelgrasspost::routing {

namespace {

constexpr auto kTurnAfter = base::Milliseconds(20);
constexpr auto kReturnAfter = base::Milliseconds(200);
/** The wait here must exceed the cost there by this factor to start. */
constexpr int kStartFactor = 2;

} // namespace

auto DecideSpill(SpillState& aState,
                 const SpillCost& aCost,
                 base::MonotonicTime aNow) -> bool
{
  const auto costThere = aCost.mWaitThere + aCost.mLink;
  const auto wantsOther = aState.mSpilling
                            ? aCost.mWaitHere <= costThere
                            : aCost.mWaitHere > costThere * kStartFactor;
  if (!wantsOther) {
    aState.mTurning = false;
    return aState.mSpilling;
  }
  if (!aState.mTurning) {
    aState.mTurning = true;
    aState.mTurnedAt = aNow;
  }
  const auto patience = aState.mSpilling ? kReturnAfter : kTurnAfter;
  if (aNow - aState.mTurnedAt >= patience) {
    aState.mSpilling = !aState.mSpilling;
    aState.mTurning = false;
  }
  return aState.mSpilling;
}

} // namespace eelgrasspost::routing
