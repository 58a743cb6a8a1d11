#include "placing.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::batch {

namespace {

auto HasFailedOn(const std::vector<std::string>& aFailedOn,
                 const std::string& aWorker) -> bool
{
  return std::ranges::find(aFailedOn, aWorker) != aFailedOn.end();
}

} // namespace

auto Fits(const platform::Resources& aNeed, const platform::Resources& aFree)
  -> bool
{
  return aNeed.mCpuMillis <= aFree.mCpuMillis &&
         aNeed.mMemoryMb <= aFree.mMemoryMb &&
         aNeed.mAccelerators <= aFree.mAccelerators;
}

auto KeptForServices(const std::string& /*aWorker*/,
                     const releasenote::ReleaseState* /*aNotes*/)
  -> platform::Resources
{
  return {};
}

auto MakeRoomIndex(const WorkerTender& aTender,
                   const releasenote::ReleaseState* aNotes,
                   base::MonotonicTime aNow) -> RoomIndex
{
  RoomIndex out;
  for (const auto& [name, it] : aTender.Workers()) {
    if (ownership::MayUse(*it->mHold, aNow) && it->mReport) {
      out.mRooms.push_back(
        { it, FreeRoom(*it, KeptForServices(name, aNotes)) });
    }
  }
  return out;
}

auto TakeRoom(RoomIndex& aIndex,
              const platform::Resources& aNeed,
              const std::vector<std::string>& aFailedOn) -> HeldWorkerPtr
{
  WorkerRoom* best = nullptr;
  const auto isBetter = [&](const WorkerRoom& aRoom) {
    if (best == nullptr) {
      return true;
    }
    const auto failed =
      HasFailedOn(aFailedOn, aRoom.mWorker->mHold->mWorker.mId);
    const auto bestFailed =
      HasFailedOn(aFailedOn, best->mWorker->mHold->mWorker.mId);
    return failed != bestFailed
             ? bestFailed
             : aRoom.mFree.mCpuMillis > best->mFree.mCpuMillis;
  };
  for (auto& it : aIndex.mRooms) {
    if (Fits(aNeed, it.mFree) && isBetter(it)) {
      best = &it;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  best->mFree.mCpuMillis -= aNeed.mCpuMillis;
  best->mFree.mMemoryMb -= aNeed.mMemoryMb;
  best->mFree.mAccelerators -= aNeed.mAccelerators;
  return best->mWorker;
}

auto WhyNoneHolds(const JobSpec& aJob, const ownership::OwnershipView& aView)
  -> std::string
{
  platform::Resources largest;
  for (const auto& it : aView.mAssignments) {
    const auto& has = it.mWorker.mResources;
    if (Fits(aJob.mResources, has)) {
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
  return fmt::format("no worker holds a task of {} cpu_millis, {} memory_mb "
                     "and {} accelerators together; the most of each on any "
                     "worker is {}, {} and {}",
                     need.mCpuMillis,
                     need.mMemoryMb,
                     need.mAccelerators,
                     largest.mCpuMillis,
                     largest.mMemoryMb,
                     largest.mAccelerators);
}

} // namespace eelgrasspost::batch
