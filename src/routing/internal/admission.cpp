#include "admission.h"

#include <algorithm>

namespace eelgrasspost::routing {

namespace {

constexpr std::int64_t kWaitersPercentOfSlots = 50;
constexpr std::int64_t kPercent = 100;

} // namespace

auto MaxQueueLength(std::int64_t aSlots, std::int64_t aLimit) -> std::int64_t
{
  const auto share =
    (aSlots * kWaitersPercentOfSlots + kPercent - 1) / kPercent;
  return std::min(share, aLimit);
}

auto ExpectedWait(const QueueStatus& aView) -> base::Microseconds
{
  const auto slots = std::max<std::int64_t>(1, aView.mSlots);
  return aView.mServiceTime * (aView.mAhead + 1) / slots;
}

auto Admit(const QueueStatus& aView,
           base::MonotonicTime aNow,
           base::MonotonicTime aDeadline) -> Refusal
{
  if (aView.mSlots <= 0) {
    return Refusal::NoWorker;
  }
  if (aView.mQueued >= MaxQueueLength(aView.mSlots, aView.mLimit)) {
    return Refusal::QueueFull;
  }
  const auto answeredAt = aNow + ExpectedWait(aView) + aView.mServiceTime;
  return answeredAt > aDeadline ? Refusal::TooLate : Refusal::None;
}

} // namespace eelgrasspost::routing
