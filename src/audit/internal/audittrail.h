#pragma once

#include "eelgrasspost/audit/auditmodule.h"

namespace eelgrasspost::audit {

class AuditTrail : public IAuditTrail
{
public:
  AuditTrail(platform::ITable& aTable, AuditRetention aRetention);

  auto Read(AuditFilter aFilter, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<AuditRecord>>> override;
  auto DeleteExpired(std::int64_t aNowMs, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::size_t>> override;

private:
  platform::ITable& mTable;
  AuditRetention mRetention;
};

} // namespace eelgrasspost::audit
