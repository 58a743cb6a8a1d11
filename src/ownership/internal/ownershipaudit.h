#pragma once

#include <deque>

#include "eelgrasspost/audit/audittypes.h"
#include "eelgrasspost/ownership/ownershiptypes.h"
#include "eelgrasspost/platform/itable.h"

namespace eelgrasspost::ownership {

/**
 * Audit records of ownership, written to the table in groups when it can be
 * reached. Nothing waits for them; when too many wait, the oldest are lost and
 * the next record says how many. Belongs to thread 0.
 */
class OwnershipAudit
{
public:
  OwnershipAudit(platform::ITable& aTable, std::string aActor);

  /** Notes the holds that came and went between two views. */
  auto RecordChanges(const OwnershipView& aBefore, const OwnershipView& aAfter)
    -> void;
  auto RecordPlannedStop() -> void;
  /** Writes all that waits, or gives up at the deadline. */
  auto FlushAll(base::MonotonicTime aDeadline) -> net::Task<void>;
  /** Writes groups until the process ends. */
  auto Run() -> net::Task<void>;

private:
  /** Writes one group. */
  auto Flush(base::MonotonicTime aDeadline) -> net::Task<void>;
  auto Record(audit::AuditSort aSort,
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
  /** A group whose commit is not settled; it is repeated as it is. */
  std::vector<platform::TableWrite> mBatch;
};

} // namespace eelgrasspost::ownership
