#pragma once

#include <deque>
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

/** In-memory store with transactions, range reads and feeds. */
class FakeStore final : public ISharedStore
{
public:
  using Key = std::tuple<std::string, std::string, std::string>;

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
    out.mOutcome = StoreOutcome::Done;
    out.mVersion = mVersion;
    for (const auto& [key, it] : mRows) {
      const auto isInRange =
        it.mTable == aQuery.mTable && it.mPartition == aQuery.mPartition &&
        it.mKey >= aQuery.mFrom &&
        (aQuery.mBefore.empty() || it.mKey < aQuery.mBefore);
      if (!isInRange) {
        continue;
      }
      if (aQuery.mLimit > 0 && out.mRows.size() == aQuery.mLimit) {
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
      out.mOutcome = StoreOutcome::Conflict;
      return out;
    }
    ++mVersion;
    for (const auto& it : aTransaction.mWrites) {
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
