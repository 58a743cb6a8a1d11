#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"

namespace eelgrasspost::dispatch {

/** The changes that store the state of one job. */
struct JobUpdate
{
  std::string mId;
  cell::JobState mState = cell::JobState::Running;
  bool mIsFinal = false;
  /** The changes that are left take further transactions if not set. */
  bool mIsComplete = true;
  /** Pieces of the progress that are written or removed. */
  std::vector<std::uint64_t> mPieces;
  /** Rows of pieces of the generation are still to be removed afterwards. */
  bool mLeavesRows = false;
  std::uint64_t mGeneration = 0;
  /** Without the partition and its fence. */
  StoreTransaction mChanges;
};

/** A job whose state the store has rejected. */
struct SetAsideJob
{
  MonotonicTime mRetryAt{};
  /** The rejected state was the final one. */
  bool mIsFinal = false;
};

/** Whether the state of a job that was set aside is to be sent again. The final
 * state takes other changes than the one that was rejected. */
inline auto IsRetryDue(const SetAsideJob& aJob,
                       bool aIsFinal,
                       MonotonicTime aNow) -> bool
{
  return aNow >= aJob.mRetryAt || (aIsFinal && !aJob.mIsFinal);
}

struct TransactionSize
{
  std::size_t mItems = 0;
  /** Bytes of the values that are written. */
  std::size_t mBytes = 0;
  std::size_t mLargestRow = 0;
};

auto operator+(const TransactionSize& aLeft, const TransactionSize& aRight)
  -> TransactionSize;
auto SizeOf(const StoreTransaction& aTransaction) -> TransactionSize;
/** Whether changes can join others in a transaction with a fence. */
auto FitsBeside(const TransactionSize& aOthers, const TransactionSize& aSize)
  -> bool;

auto AppendChanges(StoreTransaction& aTransaction,
                   const StoreTransaction& aChanges) -> void;

/** The row of a reply with a key; null if there is none. */
auto FindReplyRow(const StoreReply& aReply, const RowKey& aKey)
  -> const StoreRow*;

} // namespace eelgrasspost::dispatch
