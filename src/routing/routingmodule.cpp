#include "eelgrasspost/routing/routingmodule.h"

#include "internal/forward.h"
#include "internal/router.h"

namespace eelgrasspost::routing {

auto MakeRouter(RouterParts aParts) -> std::unique_ptr<IRouter>
{
  return std::make_unique<Router>(aParts);
}

auto HandleForwards(net::MessageServer& aServer, IRouter& aRouter) -> void
{
  net::HandleTyped<ForwardRequest, ForwardReply>(
    aServer,
    net::MessageKind::ForwardRequest,
    [&aRouter](ForwardRequest aForward) -> net::Task<ForwardReply> {
      auto outcome =
        co_await aRouter.RouteHere(FromForward(std::move(aForward)));
      co_return ToReply(std::move(outcome));
    });
}

} // namespace eelgrasspost::routing
