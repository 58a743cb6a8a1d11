#include "tablewatch.h"

#include <set>

#include "eelgrasspost/net/iopool.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** Delay before a failed call is retried. */
constexpr auto kRetryInterval = Milliseconds(250);
/** Rows per reply. */
constexpr std::uint32_t kPageRows = 500;

} // namespace

TableWatch::TableWatch(ISharedStore& aStore,
                       std::string aTable,
                       Milliseconds aWait,
                       Milliseconds aPause)
  : mStore(aStore)
  , mTable(std::move(aTable))
  , mWait(aWait)
  , mPause(aPause)
{
}

auto TableWatch::Apply(const StoreRow& aRow) -> void
{
  if (aRow.mIsRemoved) {
    if (mVersions.erase(aRow.mKey) > 0) {
      mOnRemoved(aRow.mKey);
    }
    return;
  }
  auto& version = mVersions[aRow.mKey];
  if (aRow.mVersion > version) {
    version = aRow.mVersion;
    mOnRow(aRow);
  }
}

auto TableWatch::ReadTable() -> net::Task<bool>
{
  std::set<std::string> seen;
  RangeQuery query;
  query.mTable = mTable;
  query.mLimit = kPageRows;
  std::uint64_t version = 0;
  for (auto hasMore = true; hasMore;) {
    const auto sentAt = base::MonotonicClock::now();
    const auto reply = co_await mStore.ReadRange(query, sentAt + kStoreTimeout);
    if (reply.mOutcome != StoreOutcome::Done) {
      co_return false;
    }
    // The feed delivers changes between two pages again.
    version = version == 0 ? reply.mVersion : version;
    for (const auto& it : reply.mRows) {
      seen.insert(it.mKey);
      Apply(it);
    }
    hasMore = reply.mHasMore && !reply.mRows.empty();
    if (hasMore) {
      query.mFrom = reply.mRows.back().mKey + '\x01';
    }
    mConfirmedAt = sentAt;
  }
  std::vector<std::string> removed;
  for (const auto& [key, it] : mVersions) {
    if (!seen.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const auto& it : removed) {
    mVersions.erase(it);
    mOnRemoved(it);
  }
  mAfter = version;
  mIsLoaded = true;
  co_return true;
}

auto TableWatch::Run(OnRow aOnRow, OnRemoved aOnRemoved, OnAnswer aOnAnswer)
  -> net::Task<void>
{
  mOnRow = std::move(aOnRow);
  mOnRemoved = std::move(aOnRemoved);
  auto isCurrent = false;
  while (true) {
    if (!isCurrent) {
      isCurrent = co_await ReadTable();
      if (!isCurrent) {
        co_await net::Sleep(kRetryInterval);
        continue;
      }
      aOnAnswer();
    }
    FeedQuery query;
    query.mTable = mTable;
    query.mAfter = mAfter;
    query.mWaitMs = mWait.count();
    const auto sentAt = base::MonotonicClock::now();
    const auto reply =
      co_await mStore.ReadFeed(query, sentAt + mWait + kStoreTimeout);
    if (reply.mOutcome == StoreOutcome::Done) {
      mConfirmedAt = sentAt;
      for (const auto& it : reply.mRows) {
        Apply(it);
      }
      mAfter = std::max(mAfter, reply.mVersion);
      aOnAnswer();
      if (mPause.count() > 0) {
        co_await net::Sleep(mPause);
      }
    } else if (reply.mOutcome == StoreOutcome::HistoryTruncated) {
      isCurrent = false;
    } else {
      co_await net::Sleep(kRetryInterval);
    }
  }
}

} // namespace eelgrasspost::dispatch
