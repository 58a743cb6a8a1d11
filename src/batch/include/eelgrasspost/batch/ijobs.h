#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/batch/batchtypes.h"
#include "eelgrasspost/batch/placemessages.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::batch {

/** Batch jobs of this entry's operators and workers. Belongs to thread 0. */
class IJobs
{
public:
  virtual ~IJobs() = default;

  /** Accepts a job; ok only after its row is committed. A job that no worker
   * can hold is refused with kUnschedulable. */
  virtual auto Submit(JobSpec aSpec, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  virtual auto Status(std::string aJob, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<JobStatus>> = 0;
  /** Jobs in order of their ids, after one of them. */
  virtual auto List(std::string aAfter, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<JobRecord>>> = 0;
  /** Cancels jobs in grouped writes; the tasks that have not succeeded by
   * then never will. Cancelling again is harmless. */
  virtual auto Cancel(std::vector<std::string> aJobs,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  /** Finds room for another entry's tasks on the workers of this one. */
  virtual auto HandlePlaceRequest(const PlaceRequest& aRequest)
    -> PlaceReply = 0;
  /** Places and tends tasks on the workers that this entry owns. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::batch
