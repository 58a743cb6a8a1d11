#include "eelgrasspost/ownership/ownershipmodule.h"

#include "internal/ownership.h"

namespace eelgrasspost::ownership {

auto MakeOwnership(OwnershipDependencies aDependencies,
                   OwnershipOptions aOptions) -> std::unique_ptr<IOwnership>
{
  return std::make_unique<Ownership>(std::move(aDependencies), aOptions);
}

auto RegisterHandOverHandler(net::MessageServer& aServer,
                             IOwnership& aOwnership) -> void
{
  net::RegisterTypedHandler<HandOverRequest, HandOverReply>(
    aServer,
    net::MessageKind::HandOver,
    [&aOwnership](HandOverRequest aRequest) -> net::Task<HandOverReply> {
      co_return co_await aOwnership.AcceptHandOver(std::move(aRequest));
    });
}

} // namespace eelgrasspost::ownership
