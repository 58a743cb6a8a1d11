#include "eelgrasspost/audit/auditmodule.h"

#include "internal/audittrail.h"

namespace eelgrasspost::audit {

auto MakeAuditTrail(platform::ITable& aTable, AuditRetention aRetention)
  -> std::unique_ptr<IAuditTrail>
{
  return std::make_unique<AuditTrail>(aTable, aRetention);
}

} // namespace eelgrasspost::audit
