#pragma once

#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

#include "eelgrasspost/base/clock.h"

namespace eelgrasspost::routing {

/** Position in the queue: by deadline, then by arrival. */
struct WaitKey
{
  base::MonotonicTime mDeadline;
  std::uint64_t mArrival = 0;

  auto operator<=>(const WaitKey&) const = default;
};

/** Waiting requests ordered by deadline. Not thread-safe. */
template<typename T>
class WaitQueue
{
public:
  auto Push(base::MonotonicTime aDeadline, T aWaiter) -> WaitKey
  {
    const auto key = WaitKey{ aDeadline, ++mArrivals };
    mWaiters.emplace(key, std::move(aWaiter));
    return key;
  }

  /** Removes and returns the waiter with the earliest deadline. */
  auto Pop() -> std::optional<T>
  {
    if (mWaiters.empty()) {
      return std::nullopt;
    }
    auto out = std::move(mWaiters.begin()->second);
    mWaiters.erase(mWaiters.begin());
    return out;
  }

  /** Returns false if the waiter is no longer in the queue. */
  auto Remove(const WaitKey& aKey) -> bool { return mWaiters.erase(aKey) > 0; }

  /** Number of waiters that are served before a new one with this deadline. */
  auto CountAhead(base::MonotonicTime aDeadline) const -> std::int64_t
  {
    const auto last = mWaiters.upper_bound({ aDeadline, mArrivals });
    return std::distance(mWaiters.begin(), last);
  }

  auto Earliest() const -> std::optional<base::MonotonicTime>
  {
    if (mWaiters.empty()) {
      return std::nullopt;
    }
    return mWaiters.begin()->first.mDeadline;
  }

  auto Size() const -> std::int64_t { return std::ssize(mWaiters); }

private:
  std::map<WaitKey, T> mWaiters;
  std::uint64_t mArrivals = 0;
};

} // namespace eelgrasspost::routing
