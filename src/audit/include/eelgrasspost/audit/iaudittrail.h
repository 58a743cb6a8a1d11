#pragma once

#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/audit/audittypes.h"
#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::audit {

/** Reads the audit records of all entries. */
class IAuditTrail
{
public:
  virtual ~IAuditTrail() = default;

  /** Returns the records that pass a filter, oldest first. */
  virtual auto Read(AuditFilter aFilter, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<AuditRecord>>> = 0;
  /** Deletes records older than the retention time, a bounded number per call,
   * and returns how many. */
  virtual auto DeleteExpired(std::int64_t aNowMs, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::size_t>> = 0;
};

} // namespace eelgrasspost::audit
