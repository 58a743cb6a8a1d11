#pragma once

#include <array>

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::ownership {

inline constexpr auto kWorkerClaimed = base::LogEvent{
  500,
  base::LogLevel::Info,
  "a worker was claimed",
  "none",
};

inline constexpr auto kWorkerLost = base::LogEvent{
  501,
  base::LogLevel::Warn,
  "a worker was claimed by another entry",
  "if it repeats, look for a cut between entries of this failure domain",
};

inline constexpr auto kWorkerRestarted = base::LogEvent{
  502,
  base::LogLevel::Info,
  "a worker shows a new incarnation",
  "none",
};

inline constexpr auto kWorkerHandedOver = base::LogEvent{
  503,
  base::LogLevel::Info,
  "a worker was handed over",
  "none",
};

inline constexpr auto kClaimResolved = base::LogEvent{
  504,
  base::LogLevel::Info,
  "a claim whose answer was lost was settled by reading",
  "none",
};

inline constexpr auto kHandOverIncomplete = base::LogEvent{
  505,
  base::LogLevel::Warn,
  "no entry took some workers over before the stop",
  "others take them within seconds; check the network between entries",
};

inline constexpr auto kWorkerCannotFence = base::LogEvent{
  506,
  base::LogLevel::Warn,
  "a worker cannot refuse lower tokens; it rests after each claim",
  "let its agent fence, as docs/worker-contract.md says",
};

inline constexpr auto kOwnershipLogEvents = std::array{
  kWorkerClaimed, kWorkerLost,         kWorkerRestarted,   kWorkerHandedOver,
  kClaimResolved, kHandOverIncomplete, kWorkerCannotFence,
};

} // namespace eelgrasspost::ownership
