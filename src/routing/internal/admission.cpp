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

auto ExpectedWait(const QueueStatus& aStatus) -> base::Microseconds
{
  const auto slots = std::max<std::int64_t>(1, aStatus.mSlots);
  return aStatus.mServiceTime * (aStatus.mAhead + 1) / slots;
}

auto Admit(const QueueStatus& aStatus,
           base::MonotonicTime aNow,
           base::MonotonicTime aDeadline) -> Refusal
{
  if (aStatus.mSlots <= 0) {
    return Refusal::NoWorker;
  }
  if (aStatus.mQueued >= MaxQueueLength(aStatus.mSlots, aStatus.mLimit)) {
    return Refusal::QueueFull;
  }
  const auto answeredAt = aNow + ExpectedWait(aStatus) + aStatus.mServiceTime;
  return answeredAt > aDeadline ? Refusal::TooLate : Refusal::None;
}

} // namespace eelgrasspost::routing
