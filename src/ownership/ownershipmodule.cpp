#include "eelgrasspost/ownership/ownershipmodule.h"

#include "internal/ownership.h"

namespace eelgrasspost::ownership {

auto MakeOwnership(OwnershipParts aParts, OwnershipOptions aOptions)
  -> std::unique_ptr<IOwnership>
{
  return std::make_unique<Ownership>(std::move(aParts), aOptions);
}

auto HandleHandOvers(net::MessageServer& aServer, IOwnership& aOwnership)
  -> void
{
  net::HandleTyped<HandOverRequest, HandOverReply>(
    aServer,
    net::MessageKind::HandOver,
    [&aOwnership](HandOverRequest aRequest) -> net::Task<HandOverReply> {
      co_return co_await aOwnership.TakeOver(std::move(aRequest));
    });
}

} // namespace eelgrasspost::ownership
