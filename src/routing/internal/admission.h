#pragma once

#include <array>
#include <cstdint>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"

namespace eelgrasspost::routing {

/** Why a request is refused without having run. */
enum class Refusal : std::uint8_t
{
  None,
  NoWorker,
  QueueFull,
  /** Its turn would come too late for its deadline. */
  TooLate,
  /** Its deadline came too near while it waited. */
  Expired,
};

inline constexpr auto kRefusalNames = std::array{
  base::EnumName<Refusal>{ Refusal::None, "none" },
  base::EnumName<Refusal>{ Refusal::NoWorker, "no_worker" },
  base::EnumName<Refusal>{ Refusal::QueueFull, "queue_full" },
  base::EnumName<Refusal>{ Refusal::TooLate, "too_late" },
  base::EnumName<Refusal>{ Refusal::Expired, "expired" },
};

/** What the decision to let a request wait is made from. */
struct QueueStatus
{
  /** Waiters with an earlier deadline, and all waiters. */
  std::int64_t mAhead = 0;
  std::int64_t mQueued = 0;
  /** Most waiters that the service allows. */
  std::int64_t mLimit = 0;
  /** Slots that serve this queue, used or free. */
  std::int64_t mSlots = 0;
  /** Recent mean time of a request at an endpoint. */
  base::Microseconds mServiceTime{ 0 };
};

/**
 * Most waiters for a number of slots: a share of them, so that the wait at a
 * crest stays below the time of one request while no slot idles.
 */
auto MaxQueueLength(std::int64_t aSlots, std::int64_t aLimit) -> std::int64_t;

/** Time until the request's turn when all slots are taken. */
auto ExpectedWait(const QueueStatus& aView) -> base::Microseconds;

/** Decides at arrival, so that a refusal takes no time. */
auto Admit(const QueueStatus& aView,
           base::MonotonicTime aNow,
           base::MonotonicTime aDeadline) -> Refusal;

} // namespace eelgrasspost::routing
