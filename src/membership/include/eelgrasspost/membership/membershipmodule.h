#pragma once

#include <functional>
#include <memory>

#include "eelgrasspost/membership/imembership.h"

namespace eelgrasspost::membership {

struct MembershipOptions
{
  base::Milliseconds mHeartbeatInterval{ 300 };
  /** Silence after which a member of the own failure domain is suspected, and
   * held dead; each doubling of the domain's entries adds two intervals. */
  base::Milliseconds mSuspectAfter{ 1000 };
  base::Milliseconds mDeadAfter{ 2000 };
  /** Members of other failure domains are sampled: their times are longer. */
  int mOtherDomainTimeoutFactor = 3;
  /** Dead members are forgotten, and leaving workers expire, after a while. */
  base::Milliseconds mForgetAfter{ 60000 };
  base::Milliseconds mLeavingWorkerExpiry{ 600000 };
  /** Members that get a heartbeat at each interval. */
  std::size_t mFanout = 3;
  /** Longest datagram, in bytes. */
  std::size_t mMaxDatagramBytes = 900;
};

using SendDatagram = std::function<void(const net::Address&, std::string_view)>;

auto MakeMembership(MemberIdentity aSelf,
                    MembershipOptions aOptions,
                    SendDatagram aSend) -> std::unique_ptr<IMembership>;

} // namespace eelgrasspost::membership
