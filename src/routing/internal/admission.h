#pragma once

#include <array>
#include <cstdint>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"

namespace eelgrasspost::routing {

/** Why a request is refused before it runs. */
enum class Refusal : std::uint8_t
{
  None,
  NoWorker,
  QueueFull,
  /** The expected completion is after its deadline. */
  TooLate,
  /** While it waited, the time left to its deadline became too short. */
  Expired,
};

inline constexpr auto kRefusalNames = std::array{
  base::EnumName<Refusal>{ Refusal::None, "none" },
  base::EnumName<Refusal>{ Refusal::NoWorker, "no_worker" },
  base::EnumName<Refusal>{ Refusal::QueueFull, "queue_full" },
  base::EnumName<Refusal>{ Refusal::TooLate, "too_late" },
  base::EnumName<Refusal>{ Refusal::Expired, "expired" },
};

/** Inputs of the decision to queue a request. */
struct QueueStatus
{
  /** Waiters with an earlier deadline. */
  std::int64_t mAhead = 0;
  /** All waiters. */
  std::int64_t mQueued = 0;
  /** The service's configured limit of waiters. */
  std::int64_t mLimit = 0;
  /** Slots that serve this queue, in use or free. */
  std::int64_t mSlots = 0;
  /** Moving average of the time that an endpoint takes for a request. */
  base::Microseconds mServiceTime{ 0 };
};

/**
 * Maximum number of waiters: a fraction of the slots, so that at peak load a
 * request waits less than one service time and no slot is idle.
 */
auto MaxQueueLength(std::int64_t aSlots, std::int64_t aLimit) -> std::int64_t;

/** Expected time until the request gets a slot when all slots are in use. */
auto ExpectedWait(const QueueStatus& aStatus) -> base::Microseconds;

/** Decides whether a request may wait. This happens on arrival, so that a
 * refused request does not spend time in the queue. */
auto Admit(const QueueStatus& aStatus,
           base::MonotonicTime aNow,
           base::MonotonicTime aDeadline) -> Refusal;

} // namespace eelgrasspost::routing
