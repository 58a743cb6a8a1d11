#pragma once

#include "dispatcher.h"

namespace eelgrasspost::batch {

class Jobs : public IJobs
{
public:
  Jobs(BatchDependencies aDependencies, BatchOptions aOptions);

  auto Submit(JobSpec aSpec, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override;
  auto Status(std::string aJob, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<JobStatus>> override;
  auto List(std::string aAfter, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<JobRecord>>> override;
  auto Cancel(std::vector<std::string> aJobs, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override;
  auto HandlePlaceRequest(const PlaceRequest& aRequest) -> PlaceReply override;
  auto Run() -> net::Task<void> override;

private:
  auto ReadJob(std::string aJob) -> net::Task<absl::StatusOr<JobRecord>>;
  auto CheckJobsExist(std::vector<std::string> aJobs)
    -> net::Task<absl::Status>;
  auto ReadLiveBlocks(JobRecord aJob, std::vector<TaskBlock>& aBlocks)
    -> net::Task<absl::Status>;

  BatchDependencies mDependencies;
  BatchOptions mOptions;
  BatchTable mTable;
  WorkerMonitor mMonitor;
  Dispatcher mDispatcher;
  /** Varies the choice of workers. */
  std::uint64_t mSeed = 0;
};

} // namespace eelgrasspost::batch
