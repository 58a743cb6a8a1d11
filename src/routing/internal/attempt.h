#pragma once

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/routing/routingtypes.h"
#include "routingplan.h"

namespace eelgrasspost::routing {

/** Result of one attempt to run a request at an endpoint. */
struct AttemptResult
{
  ServiceOutcome mOutcome;
  /** Whether it counts as a failure in the endpoint's health. */
  bool mIsFailure = false;
  /** Whether the endpoint refused because its worker is leaving. */
  bool mIsLeaving = false;
  base::Microseconds mTime{ 0 };
};

/**
 * Sends a request to a worker on which a slot is reserved. Releases the slot
 * unless the request may still be running at the endpoint.
 */
auto RunAttempt(net::HttpClient& aHttp,
                const PlannedWorker& aWorker,
                const ServiceRequest& aRequest,
                std::string aAttemptId) -> net::Task<AttemptResult>;

/** Updates the service time, the concurrency limit of the worker, the health
 * of the endpoint and the retry budget from the result of an attempt. */
auto RecordResult(const AttemptResult& aResult,
                  const ServicePlan& aPlan,
                  const PlannedWorker& aWorker) -> void;

/** Makes the outcome of a request that no endpoint ran. */
auto NotRun(const base::ErrorKind& aKind, std::string_view aDetail)
  -> ServiceOutcome;

} // namespace eelgrasspost::routing
