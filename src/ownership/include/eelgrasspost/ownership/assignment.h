#pragma once

#include <string>
#include <vector>

#include "eelgrasspost/membership/membershiptypes.h"
#include "eelgrasspost/ownership/ownershiptypes.h"

namespace eelgrasspost::ownership {

/**
 * Gives each worker to one live entry of its failure domain by highest random
 * weight, so that an entry's coming or going moves its share and no more.
 */
auto AssignWorkers(const std::vector<platform::VmRecord>& aWorkers,
                   const membership::MemberView& aMembers)
  -> std::vector<WorkerAssignment>;

} // namespace eelgrasspost::ownership
