#pragma once

#include <memory>
#include <string>
#include <vector>

#include "eelgrasspost/ownership/slotledger.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::ownership {

/** A worker that this entry owns. */
struct WorkerLease
{
  WorkerLease(platform::VmRecord aWorker,
              platform::FencingToken aToken,
              std::string aIncarnation,
              std::int64_t aInitiallyUsed)
    : mWorker(std::move(aWorker))
    , mIncarnation(std::move(aIncarnation))
    , mLedger(mWorker.mSlots, aInitiallyUsed)
    , mHolder(std::move(aToken.mHolder))
    , mTokenNumber(aToken.mNumber)
  {
  }

  /** The token for a command or request that is sent now. Read it for each
   * one: it is replaced when this entry fences its own lost requests. */
  auto Token() const -> platform::FencingToken
  {
    return { mTokenNumber.load(std::memory_order_acquire), mHolder };
  }

  const platform::VmRecord mWorker;
  const std::string mIncarnation;
  SlotLedger mLedger;
  const std::string mHolder;
  std::atomic<std::uint64_t> mTokenNumber;
  /** End of the lease, counted from before its renewal was sent. */
  std::atomic<base::MonotonicTime> mExpiresAt{};
  /** Before this time all slots count as occupied. */
  std::atomic<base::MonotonicTime> mUsableFrom{};
  std::atomic<bool> mLeaving{ false };
};

using WorkerLeasePtr = std::shared_ptr<WorkerLease>;

/** Whether work may be given under a lease at this moment. */
auto IsUsable(const WorkerLease& aLease, base::MonotonicTime aNow) -> bool;

/** Which entry should own a worker. */
struct WorkerAssignment
{
  platform::VmRecord mWorker;
  /** Empty when no entry of the worker's failure domain is alive. */
  std::string mEntry;
};

/** Asks another entry to take workers over from their holder. */
struct HandOverRequest
{
  std::string mFrom;
  /** Whether the holder stops, so that no worker may come back to it. */
  bool mIsStopping = false;
  std::vector<std::string> mWorkers;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mFrom, mIsStopping, mWorkers);
  }
};

struct HandOverReply
{
  /** Workers that the answering entry has claimed. */
  std::vector<std::string> mAccepted;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mAccepted);
  }
};

/** Ownership as this entry sees it. */
struct OwnershipView
{
  /** Sorted by worker id. */
  std::vector<WorkerLeasePtr> mLeases;
  /** Every worker of every failure domain, sorted by id. */
  std::vector<WorkerAssignment> mAssignments;

  auto FindLease(std::string_view aWorker) const -> WorkerLeasePtr;
  auto FindAssignment(std::string_view aWorker) const
    -> const WorkerAssignment*;
};

} // namespace eelgrasspost::ownership
