#include "tablewatch.h"

#include <set>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/iopool.h"
#include "rangepages.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** Delay before a failed call is retried. */
constexpr auto kRetryInterval = Milliseconds(250);
/** Time beyond the wait after which a feed has failed. A slow store replies
 * sooner; a configuration has to be read within 3 s of a silence. */
constexpr auto kFeedReplyTimeout = Milliseconds(800);
/** Delay after a call without a reply; the store is probed meanwhile. */
constexpr auto kTimeoutPause = Milliseconds(50);
/** Rows per reply. */
constexpr std::uint32_t kPageRows = 500;

} // namespace

TableWatch::TableWatch(net::IoPool& aPool,
                       ISharedStore& aStore,
                       std::string aTable,
                       Milliseconds aWait,
                       Milliseconds aPause)
  : mStore(aStore)
  , mTable(std::move(aTable))
  , mWait(aWait)
  , mPause(aPause)
  , mResumed(aPool.Executor(0))
{
}

auto TableWatch::Apply(const StoreRow& aRow, std::uint64_t aReplyVersion)
  -> void
{
  if (aRow.mIsRemoved) {
    if (mVersions.erase(aRow.mKey) > 0) {
      mOnRemoved(aRow.mKey, aRow.mVersion > 0 ? aRow.mVersion : aReplyVersion);
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
  const auto sentAt = base::BootNow();
  for (auto hasMore = true; hasMore;) {
    const auto reply = co_await mStore.ReadRange(
      query, base::MonotonicClock::now() + kStoreTimeout);
    if (reply.mOutcome != StoreOutcome::Done) {
      mFailedAt = sentAt;
      co_return false;
    }
    // The feed delivers changes between two pages again.
    version = version == 0 ? reply.mVersion : version;
    for (const auto& it : reply.mRows) {
      seen.insert(it.mKey);
      Apply(it, reply.mVersion);
    }
    hasMore = ContinueAfter(query, reply);
  }
  // A row of the first page may have changed since.
  mConfirmedAt = sentAt;
  std::vector<std::string> removed;
  for (const auto& [key, it] : mVersions) {
    if (!seen.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const auto& it : removed) {
    mVersions.erase(it);
    mOnRemoved(it, version);
  }
  mAfter = version;
  mIsLoaded = true;
  mIsCurrent = true;
  co_return true;
}

auto TableWatch::SetActive(bool aIsActive) -> void
{
  if (aIsActive == mIsActive) {
    return;
  }
  mIsActive = aIsActive;
  if (mIsActive) {
    mIsLoaded = false;
    mIsCurrent = false;
    mResumed.cancel();
  }
}

auto TableWatch::Run(OnRow aOnRow, OnRemoved aOnRemoved, OnAnswer aOnAnswer)
  -> net::Task<void>
{
  mOnRow = std::move(aOnRow);
  mOnRemoved = std::move(aOnRemoved);
  mOnAnswer = std::move(aOnAnswer);
  while (true) {
    if (!mIsActive) {
      mResumed.expires_at(MonotonicTime::max());
      boost::system::error_code ec;
      // SetActive cancels the wait, which then ends with an error.
      co_await mResumed.async_wait(
        net::asio::redirect_error(net::asio::use_awaitable, ec));
    } else if (mIsCurrent) {
      co_await FollowFeed();
    } else if (co_await ReadTable()) {
      mOnAnswer();
    } else {
      co_await net::Sleep(kRetryInterval);
    }
  }
}

auto TableWatch::FollowFeed() -> net::Task<void>
{
  FeedQuery query;
  query.mTable = mTable;
  query.mAfter = mAfter;
  query.mWaitMs = mWait.count();
  const auto sentAt = base::BootNow();
  const auto reply = co_await mStore.ReadFeed(
    query, base::MonotonicClock::now() + mWait + kFeedReplyTimeout);
  if (reply.mOutcome == StoreOutcome::Done) {
    mConfirmedAt = sentAt;
    for (const auto& it : reply.mRows) {
      Apply(it, reply.mVersion);
    }
    mAfter = std::max(mAfter, reply.mVersion);
    mOnAnswer();
    // A reader that is behind would fall further behind by a pause.
    if (mPause.count() > 0 && reply.mRows.size() < kPageRows) {
      co_await net::Sleep(mPause);
    }
  } else if (reply.mOutcome == StoreOutcome::HistoryTruncated) {
    mIsCurrent = false;
  } else {
    mFailedAt = sentAt;
    const auto wasImmediate = base::BootNow() - sentAt < kRetryInterval;
    co_await net::Sleep(wasImmediate ? kRetryInterval : kTimeoutPause);
  }
}

} // namespace eelgrasspost::dispatch
