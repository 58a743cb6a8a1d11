#pragma once

#include "eelgrasspost/base/errors.h"

namespace eelgrasspost::idempotency {

/** The key could not be claimed; the request was not dispatched. */
inline constexpr auto kKeyNotClaimed = base::ErrorKind{
  "key_not_claimed",
  absl::StatusCode::kUnavailable,
  "retry the request with the same Idempotency-Key after a short delay",
};

inline constexpr auto kKeyReused = base::ErrorKind{
  "idempotency_key_reused",
  absl::StatusCode::kInvalidArgument,
  "use a new Idempotency-Key for a different request",
};

inline constexpr auto kFirstOutcomeUnknown = base::ErrorKind{
  "first_request_unknown",
  absl::StatusCode::kUnavailable,
  "ask the service whether the request ran; repeating the request with the "
  "same Idempotency-Key does not run it again",
};

} // namespace eelgrasspost::idempotency
