#pragma once

#include <memory>

#include "eelgrasspost/audit/iaudittrail.h"
#include "eelgrasspost/platform/itable.h"

namespace eelgrasspost::audit {

auto MakeAuditTrail(platform::ITable& aTable, AuditRetention aRetention)
  -> std::unique_ptr<IAuditTrail>;

} // namespace eelgrasspost::audit
