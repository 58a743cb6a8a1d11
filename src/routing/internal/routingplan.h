#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "eelgrasspost/membership/membershiptypes.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"
#include "routingstate.h"

namespace eelgrasspost::routing {

/** An endpoint of a service on a worker that this entry owns. */
struct PlannedWorker
{
  ownership::WorkerLeasePtr mHold;
  net::Address mAddress;
  std::shared_ptr<WorkerState> mWorker;
  EndpointStatePtr mEndpoint;
};

/** Another entry that owns workers of a service. */
struct PlannedPeer
{
  std::string mId;
  net::Address mControl;
  std::shared_ptr<PeerState> mState;
};

/** All that routing a service's request needs. */
struct ServicePlan
{
  std::string mName;
  bool mIdempotent = false;
  std::int64_t mRetryPercent = 0;
  std::int64_t mQueueLimit = 0;
  /** Slots of the own workers. */
  std::int64_t mSlots = 0;
  std::vector<PlannedWorker> mOwnedWorkers;
  /** Owners in this failure domain, and in others. */
  std::vector<PlannedPeer> mSameDomainPeers;
  std::vector<PlannedPeer> mOtherDomainPeers;
  std::shared_ptr<ServiceState> mState;
};

struct StringHash : std::hash<std::string_view>
{
  using is_transparent = void;
};

template<typename T>
using StringMap =
  std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

/** Immutable; replaced whole when a release note, ownership or the set of
 * entries changes, so that a request reads one snapshot. */
struct RoutingPlan
{
  StringMap<ServicePlanPtr> mServices;
  /** Services with an endpoint on an own worker, by its id. */
  StringMap<std::vector<ServicePlanPtr>> mServicesOfWorker;

  /** Null when the service is not in force. */
  auto FindService(std::string_view aName) const -> ServicePlanPtr;
};

/** What a plan is built from. */
struct PlanInputs
{
  std::shared_ptr<const releasenote::ReleaseState> mNotes;
  std::shared_ptr<const ownership::OwnershipView> mOwnership;
  std::shared_ptr<const membership::MemberView> mMembers;
};

/** Whether two inputs give the same plan; the load of members plays no part.
 */
auto GivesSamePlan(const PlanInputs& aLeft, const PlanInputs& aRight) -> bool;

/** Learned state that outlives plans; belongs to one thread. */
struct RoutingStates
{
  StringMap<std::shared_ptr<ServiceState>> mServices;
  StringMap<std::shared_ptr<WorkerState>> mWorkers;
  StringMap<std::shared_ptr<PeerState>> mPeers;
  /** By service and worker. */
  StringMap<StringMap<EndpointStatePtr>> mEndpoints;
};

/**
 * Builds the plan of an entry. States that the plan uses are taken from those
 * learned, or added to them; states of what has gone are removed.
 */
auto BuildPlan(const PlanInputs& aInputs,
               const membership::MemberIdentity& aSelf,
               RoutingStates& aStates,
               base::Metrics& aMetrics) -> std::shared_ptr<const RoutingPlan>;

} // namespace eelgrasspost::routing
