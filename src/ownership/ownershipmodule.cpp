#include "eelgrasspost/ownership/ownershipmodule.h"

#include "internal/ownership.h"

namespace eelgrasspost::ownership {

auto MakeOwnership(platform::IVmList& aVmList,
                   platform::IWorker& aWorker,
                   membership::IMembership& aMembership,
                   OwnershipOptions aOptions) -> std::unique_ptr<IOwnership>
{
  return std::make_unique<Ownership>(aVmList, aWorker, aMembership, aOptions);
}

} // namespace eelgrasspost::ownership
