#pragma once

#include <array>

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::ownership {

inline constexpr auto kWorkerClaimed = base::LogEvent{
  500,
  base::LogLevel::Info,
  "worker claimed",
  "none",
};

inline constexpr auto kWorkerLost = base::LogEvent{
  501,
  base::LogLevel::Warn,
  "worker lost: another entry holds a higher fencing token",
  "if it repeats, check the network between entries of this failure domain",
};

inline constexpr auto kWorkerRestarted = base::LogEvent{
  502,
  base::LogLevel::Info,
  "worker restarted: it reports a new incarnation",
  "none",
};

inline constexpr auto kWorkerHandedOver = base::LogEvent{
  503,
  base::LogLevel::Info,
  "worker handed over",
  "none",
};

inline constexpr auto kClaimResolved = base::LogEvent{
  504,
  base::LogLevel::Info,
  "claim with a lost response confirmed by the worker's report",
  "none",
};

inline constexpr auto kHandOverIncomplete = base::LogEvent{
  505,
  base::LogLevel::Warn,
  "some workers were not handed over before the shutdown",
  "other entries claim them within seconds; check the network between entries",
};

inline constexpr auto kWorkerCannotFence = base::LogEvent{
  506,
  base::LogLevel::Warn,
  "worker cannot refuse lower fencing tokens; it is unused after each claim",
  "implement fencing in its agent, see docs/worker-contract.md",
};

inline constexpr auto kOwnershipLogEvents = std::array{
  kWorkerClaimed, kWorkerLost,         kWorkerRestarted,   kWorkerHandedOver,
  kClaimResolved, kHandOverIncomplete, kWorkerCannotFence,
};

} // namespace eelgrasspost::ownership
