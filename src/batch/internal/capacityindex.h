#pragma once

#include "eelgrasspost/ownership/ownershiptypes.h"
#include "eelgrasspost/placement/placementindex.h"
#include "eelgrasspost/placement/waitorder.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"
#include "workermonitor.h"

namespace eelgrasspost::batch {

/** Free capacity of the workers on which this entry can start tasks; valid for
 * one tick. */
struct CapacityIndex
{
  placement::PlacementIndex mIndex;
  std::map<std::string, HeldWorkerPtr> mWorkers;
};

/** What a task requires of a worker. */
struct TaskDemand
{
  platform::Resources mResources;
  /** Time used by earlier attempts, and declared run time, in milliseconds. */
  std::int64_t mUsedMs = 0;
  std::int64_t mDeclaredMs = 0;
  std::vector<std::string> mFailedOn;
};

/** Resources that the services of a worker use when all slots are occupied. */
auto ReservedForServices(const platform::VmRecord& aWorker,
                         const releasenote::ReleaseState* aNotes)
  -> platform::Resources;

/** Indexes the free capacity of the held workers that are usable now. */
auto MakeCapacityIndex(const WorkerMonitor& aMonitor,
                       const releasenote::ReleaseState* aNotes,
                       base::MonotonicTime aNow) -> CapacityIndex;

/** Chooses a worker for a task and allocates the capacity; null if no worker
 * has enough. Long tasks do not get the capacity reserved for short ones. */
auto AllocateCapacity(CapacityIndex& aIndex,
                      const TaskDemand& aDemand,
                      std::uint64_t aSeed) -> HeldWorkerPtr;

/** Why a task of a job fits on no worker of the VM list, even without other
 * batch tasks; empty if it fits on one, or if no worker is known yet. */
auto UnschedulableReason(const JobSpec& aJob,
                         const ownership::OwnershipView& aView,
                         const releasenote::ReleaseState* aNotes)
  -> std::string;

} // namespace eelgrasspost::batch
