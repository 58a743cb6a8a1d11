#pragma once

#include <deque>
#include <memory>
#include <set>

#include <boost/asio/steady_timer.hpp>

#include "eelgrasspost/idempotency/idempotencymodule.h"

namespace eelgrasspost::idempotency {

/** How one write of a group ended. */
enum class WriteEnd : std::uint8_t
{
  Written,
  /** A write of the group met another version; nothing was written. */
  GroupConflict,
  /** It may have taken effect, or may still do so. */
  NoAnswer,
  /** It was not sent. */
  NotReached,
};

/**
 * Gathers the writes of one moment into one transaction (group commit). Two
 * writes of one row never share a transaction, since both could then succeed.
 * Belongs to one thread.
 */
class GroupWriter
{
public:
  GroupWriter(IdempotencyParts& aParts, const IdempotencyOptions& aOptions);

  auto Write(platform::TableWrite aWrite, base::MonotonicTime aDeadline)
    -> net::Task<WriteEnd>;

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;
  using Group = std::vector<PendingPtr>;

  auto StartDraining() -> void;
  auto Drain() -> net::Task<void>;
  auto TakeGroup() -> Group;
  auto Commit(Group aGroup) -> net::Task<void>;

  IdempotencyParts& mParts;
  const IdempotencyOptions& mOptions;
  base::Counter& mCommits;
  std::deque<PendingPtr> mQueue;
  std::set<std::string> mRowsUnderWay;
  base::MonotonicTime mNextStart;
  int mUnderWay = 0;
  bool mDraining = false;
};

} // namespace eelgrasspost::idempotency
