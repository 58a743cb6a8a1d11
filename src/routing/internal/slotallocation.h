#pragma once

#include <span>

#include "eelgrasspost/routing/routingtypes.h"
#include "routingplan.h"

namespace eelgrasspost::routing {

/** A slot of an owned worker that is reserved for a request. */
struct SlotGrant
{
  ServicePlanPtr mPlan;
  /** Null if no slot was reserved. */
  const PlannedWorker* mWorker = nullptr;
  Refusal mRefusal = Refusal::None;
};

/** Workers on which a request has been attempted. */
using TriedWorkers = std::vector<const ownership::WorkerLease*>;

/** Slots of an owned worker that may be used now, in use or free. */
auto UsableSlots(const PlannedWorker& aWorker, base::MonotonicTime aNow)
  -> std::int64_t;

/** Usable slots of all owned workers of a service, in use or free. */
auto UsableSlots(const ServicePlan& aPlan, base::MonotonicTime aNow)
  -> std::int64_t;

/** Reserves a slot without waiting, on a worker that is not in aTried. */
auto TryReserveSlot(const ServicePlanPtr& aPlan,
                    ChoicePolicy aPolicy,
                    const TriedWorkers& aTried) -> SlotGrant;

/** Reserves a slot without waiting, unless other requests wait for one. */
auto TryReserveSlotIfQueueEmpty(const ServicePlanPtr& aPlan,
                                ChoicePolicy aPolicy) -> SlotGrant;

/** The state of the queue for a new request with this deadline. */
auto ReadQueueStatus(const ServicePlan& aPlan, base::MonotonicTime aDeadline)
  -> QueueStatus;

/** Waits for a slot in the queue of the service, or refuses immediately. */
auto WaitForSlot(ServicePlanPtr aPlan,
                 ChoicePolicy aPolicy,
                 base::MonotonicTime aDeadline) -> net::Task<SlotGrant>;

/** Grants free slots to waiters, earliest deadline first. */
auto WakeWaiters(const ServicePlanPtr& aPlan, ChoicePolicy aPolicy) -> void;

/** Refuses all waiters of a service if this entry has no usable slot for it any
 * more, for example after its workers were handed over. */
auto RefuseWaitersWithoutSlots(const ServicePlan& aPlan) -> void;

/** Grants free slots to the waiters of all services of a worker on which a slot
 * was released. */
auto WakeWaitersOfWorker(const RoutingPlan& aPlan,
                         std::string_view aWorker,
                         ChoicePolicy aPolicy) -> void;

} // namespace eelgrasspost::routing
