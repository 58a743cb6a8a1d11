#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "eelgrasspost/base/bootclock.h"
#include "eelgrasspost/dispatch/iplatform.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::dispatch {

/**
 * Watches one table of the store (the rows of the partition with the empty
 * name): reads the table, then follows its change feed. Reads the table again
 * if the feed's history has been truncated.
 */
class TableWatch
{
public:
  /** Called for each new or changed row. */
  using OnRow = std::function<void(const StoreRow&)>;
  /** Called for each removed row. aVersion: the row is known to be absent at
   * this version of the store. */
  using OnRemoved =
    std::function<void(const std::string& aKey, std::uint64_t aVersion)>;
  /** Called after each successful reply of the store. */
  using OnAnswer = std::function<void()>;

  /** aPause: delay before each call, so that it returns several changes; not
   * after a reply with a full page of them. */
  TableWatch(net::IoPool& aPool,
             ISharedStore& aStore,
             std::string aTable,
             Milliseconds aWait,
             Milliseconds aPause);

  auto Run(OnRow aOnRow, OnRemoved aOnRemoved, OnAnswer aOnAnswer)
    -> net::Task<void>;
  /** Suspends or resumes the watch; it is active at first. After a suspension
   * the table is read again before it counts as loaded. */
  auto SetActive(bool aIsActive) -> void;
  /** Whether the table has been read since the watch was last resumed. */
  auto IsLoaded() const -> bool { return mIsActive && mIsLoaded; }
  /** All changes up to this version of the store are known. */
  auto KnownVersion() const -> std::uint64_t { return mAfter; }
  /** Time at which the last successful call was sent. */
  auto ConfirmedAt() const -> base::BootTime { return mConfirmedAt; }
  /** Time at which the last failed call was sent. */
  auto FailedAt() const -> base::BootTime { return mFailedAt; }

private:
  auto ReadTable() -> net::Task<bool>;
  auto FollowFeed() -> net::Task<void>;
  /** aReplyVersion: version of the store as of the reply with the row. */
  auto Apply(const StoreRow& aRow, std::uint64_t aReplyVersion) -> void;

  ISharedStore& mStore;
  std::string mTable;
  Milliseconds mWait;
  Milliseconds mPause;
  OnRow mOnRow;
  OnRemoved mOnRemoved;
  OnAnswer mOnAnswer;
  net::asio::steady_timer mResumed;
  bool mIsActive = true;
  std::map<std::string, std::uint64_t> mVersions;
  std::uint64_t mAfter = 0;
  bool mIsLoaded = false;
  /** The feed continues from the rows that are known. */
  bool mIsCurrent = false;
  base::BootTime mConfirmedAt{};
  base::BootTime mFailedAt{};
};

} // namespace eelgrasspost::dispatch
