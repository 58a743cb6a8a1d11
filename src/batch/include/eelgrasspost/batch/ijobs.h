#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/batch/batchtypes.h"
#include "eelgrasspost/batch/placemessages.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::batch {

/** Manages batch jobs. Must be used on thread 0 only. */
class IJobs
{
public:
  virtual ~IJobs() = default;

  /** Accepts a job; returns ok only after its row is committed. A job whose
   * tasks fit on no worker is rejected with kUnschedulable. */
  virtual auto Submit(JobSpec aSpec, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  virtual auto Status(std::string aJob, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<JobStatus>> = 0;
  /** Lists jobs in the order of their ids, starting after the given id. */
  virtual auto List(std::string aAfter, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<JobRecord>>> = 0;
  /** Cancels jobs in batched transactions. Tasks that have not succeeded when
   * the cancellation is applied never will. Idempotent. */
  virtual auto Cancel(std::vector<std::string> aJobs,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
  /** Reserves capacity for another entry's tasks on the workers of this one,
   * and applies the outcomes of earlier reservations. */
  virtual auto HandlePlaceRequest(const PlaceRequest& aRequest)
    -> PlaceReply = 0;
  /** Schedules tasks and monitors the workers that this entry owns; never
   * returns. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::batch
