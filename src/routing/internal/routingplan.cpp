#include "routingplan.h"

#include <algorithm>
#include <unordered_set>

namespace eelgrasspost::routing {

namespace {

using membership::Member;
using membership::MemberState;
using releasenote::ServiceSpec;

/** Indexes of the inputs, so that each endpoint takes two lookups. */
struct Lookup
{
  StringMap<ownership::WorkerLeasePtr> mLeases;
  /** The living peer to which a worker is assigned, by worker id. */
  StringMap<const Member*> mOwnerOf;
};

auto BuildLookup(const PlanInputs& aInputs,
                 const membership::MemberIdentity& aSelf) -> Lookup
{
  StringMap<const Member*> members;
  for (const auto& it : aInputs.mMembers->mMembers) {
    if (it.mState == MemberState::Alive && it.mIdentity.mId != aSelf.mId) {
      members[it.mIdentity.mId] = &it;
    }
  }
  Lookup out;
  for (const auto& it : aInputs.mOwnership->mLeases) {
    out.mLeases[it->mWorker.mId] = it;
  }
  for (const auto& it : aInputs.mOwnership->mAssignments) {
    const auto member = members.find(it.mEntry);
    if (member != members.end()) {
      out.mOwnerOf[it.mWorker.mId] = member->second;
    }
  }
  return out;
}

template<typename T>
auto GetOrCreate(StringMap<std::shared_ptr<T>>& aStates,
                 const std::string& aName) -> std::shared_ptr<T>
{
  auto& state = aStates[aName];
  if (!state) {
    state = std::make_shared<T>();
  }
  return state;
}

auto AddPeers(ServicePlan& aPlan,
              const ServiceSpec& aService,
              const Lookup& aLookup,
              const membership::MemberIdentity& aSelf,
              RoutingStates& aStates) -> void
{
  std::unordered_set<const Member*> seen;
  for (const auto& it : aService.mEndpoints) {
    const auto found = aLookup.mOwnerOf.find(it.mWorker);
    if (found == aLookup.mOwnerOf.end() || !seen.insert(found->second).second) {
      continue;
    }
    const auto& identity = found->second->mIdentity;
    const auto isSameDomain = identity.mFailureDomain == aSelf.mFailureDomain;
    auto& peers =
      isSameDomain ? aPlan.mSameDomainPeers : aPlan.mOtherDomainPeers;
    peers.push_back({ identity.mId,
                      identity.mControl,
                      GetOrCreate(aStates.mPeers, identity.mId) });
  }
}

auto AddOwnedWorkers(ServicePlan& aPlan,
                     const ServiceSpec& aService,
                     const Lookup& aLookup,
                     RoutingStates& aStates) -> void
{
  auto& endpoints = aStates.mEndpoints[aService.mName];
  StringMap<EndpointStatePtr> kept;
  for (const auto& it : aService.mEndpoints) {
    const auto lease = aLookup.mLeases.find(it.mWorker);
    if (lease == aLookup.mLeases.end()) {
      continue;
    }
    kept[it.mWorker] = GetOrCreate(endpoints, it.mWorker);
    aPlan.mSlots += lease->second->mLedger.Slots();
    aPlan.mOwnedWorkers.push_back({ lease->second,
                                    it.mAddress,
                                    GetOrCreate(aStates.mWorkers, it.mWorker),
                                    kept[it.mWorker] });
  }
  endpoints = std::move(kept);
}

auto PlanService(const ServiceSpec& aService,
                 const Lookup& aLookup,
                 const membership::MemberIdentity& aSelf,
                 RoutingStates& aStates,
                 base::Metrics& aMetrics) -> ServicePlanPtr
{
  auto out = std::make_shared<ServicePlan>();
  out->mName = aService.mName;
  out->mIdempotent = aService.mIdempotent;
  out->mRetryPercent = aService.mRetryPercent;
  out->mQueueLimit = aService.mQueueLimit;
  auto& state = aStates.mServices[aService.mName];
  if (!state) {
    state = std::make_shared<ServiceState>(aMetrics, aService.mName);
  }
  out->mState = state;
  AddOwnedWorkers(*out, aService, aLookup, aStates);
  AddPeers(*out, aService, aLookup, aSelf, aStates);
  auto lock = std::lock_guard(state->mMutex);
  state->mEjected =
    std::ranges::count_if(out->mOwnedWorkers, [](const PlannedWorker& aWorker) {
      return aWorker.mEndpoint->mEjected.load();
    });
  return out;
}

auto RemoveStaleStates(const RoutingPlan& aPlan,
                       const PlanInputs& aInputs,
                       RoutingStates& aStates) -> void
{
  std::erase_if(aStates.mServices, [&](const auto& aState) {
    return !aPlan.mServices.contains(aState.first);
  });
  std::erase_if(aStates.mEndpoints, [&](const auto& aState) {
    return !aPlan.mServices.contains(aState.first);
  });
  std::erase_if(aStates.mWorkers, [&](const auto& aState) {
    return !aPlan.mServicesOfWorker.contains(aState.first);
  });
  std::erase_if(aStates.mPeers, [&](const auto& aState) {
    return aInputs.mMembers->Find(aState.first) == nullptr;
  });
}

auto SameMembers(const membership::MemberView& aLeft,
                 const membership::MemberView& aRight) -> bool
{
  return std::ranges::equal(
    aLeft.mMembers,
    aRight.mMembers,
    [](const Member& aOne, const Member& aOther) {
      return aOne.mState == aOther.mState &&
             aOne.mIdentity.mId == aOther.mIdentity.mId &&
             aOne.mIdentity.mIncarnation == aOther.mIdentity.mIncarnation &&
             aOne.mIdentity.mControl == aOther.mIdentity.mControl;
    });
}

auto SameOwnership(const ownership::OwnershipView& aLeft,
                   const ownership::OwnershipView& aRight) -> bool
{
  using ownership::WorkerAssignment;
  return aLeft.mLeases == aRight.mLeases &&
         std::ranges::equal(
           aLeft.mAssignments,
           aRight.mAssignments,
           [](const WorkerAssignment& aOne, const WorkerAssignment& aOther) {
             return aOne.mEntry == aOther.mEntry &&
                    aOne.mWorker.mId == aOther.mWorker.mId;
           });
}

} // namespace

auto RoutingPlan::FindService(std::string_view aName) const -> ServicePlanPtr
{
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : it->second;
}

auto GivesSamePlan(const PlanInputs& aLeft, const PlanInputs& aRight) -> bool
{
  if (aLeft.mNotes != aRight.mNotes || !aLeft.mOwnership || !aLeft.mMembers) {
    return false;
  }
  const auto sameOwnership =
    aLeft.mOwnership == aRight.mOwnership ||
    SameOwnership(*aLeft.mOwnership, *aRight.mOwnership);
  const auto sameMembers = aLeft.mMembers == aRight.mMembers ||
                           SameMembers(*aLeft.mMembers, *aRight.mMembers);
  return sameOwnership && sameMembers;
}

auto BuildPlan(const PlanInputs& aInputs,
               const membership::MemberIdentity& aSelf,
               RoutingStates& aStates,
               base::Metrics& aMetrics) -> std::shared_ptr<const RoutingPlan>
{
  auto out = std::make_shared<RoutingPlan>();
  if (!aInputs.mNotes) {
    return out;
  }
  const auto lookup = BuildLookup(aInputs, aSelf);
  for (const auto& it : aInputs.mNotes->mServices) {
    const auto plan = PlanService(it, lookup, aSelf, aStates, aMetrics);
    out->mServices[it.mName] = plan;
    for (const auto& worker : plan->mOwnedWorkers) {
      out->mServicesOfWorker[worker.mLease->mWorker.mId].push_back(plan);
    }
  }
  RemoveStaleStates(*out, aInputs, aStates);
  return out;
}

} // namespace eelgrasspost::routing
