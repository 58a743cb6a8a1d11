#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/dispatch/iplatform.h"

namespace eelgrasspost::dispatch {

using base::Milliseconds;

/**
 * Joins transactions of one part of the store while another one of that part is
 * under way. A partition carries out one after the other: a slow store would
 * answer each caller later than the one before.
 */
class GroupedCommits
{
public:
  using Send =
    std::function<net::Task<StoreReply>(StoreTransaction, MonotonicTime)>;

  explicit GroupedCommits(Send aSend);

  /** As ISharedStore::Commit. A transaction that cannot be answered before its
   * deadline, as far as the last ones tell, is refused and not sent. */
  auto Commit(StoreTransaction aTransaction, MonotonicTime aDeadline)
    -> net::Task<StoreReply>;

private:
  struct Waiting;
  using Group = std::vector<std::shared_ptr<Waiting>>;
  struct Partition
  {
    std::deque<std::shared_ptr<Waiting>> mQueue;
    bool mIsBusy = false;
    /** Smoothed time of a transaction. */
    Milliseconds mTook{ 10 };
  };

  auto Drain(std::string aPartition) -> net::Task<void>;
  auto TakeGroup(Partition& aPartition) -> Group;
  auto SendGroup(Partition& aPartition, Group aGroup) -> net::Task<void>;

  Send mSend;
  std::map<std::string, Partition> mPartitions;
};

} // namespace eelgrasspost::dispatch
