#pragma once

#include <functional>
#include <memory>

#include "eelgrasspost/membership/imembership.h"

namespace eelgrasspost::membership {

struct MembershipOptions
{
  base::Milliseconds mHeartbeatInterval{ 200 };
  /** Silence after which a member is suspected, and held dead. */
  base::Milliseconds mSuspectAfter{ 1000 };
  base::Milliseconds mDeadAfter{ 2000 };
  /** Members that get a heartbeat at each interval. */
  std::size_t mFanout = 8;
};

using SendDatagram = std::function<void(const net::Address&, std::string_view)>;

auto MakeMembership(MemberIdentity aSelf,
                    MembershipOptions aOptions,
                    SendDatagram aSend) -> std::unique_ptr<IMembership>;

} // namespace eelgrasspost::membership
