#pragma once

#include <functional>
#include <map>
#include <string>

#include "eelgrasspost/dispatch/iplatform.h"

namespace eelgrasspost::dispatch {

/**
 * Follows one table of the store (rows of the empty part): reads it whole,
 * then its feed. When the feed's history is gone it reads the table again.
 */
class TableWatch
{
public:
  /** A row that is new or has changed. */
  using OnRow = std::function<void(const StoreRow&)>;
  /** A row that is gone. */
  using OnRemoved = std::function<void(const std::string& aKey)>;
  /** After each answer of the store. */
  using OnAnswer = std::function<void()>;

  /** aPause: time in which further changes gather before the next call. */
  TableWatch(ISharedStore& aStore,
             std::string aTable,
             Milliseconds aWait,
             Milliseconds aPause);

  auto Run(OnRow aOnRow, OnRemoved aOnRemoved, OnAnswer aOnAnswer)
    -> net::Task<void>;
  /** Whether the table was read once. */
  auto IsLoaded() const -> bool { return mIsLoaded; }
  /** Time before which the last answered call was sent. */
  auto ConfirmedAt() const -> MonotonicTime { return mConfirmedAt; }

private:
  auto ReadTable() -> net::Task<bool>;
  auto Apply(const StoreRow& aRow) -> void;

  ISharedStore& mStore;
  std::string mTable;
  Milliseconds mWait;
  Milliseconds mPause;
  OnRow mOnRow;
  OnRemoved mOnRemoved;
  std::map<std::string, std::uint64_t> mVersions;
  std::uint64_t mAfter = 0;
  bool mIsLoaded = false;
  MonotonicTime mConfirmedAt{};
};

} // namespace eelgrasspost::dispatch
