#pragma once

#include "eelgrasspost/idempotency/iidempotency.h"
#include "eelgrasspost/routing/irouter.h"

namespace eelgrasspost::routing {

/**
 * Routes a request of a service that is not idempotent: claims its key first,
 * records its end afterwards, and gives a repeat the recorded answer.
 */
auto RouteAtMostOnce(IRouter& aRouter,
                     idempotency::IIdempotency& aKeys,
                     ServiceRequest aRequest) -> net::Task<ServiceOutcome>;

} // namespace eelgrasspost::routing
