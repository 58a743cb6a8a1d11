#include "eelgrasspost/routing/routingmodule.h"

#include "internal/forward.h"
#include "internal/router.h"

namespace eelgrasspost::routing {

auto MakeRouter(RouterDependencies aDependencies) -> std::unique_ptr<IRouter>
{
  return std::make_unique<Router>(aDependencies);
}

auto RegisterForwardHandler(net::MessageServer& aServer,
                            IRouter& aRouter,
                            base::Metrics& aMetrics) -> void
{
  auto seen = std::make_shared<SeenAttempts>();
  auto& duplicates = aMetrics.FindCounter("forwards_duplicated_total");
  net::RegisterTypedHandler<ForwardRequest, ForwardReply>(
    aServer,
    net::MessageKind::ForwardRequest,
    [&aRouter, &duplicates, seen](ForwardRequest aForward) {
      return RunForward(aRouter, *seen, duplicates, std::move(aForward));
    });
}

} // namespace eelgrasspost::routing
