#pragma once

#include <deque>
#include <memory>
#include <set>

#include <boost/asio/steady_timer.hpp>

#include "eelgrasspost/idempotency/idempotencymodule.h"

namespace eelgrasspost::idempotency {

/** Outcome of one write of a batch. */
enum class WriteOutcome : std::uint8_t
{
  Written,
  /** A write of the batch had a version conflict; nothing was written. */
  BatchConflict,
  /** The write may have been applied or may still be. */
  NoResponse,
  /** The write did not reach the table. */
  NotReached,
};

/**
 * Combines concurrent writes into one transaction (group commit). Two writes of
 * the same row never share a transaction, since both could then succeed. Must
 * be used on one thread only.
 */
class WriteBatcher
{
public:
  WriteBatcher(IdempotencyDependencies& aDependencies,
               const IdempotencyOptions& aOptions);

  auto Write(platform::TableWrite aWrite, base::MonotonicTime aDeadline)
    -> net::Task<WriteOutcome>;

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;
  using Batch = std::vector<PendingPtr>;

  auto StartSendLoop() -> void;
  auto SendLoop() -> net::Task<void>;
  auto TakeBatch() -> Batch;
  auto Commit(Batch aBatch) -> net::Task<void>;

  IdempotencyDependencies& mDependencies;
  const IdempotencyOptions& mOptions;
  base::Counter& mCommits;
  std::deque<PendingPtr> mQueue;
  std::set<std::string> mRowsInFlight;
  base::MonotonicTime mNextCommitAt;
  int mCommitsInFlight = 0;
  bool mIsSending = false;
};

} // namespace eelgrasspost::idempotency
