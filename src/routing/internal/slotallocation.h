#pragma once

#include <span>

#include "eelgrasspost/routing/routingtypes.h"
#include "routingplan.h"

namespace eelgrasspost::routing {

/** A slot of an own worker that is reserved for a request. */
struct SlotGrant
{
  ServicePlanPtr mPlan;
  /** Null when no slot was got. */
  const PlannedWorker* mWorker = nullptr;
  Refusal mRefusal = Refusal::None;
};

/** Workers that a request has been tried on. */
using TriedWorkers = std::vector<const ownership::WorkerLease*>;

/** Slots that may be used of an own worker now; 0 when none. */
auto UsableSlots(const PlannedWorker& aWorker, base::MonotonicTime aNow)
  -> std::int64_t;

/** Usable slots of all own workers of a service, used or free. */
auto UsableSlots(const ServicePlan& aPlan, base::MonotonicTime aNow)
  -> std::int64_t;

/** Reserves a slot without waiting, on none of the workers tried. */
auto TryReserveSlot(const ServicePlanPtr& aPlan,
                    ChoicePolicy aPolicy,
                    const TriedWorkers& aTried) -> SlotGrant;

/** Reserves a slot unless others wait for one. */
auto TryReserveSlotIfQueueEmpty(const ServicePlanPtr& aPlan,
                                ChoicePolicy aPolicy) -> SlotGrant;

/** What a request with this deadline would meet in the queue. */
auto ReadQueueStatus(const ServicePlan& aPlan, base::MonotonicTime aDeadline)
  -> QueueStatus;

/** Waits for a slot in the queue of the service, or refuses at once. */
auto WaitForSlot(ServicePlanPtr aPlan,
                 ChoicePolicy aPolicy,
                 base::MonotonicTime aDeadline) -> net::Task<SlotGrant>;

/** Gives free slots to those that wait, earliest deadline first. */
auto WakeWaiters(const ServicePlanPtr& aPlan, ChoicePolicy aPolicy) -> void;

/** Ends the wait of all waiters of a service that has no usable slot here any
 * more, as when its workers have been handed on. */
auto RefuseWaitersWithoutSlots(const ServicePlan& aPlan) -> void;

/** Wakes the waiters of all services of a worker on which a slot got free. */
auto WakeWaitersOfWorker(const RoutingPlan& aPlan,
                         std::string_view aWorker,
                         ChoicePolicy aPolicy) -> void;

} // namespace eelgrasspost::routing
