#pragma once

#include <memory>
#include <string>
#include <vector>

#include "eelgrasspost/ownership/slotledger.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::ownership {

/** A worker that this entry owns. */
struct WorkerHold
{
  WorkerHold(platform::VmRecord aWorker,
             platform::FencingToken aToken,
             std::string aIncarnation,
             std::int64_t aAlreadyUsed)
    : mWorker(std::move(aWorker))
    , mIncarnation(std::move(aIncarnation))
    , mLedger(mWorker.mSlots, aAlreadyUsed)
    , mToken(std::move(aToken))
  {
  }

  const platform::VmRecord mWorker;
  const std::string mIncarnation;
  SlotLedger mLedger;
  const platform::FencingToken mToken;
  /** End of the lease, counted from before its renewal was sent. */
  std::atomic<base::MonotonicTime> mLeaseUntil{};
  std::atomic<bool> mLeaving{ false };
};

using WorkerHoldPtr = std::shared_ptr<WorkerHold>;

/** Whether work may be given under a hold at this moment. */
auto MayUse(const WorkerHold& aHold, base::MonotonicTime aNow) -> bool;

/** Which entry should own a worker. */
struct WorkerAssignment
{
  platform::VmRecord mWorker;
  /** Empty when no entry of the worker's failure domain is alive. */
  std::string mEntry;
};

/** Ownership as this entry sees it. */
struct OwnershipView
{
  std::vector<WorkerHoldPtr> mHeld;
  /** Every worker of every failure domain, sorted by id. */
  std::vector<WorkerAssignment> mAssignments;

  auto FindHeld(std::string_view aWorker) const -> WorkerHoldPtr;
  auto FindAssignment(std::string_view aWorker) const
    -> const WorkerAssignment*;
};

} // namespace eelgrasspost::ownership
