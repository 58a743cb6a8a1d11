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
  ownership::WorkerLeasePtr mLease;
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

/** Everything needed to route a request to a service. */
struct ServicePlan
{
  std::string mName;
  bool mIdempotent = false;
  std::int64_t mRetryPercent = 0;
  std::int64_t mQueueLimit = 0;
  /** Total slots of the owned workers. */
  std::int64_t mSlots = 0;
  std::vector<PlannedWorker> mOwnedWorkers;
  /** Owners of workers in this failure domain. */
  std::vector<PlannedPeer> mSameDomainPeers;
  /** Owners of workers in other failure domains. */
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

/** Immutable. Replaced as a whole when the release note, the ownership or the
 * set of entries changes, so that each request reads a consistent snapshot. */
struct RoutingPlan
{
  StringMap<ServicePlanPtr> mServices;
  /** Services with an endpoint on an owned worker, by worker id. */
  StringMap<std::vector<ServicePlanPtr>> mServicesOfWorker;

  /** Returns null if the service is not in force. */
  auto FindService(std::string_view aName) const -> ServicePlanPtr;
};

/** Inputs that a plan is built from. */
struct PlanInputs
{
  std::shared_ptr<const releasenote::ReleaseState> mNotes;
  std::shared_ptr<const ownership::OwnershipView> mOwnership;
  std::shared_ptr<const membership::MemberView> mMembers;
};

/** Whether two inputs result in the same plan; ignores the load of members. */
auto GivesSamePlan(const PlanInputs& aLeft, const PlanInputs& aRight) -> bool;

/** Runtime state that is kept across plans. Not thread-safe. */
struct RoutingStates
{
  StringMap<std::shared_ptr<ServiceState>> mServices;
  StringMap<std::shared_ptr<WorkerState>> mWorkers;
  StringMap<std::shared_ptr<PeerState>> mPeers;
  /** By service name, then by worker id. */
  StringMap<StringMap<EndpointStatePtr>> mEndpoints;
};

/**
 * Builds the plan of an entry. Reuses existing states, adds missing ones, and
 * removes those of services, workers and peers that no longer exist.
 */
auto BuildPlan(const PlanInputs& aInputs,
               const membership::MemberIdentity& aSelf,
               RoutingStates& aStates,
               base::Metrics& aMetrics) -> std::shared_ptr<const RoutingPlan>;

} // namespace eelgrasspost::routing
