#pragma once

#include <memory>

#include "eelgrasspost/platform/itable.h"

namespace eelgrasspost::platform {

struct CommitBatcherOptions
{
  /** How long a batch collects transactions before it is sent. */
  base::Milliseconds mBatchDelay{ 5 };
  /** Maximum number of rows in one table transaction. */
  std::size_t mMaxRows = 200;
  /** Timeout of a batch's table transaction. */
  base::Milliseconds mTimeout{ 2000 };
};

/**
 * Combines small transactions with disjoint rows into one table transaction
 * (group commit). After a conflict the batch is split, so that one conflicting
 * transaction does not fail the others.
 */
class ICommitBatcher
{
public:
  virtual ~ICommitBatcher() = default;

  /** Like ITable::Commit, for one small transaction. Callable from any thread.
   * A transaction whose deadline passes before its batch is sent fails with
   * kStoreBusy and is not written. */
  virtual auto Commit(std::vector<TableWrite> aWrites,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
};

/** Batches are sent on the executor, all with the same table use. */
auto MakeCommitBatcher(ITable& aTable,
                       TableUse aUse,
                       net::asio::any_io_executor aExecutor,
                       CommitBatcherOptions aOptions)
  -> std::unique_ptr<ICommitBatcher>;

} // namespace eelgrasspost::platform
