#pragma once

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/net/http.h"
#include "eelgrasspost/routing/routingtypes.h"
#include "routingplan.h"

namespace eelgrasspost::routing {

/** One try of a request at an endpoint. */
struct AttemptResult
{
  ServiceOutcome mOutcome;
  /** Whether it speaks against the endpoint's health. */
  bool mIsFailure = false;
  /** Whether the endpoint said that it leaves. */
  bool mIsLeaving = false;
  base::Microseconds mTime{ 0 };
};

/**
 * Sends a request to a worker whose slot is reserved, and gives the slot back
 * unless it is not known whether the endpoint has ended.
 */
auto RunAttempt(net::HttpClient& aHttp,
                const PlannedWorker& aWorker,
                const ServiceRequest& aRequest,
                std::string aAttemptId) -> net::Task<AttemptResult>;

/** Learns from an attempt: service time, limit and health of the endpoint. */
auto RecordResult(const AttemptResult& aResult,
                  const ServicePlan& aPlan,
                  const PlannedWorker& aWorker) -> void;

/** The outcome of a request that no endpoint ran. */
auto NotRun(const base::ErrorKind& aKind, std::string_view aDetail)
  -> ServiceOutcome;

} // namespace eelgrasspost::routing
