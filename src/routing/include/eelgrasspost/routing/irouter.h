#pragma once

#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/routing/routingtypes.h"

namespace eelgrasspost::routing {

/** Brings requests to slots of workers. */
class IRouter
{
public:
  virtual ~IRouter() = default;

  /** Runs a request on an own worker or forwards it; any pool thread. */
  virtual auto Route(ServiceRequest aRequest) -> net::Task<ServiceOutcome> = 0;
  /** Runs a request on an own worker only. */
  virtual auto RouteLocally(ServiceRequest aRequest)
    -> net::Task<ServiceOutcome> = 0;
  /** Keeps the routing plan and this entry's load up to date until the process
   * ends; belongs to thread 0. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::routing
