#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/batch/batchtypes.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::batch {

/** Batch jobs of this entry's operators and workers. Belongs to thread 0. */
class IJobs
{
public:
  virtual ~IJobs() = default;

  /** Accepts a job; ok only after its rows are committed. */
  virtual auto Submit(JobSpec aSpec, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  virtual auto Status(std::string aJob, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<JobStatus>> = 0;
  /** Places and tends tasks on the workers that this entry owns. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::batch
