#pragma once

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::dispatch {

inline constexpr auto kHeartbeatDropped = base::LogEvent{
  983,
  base::LogLevel::Warn,
  "heartbeats of another entry are ignored",
  "none if dropped stays low; otherwise compare incarnation with "
  "known_incarnation: the entry is not heard, and its cells are claimed",
};

inline constexpr auto kCellChangedHands = base::LogEvent{
  984,
  base::LogLevel::Info,
  "the entry has read that a cell has another holder, or none",
  "none; former_ended 1 means that the process of the former holder is known "
  "to have ended",
};

inline constexpr auto kCellUnstable = base::LogEvent{
  985,
  base::LogLevel::Warn,
  "a cell changes hands repeatedly; each takeover delays its tasks",
  "none while entries restart or are cut off; otherwise see 983 and 984 of all "
  "entries for why one of them takes the others' holders as lost",
};

inline constexpr auto kPendingCounted = base::LogEvent{
  986,
  base::LogLevel::Info,
  "the waiting jobs of a queue were counted for a caller",
  "none; cells lists the counts, for cells of other entries with the age of "
  "the report in ms",
};

} // namespace eelgrasspost::dispatch
