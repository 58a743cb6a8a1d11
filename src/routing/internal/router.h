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
  /** Runs a request here, or at the entry that is expected to be sooner. */
  auto RouteByLoad(const ServicePlanPtr& aPlan, const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Places without what is known of load, as the baselines do. */
  auto RouteByBaselinePolicy(const ServicePlanPtr& aPlan,
                             const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Tries a peer; NotRun when there is none or it refuses. */
  auto ForwardTo(const ServicePlan& aPlan,
                 const PlannedPeer* aPeer,
                 const ServiceRequest& aRequest) -> net::Task<ServiceOutcome>;
  /** A peer of another failure domain, when going there pays. */
  auto ChooseSpill(const ServicePlan& aPlan, const ServiceRequest& aRequest)
    -> const PlannedPeer*;
  /** Waits for a slot here and runs the request. */
  auto QueueLocally(const ServicePlanPtr& aPlan, const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Forwards a request that found no worker here, once peers have taken the
   * workers over. */
  auto ForwardAfterTakeover(const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Runs a request in a reserved slot, and again elsewhere if it may. */
  auto RunLocally(SlotGrant aGrant, const ServiceRequest& aRequest)
    -> net::Task<ServiceOutcome>;
  /** Whether a forwarded request may be tried here after all. */
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
