#pragma once

#include <array>

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::batch {

inline constexpr auto kObsoleteAttempt = base::LogEvent{
  700,
  base::LogLevel::Warn,
  "an attempt that the table does not know as running is stopped",
  "none; it was cancelled or superseded while this entry did not own it",
};

inline constexpr auto kWriteConflict = base::LogEvent{
  701,
  base::LogLevel::Info,
  "another entry changed a block first; the partition is read again",
  "none, unless it goes on: then check that the entries see each other",
};

inline constexpr auto kTableUnavailable = base::LogEvent{
  702,
  base::LogLevel::Warn,
  "the table does not answer; running tasks go on, no task is started",
  "check the table service",
};

inline constexpr auto kTaskParked = base::LogEvent{
  703,
  base::LogLevel::Warn,
  "a task is parked",
  "see the reason with: job show",
};

inline constexpr auto kWorkerRemoved = base::LogEvent{
  704,
  base::LogLevel::Warn,
  "a worker is gone from the VM list; its attempts are held to have ended",
  "none; its tasks start elsewhere",
};

inline constexpr auto kMalformedRow = base::LogEvent{
  705,
  base::LogLevel::Error,
  "a row of the table cannot be read and is left alone",
  "restore the row, or delete it if its job is not needed",
};

inline constexpr auto kEvicted = base::LogEvent{
  706,
  base::LogLevel::Info,
  "an attempt is evicted for urgent work",
  "none; it resumes from its checkpoint",
};

inline constexpr auto kBatchLogEvents =
  std::array{ kObsoleteAttempt, kWriteConflict, kTableUnavailable, kTaskParked,
              kWorkerRemoved,   kMalformedRow,  kEvicted };

} // namespace eelgrasspost::batch
