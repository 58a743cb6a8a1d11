#pragma once

#include "eelgrasspost/base/errors.h"

namespace eelgrasspost::routing {

inline constexpr auto kUnknownService = base::ErrorKind{
  "unknown_service",
  absl::StatusCode::kNotFound,
  "check the name, or add the service by a release note",
};

inline constexpr auto kMissingIdempotencyKey = base::ErrorKind{
  "missing_idempotency_key",
  absl::StatusCode::kInvalidArgument,
  "send an Idempotency-Key field with a unique value for each request",
};

inline constexpr auto kNoSlot = base::ErrorKind{
  "no_slot",
  absl::StatusCode::kResourceExhausted,
  "send the request again after a short wait",
};

inline constexpr auto kDeadlinePassed = base::ErrorKind{
  "deadline_passed",
  absl::StatusCode::kDeadlineExceeded,
  "send the request again with a later deadline",
};

inline constexpr auto kEndpointFailed = base::ErrorKind{
  "endpoint_failed",
  absl::StatusCode::kUnavailable,
  "ask the service whether the request ran before sending it again",
};

inline constexpr auto kBadField = base::ErrorKind{
  "bad_field",
  absl::StatusCode::kInvalidArgument,
  "correct the field that is named, or leave it out",
};

inline constexpr auto kBadMethod = base::ErrorKind{
  "bad_method",
  absl::StatusCode::kInvalidArgument,
  "use GET, HEAD, POST, PUT, PATCH or DELETE",
};

inline constexpr auto kNotReady = base::ErrorKind{
  "not_ready",
  absl::StatusCode::kUnavailable,
  "send the request to another entry",
};

} // namespace eelgrasspost::routing
