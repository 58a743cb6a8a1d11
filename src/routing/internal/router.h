#pragma once

#include "eelgrasspost/routing/routingmodule.h"

namespace eelgrasspost::routing {

class Router : public IRouter
{
public:
  explicit Router(RouterParts aParts);

  auto Route(ServiceRequest aRequest) -> net::Task<ServiceOutcome> override;
  auto RouteHere(ServiceRequest aRequest) -> net::Task<ServiceOutcome> override;

private:
  /** One try at one endpoint whose slot has been reserved. */
  auto Attempt(ownership::WorkerHoldPtr aHold,
               net::Address aEndpoint,
               const ServiceRequest& aRequest) -> net::Task<ServiceOutcome>;
  /** Hands a request to the owner of one of the service's workers. */
  auto Forward(ServiceRequest aRequest,
               const releasenote::ServiceSpec& aService)
    -> net::Task<ServiceOutcome>;
  auto NewAttemptId() -> std::string;

  RouterParts mParts;
  std::atomic<std::uint64_t> mAttempts{ 0 };
};

} // namespace eelgrasspost::routing
