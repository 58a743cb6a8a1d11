#pragma once

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::idempotency {

inline constexpr auto kRecordFailed = base::LogEvent{
  800,
  base::LogLevel::Warn,
  "the end of a request could not be recorded under its idempotency key",
  "check the table and the object store; a repeat of the key gets outcome "
  "unknown",
};

inline constexpr auto kBadRecord = base::LogEvent{
  801,
  base::LogLevel::Error,
  "the row of an idempotency key cannot be read",
  "find out who else writes rows below idempotency/",
};

inline constexpr auto kSweepFailed = base::LogEvent{
  802,
  base::LogLevel::Info,
  "expired idempotency keys could not be removed",
  "none while the table is away; otherwise check its permissions",
};

} // namespace eelgrasspost::idempotency
