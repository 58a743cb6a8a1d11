#pragma once

#include <memory>

#include "eelgrasspost/membership/imembership.h"
#include "eelgrasspost/ownership/iownership.h"
#include "eelgrasspost/platform/ivmlist.h"
#include "eelgrasspost/platform/iworker.h"

namespace eelgrasspost::ownership {

struct OwnershipOptions
{
  base::Milliseconds mRenewInterval{ 300 };
  base::Milliseconds mLease{ 2000 };
  base::Milliseconds mCallTimeout{ 1000 };
  base::Milliseconds mVmListInterval{ 1000 };
};

auto MakeOwnership(platform::IVmList& aVmList,
                   platform::IWorker& aWorker,
                   membership::IMembership& aMembership,
                   OwnershipOptions aOptions) -> std::unique_ptr<IOwnership>;

} // namespace eelgrasspost::ownership
