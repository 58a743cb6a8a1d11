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
 * Batches transactions of a store partition that arrive while another
 * transaction of the partition is in flight. A partition executes transactions
 * one after the other, so without batching the latency of a slow store would
 * grow with each waiting caller.
 */
class CommitBatcher
{
public:
  using Send =
    std::function<net::Task<StoreReply>(StoreTransaction, MonotonicTime)>;

  explicit CommitBatcher(Send aSend);

  /** Like ISharedStore::Commit, but refuses a transaction without sending it if
   * recent commit times suggest that it would miss its deadline. */
  auto Commit(StoreTransaction aTransaction, MonotonicTime aDeadline)
    -> net::Task<StoreReply>;

private:
  struct PendingCommit;
  using Batch = std::vector<std::shared_ptr<PendingCommit>>;
  struct Partition
  {
    std::deque<std::shared_ptr<PendingCommit>> mQueue;
    bool mIsBusy = false;
    /** Smoothed duration of a transaction. */
    Milliseconds mCommitTime{ 10 };
  };

  auto Drain(std::string aPartition) -> net::Task<void>;
  auto TakeBatch(Partition& aPartition) -> Batch;
  auto SendBatch(Partition& aPartition, Batch aBatch) -> net::Task<void>;

  Send mSend;
  std::map<std::string, Partition> mPartitions;
};

} // namespace eelgrasspost::dispatch
