#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "eelgrasspost/base/enumnames.h"

namespace eelgrasspost::cell {

enum class OrderKind : std::uint8_t
{
  Start,
  Stop,
  SetCpuShare,
};

/** An order to one worker. */
struct Order
{
  OrderKind mKind = OrderKind::Start;
  std::string mWorker;
  std::string mTask;
  std::uint64_t mAttempt = 0;
  std::string mPayload;
  std::string mCheckpoint;
  std::string mTicket;
  /** CPU share of a SetCpuShare order. */
  int mPercent = 100;
};

enum class OrderOutcome : std::uint8_t
{
  /** The worker has carried it out. */
  Done,
  /** The worker has refused it and carried out nothing. */
  Refused,
  /** The worker lacks the resources. */
  NoRoom,
  /** The worker has seen a higher fencing token: another entry holds the cell.
   */
  Superseded,
  /** The address belongs to another incarnation of a worker. */
  OtherIncarnation,
  /** The worker has restarted; the new incarnation has not received it. */
  Restarted,
  /** The ticket is missing or has expired. */
  BadTicket,
  /** No answer: the worker may carry it out now, later or never. */
  Unknown,
};

inline constexpr auto kOrderOutcomeNames = std::array{
  base::EnumName<OrderOutcome>{ OrderOutcome::Done, "done" },
  base::EnumName<OrderOutcome>{ OrderOutcome::Refused, "refused" },
  base::EnumName<OrderOutcome>{ OrderOutcome::NoRoom, "no_room" },
  base::EnumName<OrderOutcome>{ OrderOutcome::Superseded, "superseded" },
  base::EnumName<OrderOutcome>{ OrderOutcome::OtherIncarnation, "other_life" },
  base::EnumName<OrderOutcome>{ OrderOutcome::Restarted, "restarted" },
  base::EnumName<OrderOutcome>{ OrderOutcome::BadTicket, "bad_ticket" },
  base::EnumName<OrderOutcome>{ OrderOutcome::Unknown, "no_answer" },
};

} // namespace eelgrasspost::cell
