#pragma once

#include "eelgrasspost/base/errors.h"

namespace eelgrasspost::platform {

/** A row was not at the expected version; nothing was written. */
inline constexpr auto kVersionConflict = base::ErrorKind{
  "version_conflict",
  absl::StatusCode::kAborted,
  "read the rows again and decide anew",
};

/** The service did not answer; a write may have taken effect. */
inline constexpr auto kNoAnswer = base::ErrorKind{
  "no_answer",
  absl::StatusCode::kUnavailable,
  "settle the write by reading the rows back",
};

/** The service cannot be reached; nothing was written. */
inline constexpr auto kNotReached = base::ErrorKind{
  "not_reached",
  absl::StatusCode::kUnavailable,
  "try again later",
};

/** The call would exceed its use's share of the table; nothing was written. */
inline constexpr auto kStoreBusy = base::ErrorKind{
  "store_busy",
  absl::StatusCode::kUnavailable,
  "try again later, or raise the share of this use",
};

/** The answer does not follow the contract. */
inline constexpr auto kBadAnswer = base::ErrorKind{
  "bad_answer",
  absl::StatusCode::kInternal,
  "check the version of the platform's service",
};

/** A worker has seen a higher token; it did nothing. */
inline constexpr auto kFenced = base::ErrorKind{
  "fenced",
  absl::StatusCode::kFailedPrecondition,
  "stop using the worker until it is claimed anew",
};

} // namespace eelgrasspost::platform
