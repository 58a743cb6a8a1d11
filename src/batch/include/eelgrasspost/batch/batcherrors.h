#pragma once

#include "eelgrasspost/base/errors.h"

namespace eelgrasspost::batch {

inline constexpr auto kBadJob = base::ErrorKind{
  "bad_job",
  absl::StatusCode::kInvalidArgument,
  "correct the named fields and submit the job again",
};

inline constexpr auto kJobIdTaken = base::ErrorKind{
  "job_id_taken",
  absl::StatusCode::kAlreadyExists,
  "choose another id, or submit the job as it was first submitted",
};

inline constexpr auto kUnknownJob = base::ErrorKind{
  "unknown_job",
  absl::StatusCode::kNotFound,
  "check the job's id",
};

inline constexpr auto kJobOutcomeUnknown = base::ErrorKind{
  "job_outcome_unknown",
  absl::StatusCode::kUnavailable,
  "submit the same job again; submission is idempotent",
};

inline constexpr auto kUnschedulable = base::ErrorKind{
  "no_worker_holds",
  absl::StatusCode::kInvalidArgument,
  "request fewer resources, or add a large enough worker",
};

inline constexpr auto kJobsUnavailable = base::ErrorKind{
  "jobs_unavailable",
  absl::StatusCode::kUnavailable,
  "try again when the table service is available",
};

} // namespace eelgrasspost::batch
