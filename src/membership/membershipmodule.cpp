#include "eelgrasspost/membership/membershipmodule.h"

#include "internal/membership.h"

namespace eelgrasspost::membership {

auto MakeMembership(MemberIdentity aSelf,
                    MembershipOptions aOptions,
                    SendDatagram aSend) -> std::unique_ptr<IMembership>
{
  return std::make_unique<Membership>(
    std::move(aSelf), aOptions, std::move(aSend));
}

} // namespace eelgrasspost::membership
