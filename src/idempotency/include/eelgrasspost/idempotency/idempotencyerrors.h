#pragma once

#include "eelgrasspost/base/errors.h"

namespace eelgrasspost::idempotency {

/** The request was not dispatched. */
inline constexpr auto kKeyNotClaimed = base::ErrorKind{
  "key_not_claimed",
  absl::StatusCode::kUnavailable,
  "send the request again with the same Idempotency-Key after a short wait",
};

inline constexpr auto kKeyReused = base::ErrorKind{
  "idempotency_key_reused",
  absl::StatusCode::kInvalidArgument,
  "send a different request under an Idempotency-Key of its own",
};

inline constexpr auto kFirstUnknown = base::ErrorKind{
  "first_request_unknown",
  absl::StatusCode::kUnavailable,
  "ask the service whether the request ran; the same Idempotency-Key will not "
  "run it again",
};

} // namespace eelgrasspost::idempotency
