#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "eelgrasspost/dispatch/dispatchtypes.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::dispatch::testing {

/** Fault that a fake call simulates. */
enum class FakeFault
{
  None,
  /** The call has no effect and reports so. */
  Refuse,
  /** The call is applied, but its reply is lost. */
  LoseReply,
  /** The call has no effect and gets no reply. */
  LoseCall,
  /** The call gets no reply and is applied when the test says so. */
  ApplyLate,
};

/** In-memory store with transactions, range reads and feeds, and with the
 * limits that the platform's store has. */
class FakeStore final : public ISharedStore
{
public:
  using Key = std::tuple<std::string, std::string, std::string>;

  static constexpr std::size_t kMaxKeyBytes = 200;
  static constexpr std::size_t kMaxRowBytes = 65536;
  static constexpr std::size_t kMaxItems = 100;
  static constexpr std::size_t kMaxCallBytes = 1'000'000;
  static constexpr std::size_t kMaxRowsPerReply = 500;
  static constexpr std::size_t kMaxReplyBytes = 1'000'000;

  std::map<Key, StoreRow> mRows;
  std::uint64_t mVersion = 0;
  /** Faults of the next commits, in order. */
  std::deque<FakeFault> mFaults;
  /** Durations of the next commits, in order. */
  std::deque<Milliseconds> mDelays;
  /** Times from the execution of the next commits to their replies, in
   * order. */
  std::deque<Milliseconds> mReplyDelays;
  /** Refuses commits and does not answer reads. */
  bool mIsUnavailable = false;
  /** Refuses the calls of feeds. */
  bool mRefusesFeeds = false;
  /** Delays the replies to the calls of feeds until it is reset. */
  bool mHoldsFeeds = false;
  /** Rows per reply of a feed; 0 means no limit. */
  std::size_t mFeedLimit = 0;
  /** Durations of the next range reads, in order. */
  std::deque<Milliseconds> mReadDelays;
  /** Number of range reads so far, without those by which holders check their
   * claims. */
  std::size_t mReads = 0;
  /** Transactions that are rejected although they keep the limits. */
  std::function<bool(const StoreTransaction&)> mRejects;
  std::size_t mRejected = 0;
  std::size_t mConflicts = 0;
  /** Size of the transactions so far, without those that were rejected. */
  std::size_t mCommits = 0;
  std::size_t mWrittenRows = 0;
  std::size_t mWrittenBytes = 0;
  /** Calls that are still to be applied. */
  std::vector<StoreTransaction> mLateCalls;
  /** Removals, as feeds report them. */
  std::vector<StoreRow> mRemoved;

  auto ApplyLateCalls() -> void
  {
    for (const auto& it : mLateCalls) {
      Apply(it);
    }
    mLateCalls.clear();
  }

  auto Find(const std::string& aTable,
            const std::string& aPartition,
            const std::string& aKey) const -> const StoreRow*
  {
    const auto it = mRows.find({ aTable, aPartition, aKey });
    return it == mRows.end() ? nullptr : &it->second;
  }

  auto Commit(StoreTransaction aTransaction, MonotonicTime)
    -> net::Task<StoreReply> override
  {
    const auto fault = mFaults.empty() ? FakeFault::None : mFaults.front();
    if (!mFaults.empty()) {
      mFaults.pop_front();
    }
    if (!mDelays.empty()) {
      const auto delay = mDelays.front();
      mDelays.pop_front();
      co_await net::Sleep(delay);
    }
    StoreReply out;
    if (mIsUnavailable) {
      out.mOutcome = StoreOutcome::Refused;
      co_return out;
    }
    if (fault == FakeFault::Refuse || fault == FakeFault::LoseCall) {
      out.mOutcome = fault == FakeFault::Refuse ? StoreOutcome::Refused
                                                : StoreOutcome::Unknown;
      co_return out;
    }
    if (BreaksLimit(aTransaction) || (mRejects && mRejects(aTransaction))) {
      ++mRejected;
      out.mOutcome = StoreOutcome::Rejected;
      co_return out;
    }
    if (fault == FakeFault::ApplyLate) {
      mLateCalls.push_back(std::move(aTransaction));
      co_return out;
    }
    out = Apply(aTransaction);
    if (!mReplyDelays.empty()) {
      const auto delay = mReplyDelays.front();
      mReplyDelays.pop_front();
      co_await net::Sleep(delay);
    }
    if (fault == FakeFault::LoseReply) {
      out = {};
    }
    co_return out;
  }

