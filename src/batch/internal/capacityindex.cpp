#include "capacityindex.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::batch {

auto ReservedForServices(const platform::VmRecord& aWorker,
                         const releasenote::ReleaseState* aNotes)
  -> platform::Resources
{
  platform::Resources out;
  if (aNotes == nullptr) {
    return out;
  }
  const auto isHere = [&](const releasenote::EndpointSpec& aEndpoint) {
    return aEndpoint.mWorker == aWorker.mId;
  };
  // All services share the slots, so the largest demand per slot counts.
  for (const auto& it : aNotes->mServices) {
    if (std::ranges::any_of(it.mEndpoints, isHere)) {
      out.mCpuMillis =
        std::max(out.mCpuMillis, aWorker.mSlots * it.mSlotCpuMillis);
      out.mMemoryMb =
        std::max(out.mMemoryMb, aWorker.mSlots * it.mSlotMemoryMb);
    }
  }
  return out;
}

auto MakeCapacityIndex(const WorkerMonitor& aMonitor,
                       const releasenote::ReleaseState* aNotes,
                       base::MonotonicTime aNow) -> CapacityIndex
{
  CapacityIndex out;
  const auto policy = placement::ClassPolicy();
  for (const auto& [name, it] : aMonitor.Workers()) {
    if (!ownership::IsUsable(*it->mLease, aNow) || !it->mReport) {
      continue;
    }
    const auto& worker = it->mLease->mWorker;
    placement::WorkerCapacity capacity;
    capacity.mWorker = name;
    capacity.mRack = worker.mRack;
    capacity.mFailureDomain = worker.mFailureDomain;
    capacity.mFree = FreeCapacity(*it, ReservedForServices(worker, aNotes));
    capacity.mReserved = placement::ShortReserve(worker.mResources, policy);
    out.mIndex.Set(capacity);
    out.mWorkers[name] = it;
  }
  return out;
}

auto AllocateCapacity(CapacityIndex& aIndex,
                      const TaskDemand& aDemand,
                      std::uint64_t aSeed) -> HeldWorkerPtr
{
  placement::PlacementDemand demand;
  demand.mResources = aDemand.mResources;
  demand.mClass = placement::ClassOf(base::Milliseconds(aDemand.mUsedMs),
                                     base::Milliseconds(aDemand.mDeclaredMs),
                                     placement::ClassPolicy());
  demand.mExcluded = aDemand.mFailedOn;
  auto chosen = aIndex.mIndex.Choose(demand, aSeed);
  if (!chosen) {
    // Falls back to workers on which the task has failed.
    demand.mExcluded.clear();
    chosen = aIndex.mIndex.Choose(demand, aSeed);
  }
  if (!chosen) {
    return nullptr;
  }
  aIndex.mIndex.Allocate(*chosen, aDemand.mResources);
  return aIndex.mWorkers[*chosen];
}

auto UnschedulableReason(const JobSpec& aJob,
                         const ownership::OwnershipView& aView,
                         const releasenote::ReleaseState* aNotes) -> std::string
{
  platform::Resources largest;
  for (const auto& it : aView.mAssignments) {
    const auto has =
      Subtract(it.mWorker.mResources, ReservedForServices(it.mWorker, aNotes));
    if (placement::Fits(aJob.mResources, has)) {
      return {};
    }
    largest.mCpuMillis = std::max(largest.mCpuMillis, has.mCpuMillis);
    largest.mMemoryMb = std::max(largest.mMemoryMb, has.mMemoryMb);
    largest.mAccelerators = std::max(largest.mAccelerators, has.mAccelerators);
  }
  if (aView.mAssignments.empty()) {
    return {};
  }
  const auto& need = aJob.mResources;
  return fmt::format("no worker can hold a task of {} cpu_millis, {} memory_mb "
                     "and {} accelerators; the maximum of each resource that "
                     "services leave free on any worker is {}, {} and {}",
                     need.mCpuMillis,
                     need.mMemoryMb,
                     need.mAccelerators,
                     largest.mCpuMillis,
                     largest.mMemoryMb,
                     largest.mAccelerators);
}

} // namespace eelgrasspost::batch
