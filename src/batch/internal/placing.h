#pragma once

#include "eelgrasspost/ownership/ownershiptypes.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"
#include "workertender.h"

namespace eelgrasspost::batch {

/** Room of the workers that this entry may give work to, in one tick. */
struct RoomIndex
{
  std::vector<WorkerRoom> mRooms;
};

auto Fits(const platform::Resources& aNeed, const platform::Resources& aFree)
  -> bool;

/** What the services of a worker take when all their slots are in use. */
auto KeptForServices(const std::string& aWorker,
                     const releasenote::ReleaseState* aNotes)
  -> platform::Resources;

/** Room of the workers that are held and may be used now. */
auto MakeRoomIndex(const WorkerTender& aTender,
                   const releasenote::ReleaseState* aNotes,
                   base::MonotonicTime aNow) -> RoomIndex;

/** Chooses a worker for a task and takes the room; null when none has it. */
auto TakeRoom(RoomIndex& aIndex,
              const platform::Resources& aNeed,
              const std::vector<std::string>& aFailedOn) -> HeldWorkerPtr;

/** Why no worker of the list could ever hold a task; empty when one can, or
 * when no worker is known yet. */
auto WhyNoneHolds(const JobSpec& aJob, const ownership::OwnershipView& aView)
  -> std::string;

} // namespace eelgrasspost::batch
