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

inline constexpr auto kEntryRegistered = base::LogEvent{
  987,
  base::LogLevel::Info,
  "the entry has registered its incarnation in the store and may claim cells",
  "none; former_incarnation is that of the row before; if clock_ms is lower, "
  "the clock of the VM was set back or the former one was ahead",
};

inline constexpr auto kPeerFollowed = base::LogEvent{
  988,
  base::LogLevel::Info,
  "another process of an entry is heard from now on",
  "none; incarnation 0 means that it has not registered yet",
};

inline constexpr auto kEntryRowReplaced = base::LogEvent{
  989,
  base::LogLevel::Warn,
  "another writer has changed or removed the row of this entry; it is written "
  "again",
  "find out which program writes it, or whether two processes use this name",
};

inline constexpr auto kPartitionsAgreed = base::LogEvent{
  990,
  base::LogLevel::Info,
  "the entry has read or written over how many parts of the store jobs are "
  "spread",
  "none; if parts differs from configured, the settings have changed since the "
  "first jobs were stored: the parts stay, the limits on writes follow",
};

} // namespace eelgrasspost::dispatch
