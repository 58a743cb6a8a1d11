#include "jobupdate.h"

#include <algorithm>

namespace eelgrasspost::dispatch {

namespace {

/** The store accepts 100 items and 1 MB per transaction; the limits leave room
 * for the fence and for the encoding. */
constexpr std::size_t kMaxItems = 95;
constexpr std::size_t kMaxBytes = 450'000;

template<typename T>
auto AppendAll(std::vector<T>& aTo, const std::vector<T>& aFrom) -> void
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

} // namespace

auto operator+(const TransactionSize& aLeft, const TransactionSize& aRight)
  -> TransactionSize
{
  return { aLeft.mItems + aRight.mItems,
           aLeft.mBytes + aRight.mBytes,
           std::max(aLeft.mLargestRow, aRight.mLargestRow) };
}

auto SizeOf(const StoreTransaction& aTransaction) -> TransactionSize
{
  TransactionSize out;
  out.mItems = aTransaction.mExpected.size() + aTransaction.mWrites.size() +
               aTransaction.mRemovals.size();
  for (const auto& it : aTransaction.mWrites) {
    out.mBytes += it.mValue.size();
    out.mLargestRow = std::max(out.mLargestRow, it.mValue.size());
  }
  return out;
}

auto FitsBeside(const TransactionSize& aOthers, const TransactionSize& aSize)
  -> bool
{
  const auto total = aOthers + aSize;
  return total.mItems <= kMaxItems && total.mBytes <= kMaxBytes;
}

auto AppendChanges(StoreTransaction& aTransaction,
                   const StoreTransaction& aChanges) -> void
{
  AppendAll(aTransaction.mExpected, aChanges.mExpected);
  AppendAll(aTransaction.mWrites, aChanges.mWrites);
  AppendAll(aTransaction.mRemovals, aChanges.mRemovals);
}

auto FindReplyRow(const StoreReply& aReply, const RowKey& aKey)
  -> const StoreRow*
{
  const auto it = std::find_if(
    aReply.mRows.begin(), aReply.mRows.end(), [&](const StoreRow& aRow) {
      return aRow.mTable == aKey.mTable && aRow.mKey == aKey.mKey;
    });
  return it == aReply.mRows.end() ? nullptr : &*it;
}

} // namespace eelgrasspost::dispatch