  auto ReadRange(RangeQuery aQuery, MonotonicTime)
    -> net::Task<StoreReply> override
  {
    mReads += aQuery.mTable == kControlTable ? 0 : 1;
    if (!mReadDelays.empty()) {
      const auto delay = mReadDelays.front();
      mReadDelays.pop_front();
      co_await net::Sleep(delay);
    }
    StoreReply out;
    if (mIsUnavailable) {
      co_return out;
    }
    if (aQuery.mFrom.size() > kMaxKeyBytes ||
        aQuery.mBefore.size() > kMaxKeyBytes) {
      out.mOutcome = StoreOutcome::Rejected;
      co_return out;
    }
    out.mOutcome = StoreOutcome::Done;
    out.mVersion = mVersion;
    std::size_t bytes = 0;
    for (const auto& [key, it] : mRows) {
      const auto isInRange =
        it.mTable == aQuery.mTable && it.mPartition == aQuery.mPartition &&
        it.mKey >= aQuery.mFrom &&
        (aQuery.mBefore.empty() || it.mKey < aQuery.mBefore);
      if (!isInRange) {
        continue;
      }
      bytes += EncodedSize(it.mKey, it.mValue);
      const auto isFull =
        (aQuery.mLimit > 0 && out.mRows.size() == aQuery.mLimit) ||
        out.mRows.size() == kMaxRowsPerReply ||
        (!out.mRows.empty() && bytes > kMaxReplyBytes);
      if (isFull) {
        out.mHasMore = true;
        break;
      }
      out.mRows.push_back(it);
    }
    co_return out;
  }

  auto ReadFeed(FeedQuery aQuery, MonotonicTime)
    -> net::Task<StoreReply> override
  {
    do {
      co_await net::Sleep(Milliseconds(20));
    } while (mHoldsFeeds);
    StoreReply out;
    if (mRefusesFeeds) {
      out.mOutcome = StoreOutcome::Refused;
      co_return out;
    }
    out.mOutcome = StoreOutcome::Done;
    out.mVersion = mVersion;
    for (const auto& [key, it] : mRows) {
      if (it.mTable == aQuery.mTable && it.mPartition.empty() &&
          it.mVersion > aQuery.mAfter) {
        out.mRows.push_back(it);
      }
    }
    for (const auto& it : mRemoved) {
      if (it.mTable == aQuery.mTable && it.mPartition.empty() &&
          it.mVersion > aQuery.mAfter) {
        out.mRows.push_back(it);
      }
    }
    std::sort(out.mRows.begin(),
              out.mRows.end(),
              [](const StoreRow& aLeft, const StoreRow& aRight) {
                return aLeft.mVersion < aRight.mVersion;
              });
    if (mFeedLimit > 0 && out.mRows.size() > mFeedLimit) {
      out.mRows.resize(mFeedLimit);
      out.mVersion = out.mRows.back().mVersion;
    }
    co_return out;
  }

  /** Bytes of a row in a call, in which its value is base64. */
  static auto EncodedSize(const std::string& aKey, const std::string& aValue)
    -> std::size_t
  {
    constexpr std::size_t kFieldNames = 60;
    return kFieldNames + aKey.size() + (aValue.size() + 2) / 3 * 4;
  }

  static auto BreaksLimit(const StoreTransaction& aTransaction) -> bool
  {
    auto items = aTransaction.mExpected.size() + aTransaction.mRemovals.size();
    std::size_t bytes = 0;
    auto isTooLarge = false;
    for (const auto& it : aTransaction.mWrites) {
      ++items;
      bytes += EncodedSize(it.mRow.mKey, it.mValue);
      isTooLarge = isTooLarge || it.mValue.size() > kMaxRowBytes ||
                   it.mRow.mKey.size() > kMaxKeyBytes;
    }
    for (const auto& it : aTransaction.mExpected) {
      bytes += EncodedSize(it.mRow.mKey, "");
      isTooLarge = isTooLarge || it.mRow.mKey.size() > kMaxKeyBytes;
    }
    for (const auto& it : aTransaction.mRemovals) {
      bytes += EncodedSize(it.mKey, "");
    }
    return isTooLarge || items > kMaxItems || bytes > kMaxCallBytes;
  }

  auto Apply(const StoreTransaction& aTransaction) -> StoreReply
  {
    StoreReply out;
    auto isConflict = false;
    for (const auto& it : aTransaction.mExpected) {
      const auto* row =
        Find(it.mRow.mTable, aTransaction.mPartition, it.mRow.mKey);
      isConflict = isConflict || (row ? row->mVersion : 0) != it.mVersion;
      if (row) {
        out.mRows.push_back(*row);
      }
    }
    if (isConflict) {
      ++mConflicts;
      out.mOutcome = StoreOutcome::Conflict;
      return out;
    }
    ++mVersion;
    ++mCommits;
    for (const auto& it : aTransaction.mWrites) {
      ++mWrittenRows;
      mWrittenBytes += it.mValue.size();
      mRows[{ it.mRow.mTable, aTransaction.mPartition, it.mRow.mKey }] = {
        it.mRow.mTable,
        aTransaction.mPartition,
        it.mRow.mKey,
        it.mValue,
        mVersion
      };
    }
    for (const auto& it : aTransaction.mRemovals) {
      StoreRow removed;
      removed.mTable = it.mTable;
      removed.mPartition = aTransaction.mPartition;
      removed.mKey = it.mKey;
      removed.mVersion = mVersion;
      removed.mIsRemoved = true;
      mRemoved.push_back(std::move(removed));
      mRows.erase({ it.mTable, aTransaction.mPartition, it.mKey });
    }
    out.mRows.clear();
    out.mOutcome = StoreOutcome::Done;
    out.mVersion = mVersion;
    return out;
  }
};

} // namespace eelgrasspost::dispatch::testing
