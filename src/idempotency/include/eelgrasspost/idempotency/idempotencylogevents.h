#pragma once

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::idempotency {

inline constexpr auto kRecordFailed = base::LogEvent{
  800,
  base::LogLevel::Warn,
  "the outcome of a request could not be recorded under its idempotency key",
  "check the table and the object store; a repeated request with this key is "
  "answered with outcome unknown",
};

inline constexpr auto kMalformedRecord = base::LogEvent{
  801,
  base::LogLevel::Error,
  "the row of an idempotency key is malformed",
  "find out which other program writes rows with the prefix idempotency/",
};

inline constexpr auto kSweepFailed = base::LogEvent{
  802,
  base::LogLevel::Info,
  "expired idempotency keys could not be removed",
  "none while the table is unavailable; otherwise check its permissions",
};

} // namespace eelgrasspost::idempotency
