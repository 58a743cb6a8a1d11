#pragma once

#include <memory>

#include "eelgrasspost/platform/itable.h"

namespace eelgrasspost::platform {

struct GroupCommitOptions
{
  /** How long a transaction waits for others to join it. */
  base::Milliseconds mWindow{ 5 };
  /** Most rows in one table transaction. */
  std::size_t mMostRows = 200;
  /** Longest time for a group's table transaction. */
  base::Milliseconds mTimeout{ 2000 };
};

/**
 * Joins small transactions whose rows are disjoint into one of the table's.
 * On a conflict the group is split, so that one loser does not fail the rest.
 */
class IGroupCommitter
{
public:
  virtual ~IGroupCommitter() = default;

  /** As ITable::Commit, for one small transaction. Callable from any thread.
   * A transaction whose deadline passes before its group is sent gives
   * kStoreBusy and is not written. */
  virtual auto Commit(std::vector<TableWrite> aWrites,
                      base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> = 0;
};

/** The groups are sent on the executor, all for one use of the table. */
auto MakeGroupCommitter(ITable& aTable,
                        TableUse aUse,
                        net::asio::any_io_executor aExecutor,
                        GroupCommitOptions aOptions)
  -> std::unique_ptr<IGroupCommitter>;

} // namespace eelgrasspost::platform
