#pragma once

#include <functional>
#include <memory>

#include "eelgrasspost/membership/imembership.h"

namespace eelgrasspost::membership {

struct MembershipOptions
{
  base::Milliseconds mHeartbeatInterval{ 300 };
  /** Times without a heartbeat after which a member of the own failure domain
   * is suspected or declared dead. Each doubling of the domain's entries adds
   * two heartbeat intervals, as heartbeats are relayed more often. */
  base::Milliseconds mSuspectAfter{ 1000 };
  base::Milliseconds mDeadAfter{ 2000 };
  /** Factor on both timeouts for members of other failure domains, which get
   * heartbeats less often. */
  int mOtherDomainTimeoutFactor = 3;
  /** Times after which a dead member is removed and the announcement of a
   * leaving worker expires. */
  base::Milliseconds mDeadMemberExpiry{ 60000 };
  base::Milliseconds mLeavingWorkerExpiry{ 600000 };
  /** Number of members that get a heartbeat in each interval. */
  std::size_t mFanout = 3;
  std::size_t mMaxDatagramBytes = 900;
};

using SendDatagram = std::function<void(const net::Address&, std::string_view)>;

auto MakeMembership(MemberIdentity aSelf,
                    MembershipOptions aOptions,
                    SendDatagram aSend) -> std::unique_ptr<IMembership>;

} // namespace eelgrasspost::membership
