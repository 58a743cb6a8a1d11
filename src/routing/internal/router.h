#pragma once

#include "attempt.h"
#include "eelgrasspost/routing/routingmodule.h"
#include "eelgrasspost/snapshot/snapshot.h"
#include "peerchoice.h"
#include "slotallocation.h"

namespace eelgrasspost::routing {

class Router : public IRouter
{
public:
  explicit Router(RouterDependencies aDependencies);

  auto Route(ServiceRequest aRequest) -> net::Task<ServiceOutcome> override;
  auto RouteLocally(ServiceRequest aRequest)
    -> net::Task<ServiceOutcome> override;
  auto Run() -> net::Task<void> override;

private:
  /** Runs a request locally or at the peer that is expected to run it sooner.
   */
  auto RouteByLoad(const ServicePlanPtr& aPlan, const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Routes by a baseline policy: without load corrected since the last report,
   * without queueing at peers and without spilling. */
  auto RouteByBaselinePolicy(const ServicePlanPtr& aPlan,
                             const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Forwards to a peer; NotRun if the peer is null or refuses. */
  auto ForwardTo(const ServicePlan& aPlan,
                 const PlannedPeer* aPeer,
                 const ServiceRequest& aRequest) -> net::Task<ServiceOutcome>;
  /** Chooses a peer of another failure domain if spilling to it is expected to
   * be faster. */
  auto ChooseSpill(const ServicePlan& aPlan, const ServiceRequest& aRequest)
    -> const PlannedPeer*;
  /** Waits for a slot of an owned worker and runs the request. */
  auto QueueLocally(const ServicePlanPtr& aPlan, const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Forwards a request for which no owned worker is left, once peers have
   * taken over the workers. */
  auto ForwardAfterTakeover(const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Runs a request in a reserved slot; retries on other owned workers. */
  auto RunLocally(SlotGrant aGrant, const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Whether a request may run locally after forwarding it had this outcome. */
  auto MayRunLocallyAfter(const ServiceOutcome& aOutcome,
                          const ServicePlan& aPlan,
                          const ServiceRequest& aRequest) -> bool;
  auto RefreshPlan() -> void;
  auto PublishLoad() -> void;
  auto NewAttemptId() -> std::string;

  RouterDependencies mDependencies;
  PlanInputs mInputs;
  RoutingStates mStates;
  snapshot::Snapshot<RoutingPlan> mPlan;
  std::atomic<std::uint64_t> mAttempts{ 0 };
};

} // namespace eelgrasspost::routing
