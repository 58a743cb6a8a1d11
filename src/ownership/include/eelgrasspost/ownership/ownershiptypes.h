#pragma once

#include <memory>
#include <string>
#include <vector>

#include "eelgrasspost/ownership/slotledger.h"
#include "eelgrasspost/platform/platformtypes.h"

namespace eelgrasspost::ownership {

/** This entry's ownership of one worker, from a claim until it is lost,
 * handed over or replaced by a later claim. */
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

  /** The token for a command or request. Read it anew for each one: its number
   * grows when this entry fences its own requests of unknown outcome. */
  auto Token() const -> platform::FencingToken
  {
    return { mTokenNumber.load(std::memory_order_acquire), mHolder };
  }

  const platform::VmRecord mWorker;
  const std::string mIncarnation;
  SlotLedger mLedger;
  const std::string mHolder;
  std::atomic<std::uint64_t> mTokenNumber;
  /** Counted from the time at which the last successful renewal was sent. */
  std::atomic<base::MonotonicTime> mExpiresAt{};
  /** The worker gets no work before this time. */
  std::atomic<base::MonotonicTime> mUsableFrom{};
  std::atomic<bool> mIsLeaving{ false };
};

using WorkerLeasePtr = std::shared_ptr<WorkerLease>;

/** Whether new work may be sent to the worker now. */
auto IsUsable(const WorkerLease& aLease, base::MonotonicTime aNow) -> bool;

/** The entry that should own a worker. */
struct WorkerAssignment
{
  platform::VmRecord mWorker;
  /** Empty when no entry of the worker's failure domain is alive. */
  std::string mEntry;
};

/** Asks another entry to claim workers that the sender holds. */
struct HandOverRequest
{
  std::string mFrom;
  /** Whether the sender is stopping. Then the workers are accepted even if
   * the receiver's own assignment still names the sender. */
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
  /** Workers that the receiving entry holds now. */
  std::vector<std::string> mAccepted;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mAccepted);
  }
};

/** Snapshot of ownership as seen by this entry. */
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
