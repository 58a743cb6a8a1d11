#pragma once

#include "eelgrasspost/idempotency/iidempotency.h"
#include "eelgrasspost/routing/irouter.h"

namespace eelgrasspost::routing {

/**
 * Routes a request to a service that is not idempotent: claims the idempotency
 * key before running it, records the result afterwards, and answers a repeated
 * request with the recorded response.
 */
auto RouteAtMostOnce(IRouter& aRouter,
                     idempotency::IIdempotency& aKeys,
                     ServiceRequest aRequest) -> net::Task<ServiceOutcome>;

} // namespace eelgrasspost::routing
