#pragma once

#include "eelgrasspost/ownership/ownershiptypes.h"
#include "eelgrasspost/placement/placementindex.h"
#include "eelgrasspost/placement/waitorder.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"
#include "workermonitor.h"

namespace eelgrasspost::batch {

/** Room of the workers that this entry may give work to, in one tick. */
struct CapacityIndex
{
  placement::PlacementIndex mIndex;
  std::map<std::string, HeldWorkerPtr> mWorkers;
};

/** What a task needs of the worker that is chosen for it. */
struct TaskDemand
{
  platform::Resources mResources;
  /** Time used by earlier attempts, and as declared, in milliseconds. */
  std::int64_t mUsedMs = 0;
  std::int64_t mDeclaredMs = 0;
  std::vector<std::string> mFailedOn;
};

/** What the services of a worker take when all their slots are in use. */
auto ReservedForServices(const platform::VmRecord& aWorker,
                         const releasenote::ReleaseState* aNotes)
  -> platform::Resources;

/** Room of the workers that are held and may be used now. */
auto MakeCapacityIndex(const WorkerMonitor& aMonitor,
                       const releasenote::ReleaseState* aNotes,
                       base::MonotonicTime aNow) -> CapacityIndex;

/** Chooses a worker for a task and takes the room; null when none has it. Long
 * work leaves the capacity that is kept for short work. */
auto AllocateCapacity(CapacityIndex& aIndex,
                      const TaskDemand& aDemand,
                      std::uint64_t aSeed) -> HeldWorkerPtr;

/** Why no worker of the list could ever hold a task; empty when one can, or
 * when no worker is known yet. */
auto UnschedulableReason(const JobSpec& aJob,
                         const ownership::OwnershipView& aView,
                         const releasenote::ReleaseState* aNotes)
  -> std::string;

} // namespace eelgrasspost::batch
