#pragma once

#include "eelgrasspost/base/errors.h"

namespace eelgrasspost::platform {

/** A row did not have its expected version; nothing was written. */
inline constexpr auto kVersionConflict = base::ErrorKind{
  "version_conflict",
  absl::StatusCode::kAborted,
  "read the rows again and decide by their current versions",
};

/** The service did not respond; a write may have been applied. */
inline constexpr auto kNoResponse = base::ErrorKind{
  "no_answer",
  absl::StatusCode::kUnavailable,
  "read the rows back to find out whether the write was applied",
};

/** The service is unreachable; nothing was written. */
inline constexpr auto kNotReached = base::ErrorKind{
  "not_reached",
  absl::StatusCode::kUnavailable,
  "retry later",
};

/** The call would exceed its use's share of the table's call rate; nothing was
 * written. */
inline constexpr auto kStoreBusy = base::ErrorKind{
  "store_busy",
  absl::StatusCode::kUnavailable,
  "retry later, or raise the share of this use",
};

/** The response violates the contract. */
inline constexpr auto kMalformedResponse = base::ErrorKind{
  "bad_answer",
  absl::StatusCode::kInternal,
  "check the version of the platform's service",
};

/** The worker has seen a higher token; it did nothing. */
inline constexpr auto kFenced = base::ErrorKind{
  "fenced",
  absl::StatusCode::kFailedPrecondition,
  "stop using the worker until it is claimed again",
};

} // namespace eelgrasspost::platform
