#pragma once

#include <deque>

#include "eelgrasspost/audit/audittypes.h"
#include "eelgrasspost/ownership/ownershiptypes.h"
#include "eelgrasspost/platform/itable.h"

namespace eelgrasspost::ownership {

/**
 * Writes audit records of ownership changes to the table in batches. Ownership
 * does not wait for the table: while it is unreachable, records are queued. If
 * the queue is full, the oldest records are dropped and the next one states
 * their number. Used on thread 0.
 */
class OwnershipAudit
{
public:
  OwnershipAudit(platform::ITable& aTable, std::string aActor);

  /** Records the leases that differ between two views. */
  auto RecordChanges(const OwnershipView& aBefore, const OwnershipView& aAfter)
    -> void;
  auto RecordPlannedStop() -> void;
  /** Writes all pending records, or gives up at the deadline. */
  auto FlushAll(base::MonotonicTime aDeadline) -> net::Task<void>;
  /** Writes batches until the process ends. */
  auto Run() -> net::Task<void>;

private:
  /** Writes one batch. */
  auto Flush(base::MonotonicTime aDeadline) -> net::Task<void>;
  auto Record(audit::AuditObjectKind aKind,
              std::string_view aAction,
              std::string_view aObject,
              std::string_view aBefore,
              std::string_view aAfter) -> void;

  platform::ITable& mTable;
  std::string mActor;
  std::uint64_t mSequence = 0;
  std::uint64_t mDropped = 0;
  bool mIsFlushing = false;
  std::deque<platform::TableWrite> mPending;
  /** The batch being written. After a commit of unknown outcome the same batch
   * is written again. */
  std::vector<platform::TableWrite> mBatch;
};

} // namespace eelgrasspost::ownership
