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
class CommitBatcher
{
public:
  using Send =
    std::function<net::Task<StoreReply>(StoreTransaction, MonotonicTime)>;

  explicit CommitBatcher(Send aSend);

  /** As ISharedStore::Commit. A transaction that cannot be answered before its
   * deadline, as far as the last ones tell, is refused and not sent. */
  auto Commit(StoreTransaction aTransaction, MonotonicTime aDeadline)
    -> net::Task<StoreReply>;

private:
  struct PendingCommit;
  using Batch = std::vector<std::shared_ptr<PendingCommit>>;
  struct Partition
  {
    std::deque<std::shared_ptr<PendingCommit>> mQueue;
    bool mIsBusy = false;
    /** Smoothed time of a transaction. */
    Milliseconds mCommitTime{ 10 };
  };

  auto Drain(std::string aPartition) -> net::Task<void>;
  auto TakeBatch(Partition& aPartition) -> Batch;
  auto SendBatch(Partition& aPartition, Batch aBatch) -> net::Task<void>;

  Send mSend;
  std::map<std::string, Partition> mPartitions;
};

} // namespace eelgrasspost::dispatch
