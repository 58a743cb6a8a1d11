#pragma once

#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/routing/routingtypes.h"

namespace eelgrasspost::routing {

/** Routes service requests to slots of workers. */
class IRouter
{
public:
  virtual ~IRouter() = default;

  /** Runs a request on an owned worker or forwards it to a peer; callable from
   * any pool thread. */
  virtual auto Route(ServiceRequest aRequest) -> net::Task<ServiceOutcome> = 0;
  /** Runs a request on an owned worker; never forwards it. */
  virtual auto RouteLocally(ServiceRequest aRequest)
    -> net::Task<ServiceOutcome> = 0;
  /** Refreshes the routing plan and publishes this entry's load until the
   * process ends; must run on thread 0. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::routing
