#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/membership/imembership.h"
#include "eelgrasspost/net/messages.h"
#include "eelgrasspost/ownership/iownership.h"
#include "eelgrasspost/platform/itable.h"
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

/** What ownership works with. */
struct OwnershipParts
{
  platform::IVmList& mVmList;
  platform::IWorker& mWorker;
  platform::ITable& mTable;
  membership::IMembership& mMembership;
  net::MessageClient& mMessages;
  base::Metrics& mMetrics;
  /** Executor of thread 0. */
  net::asio::any_io_executor mControl;
};

auto MakeOwnership(OwnershipParts aParts, OwnershipOptions aOptions)
  -> std::unique_ptr<IOwnership>;

/** Takes workers over that other entries hand on; called before Listen(). */
auto HandleHandOvers(net::MessageServer& aServer, IOwnership& aOwnership)
  -> void;

} // namespace eelgrasspost::ownership
