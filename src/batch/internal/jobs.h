#pragma once

#include "eelgrasspost/batch/batchmodule.h"

namespace eelgrasspost::batch {

class Jobs : public IJobs
{
public:
  Jobs(BatchParts aParts, BatchOptions aOptions);

  auto Submit(JobSpec aSpec, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override;
  auto Status(std::string aJob, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<JobStatus>> override;
  auto Run() -> net::Task<void> override;

private:
  auto Tick() -> net::Task<void>;
  auto Place(const platform::TableRow& aRow, TaskRecord aTask)
    -> net::Task<void>;
  auto Follow(const platform::TableRow& aRow, TaskRecord aTask)
    -> net::Task<void>;
  auto ReadJob(const std::string& aJob, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<JobSpec>>;

  BatchParts mParts;
  BatchOptions mOptions;
};

} // namespace eelgrasspost::batch
