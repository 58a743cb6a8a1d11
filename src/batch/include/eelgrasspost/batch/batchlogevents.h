#pragma once

#include <array>

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::batch {

inline constexpr auto kObsoleteAttempt = base::LogEvent{
  700,
  base::LogLevel::Warn,
  "stopping an attempt that the table does not record as running",
  "none; it was cancelled or superseded by another entry",
};

inline constexpr auto kWriteConflict = base::LogEvent{
  701,
  base::LogLevel::Info,
  "another entry changed a block first; reloading the partition",
  "none; if it persists, check that the entries reach each other",
};

inline constexpr auto kTableUnavailable = base::LogEvent{
  702,
  base::LogLevel::Warn,
  "table service unavailable; running tasks continue, none is started",
  "check the table service",
};

inline constexpr auto kTaskParked = base::LogEvent{
  703,
  base::LogLevel::Warn,
  "task parked",
  "job show prints the reason",
};

inline constexpr auto kWorkerRemoved = base::LogEvent{
  704,
  base::LogLevel::Warn,
  "worker removed from the VM list; its attempts count as interrupted",
  "none; its tasks are restarted on other workers",
};

inline constexpr auto kMalformedRow = base::LogEvent{
  705,
  base::LogLevel::Error,
  "cannot decode a row of the table; the row is skipped",
  "restore the row, or delete it if its job is not needed",
};

inline constexpr auto kEvicted = base::LogEvent{
  706,
  base::LogLevel::Info,
  "attempt evicted for urgent work",
  "none; it resumes from its checkpoint",
};

inline constexpr auto kBatchLogEvents =
  std::array{ kObsoleteAttempt, kWriteConflict, kTableUnavailable, kTaskParked,
              kWorkerRemoved,   kMalformedRow,  kEvicted };

} // namespace eelgrasspost::batch
