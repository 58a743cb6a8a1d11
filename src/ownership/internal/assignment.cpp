#include "eelgrasspost/ownership/assignment.h"

#include <algorithm>
#include <map>

#include <xxhash.h>

namespace eelgrasspost::ownership {

namespace {

using membership::Member;
using membership::MemberState;
using platform::VmRecord;

/** An entry that may own workers of a failure domain. */
struct Owner
{
  std::string_view mId;
  std::uint64_t mHash = 0;
  /** Min-heap of the weights and indexes of its workers. */
  std::vector<std::pair<std::uint64_t, std::size_t>> mAssigned;
};

using Owners = std::vector<Owner>;

auto HashOf(std::string_view aText) -> std::uint64_t
{
  return XXH3_64bits(aText.data(), aText.size());
}

auto Weight(std::uint64_t aWorker, std::uint64_t aEntry) -> std::uint64_t
{
  const std::uint64_t both[] = { aWorker, aEntry };
  return XXH3_64bits(static_cast<const void*>(both), sizeof both);
}

/** Returns the owner with the highest weight below aLimit and lowers the limit
 * to its weight; null if there is none. */
auto NextOwner(Owners& aOwners, std::uint64_t aWorker, std::uint64_t& aLimit)
  -> Owner*
{
  Owner* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (auto& it : aOwners) {
    const auto weight = Weight(aWorker, it.mHash);
    if (weight < aLimit && (best == nullptr || weight > bestWeight)) {
      best = &it;
      bestWeight = weight;
    }
  }
  aLimit = bestWeight;
  return best;
}

/** Assigns one worker; returns the index of the worker that it displaced from
 * the owner, or aNone. */
auto AssignOne(Owners& aOwners,
               std::size_t aWorker,
               std::size_t aCap,
               std::size_t aNone,
               std::vector<std::uint64_t>& aWeightLimits,
               std::uint64_t aHash) -> std::size_t
{
  auto* owner = NextOwner(aOwners, aHash, aWeightLimits[aWorker]);
  if (owner == nullptr) {
    return aNone;
  }
  auto& assigned = owner->mAssigned;
  assigned.emplace_back(aWeightLimits[aWorker], aWorker);
  std::ranges::push_heap(assigned, std::greater<>());
  if (assigned.size() <= aCap) {
    return aNone;
  }
  std::ranges::pop_heap(assigned, std::greater<>());
  const auto displaced = assigned.back().second;
  assigned.pop_back();
  return displaced;
}

/** Assigns workers, at most aCap per owner; returns the unassigned ones. */
auto AssignUpTo(const std::vector<WorkerAssignment*>& aWorkers,
                Owners& aOwners,
                std::size_t aCap) -> std::vector<WorkerAssignment*>
{
  const auto none = aWorkers.size();
  std::vector<std::uint64_t> weightLimits(none, ~std::uint64_t{ 0 });
  for (std::size_t i = 0; i < none && aCap > 0; ++i) {
    auto unassigned = i;
    while (unassigned != none) {
      const auto hash = HashOf(aWorkers[unassigned]->mWorker.mId);
      unassigned =
        AssignOne(aOwners, unassigned, aCap, none, weightLimits, hash);
    }
  }
  for (auto& owner : aOwners) {
    for (const auto& [weight, index] : owner.mAssigned) {
      aWorkers[index]->mEntry = owner.mId;
    }
    owner.mAssigned.clear();
  }
  std::vector<WorkerAssignment*> out;
  std::ranges::copy_if(
    aWorkers, std::back_inserter(out), [](const WorkerAssignment* aAssignment) {
      return aAssignment->mEntry.empty();
    });
  return out;
}

/** Each owner gets the average number of workers rounded down; the remaining
 * workers go to different owners. */
auto AssignDomain(const std::vector<WorkerAssignment*>& aWorkers,
                  Owners& aOwners) -> void
{
  if (aOwners.empty()) {
    return;
  }
  const auto remaining =
    AssignUpTo(aWorkers, aOwners, aWorkers.size() / aOwners.size());
  AssignUpTo(remaining, aOwners, 1);
}

} // namespace

auto MayOwn(const Member& aMember) -> bool
{
  return aMember.mState == MemberState::Alive ||
         aMember.mState == MemberState::Suspect;
}

auto MaxWorkersPerEntry(std::size_t aWorkers, std::size_t aEntries)
  -> std::size_t
{
  return aEntries == 0 ? 0 : (aWorkers + aEntries - 1) / aEntries;
}

auto AssignWorkers(const std::vector<VmRecord>& aWorkers,
                   const membership::MemberView& aMembers)
  -> std::vector<WorkerAssignment>
{
  std::vector<WorkerAssignment> out;
  out.reserve(aWorkers.size());
  for (const auto& it : aWorkers) {
    out.push_back({ it, {} });
  }
  std::ranges::sort(out, {}, [](const WorkerAssignment& aAssignment) {
    return std::string_view(aAssignment.mWorker.mId);
  });
  std::map<std::string_view, Owners> owners;
  for (const auto& it : aMembers.mMembers) {
    if (MayOwn(it)) {
      const auto& self = it.mIdentity;
      owners[self.mFailureDomain].push_back({ self.mId, HashOf(self.mId), {} });
    }
  }
  std::map<std::string_view, std::vector<WorkerAssignment*>> workers;
  for (auto& it : out) {
    workers[it.mWorker.mFailureDomain].push_back(&it);
  }
  for (auto& [domain, list] : workers) {
    AssignDomain(list, owners[domain]);
  }
  return out;
}

auto FindAssignmentIn(const std::vector<WorkerAssignment>& aAssignments,
                      std::string_view aWorker) -> const WorkerAssignment*
{
  const auto byId = [](const WorkerAssignment& aAssignment) {
    return std::string_view(aAssignment.mWorker.mId);
  };
  const auto it = std::ranges::lower_bound(aAssignments, aWorker, {}, byId);
  return it == aAssignments.end() || it->mWorker.mId != aWorker ? nullptr
                                                                : &*it;
}

auto IsUsable(const WorkerLease& aLease, base::MonotonicTime aNow) -> bool
{
  return aNow < aLease.mExpiresAt.load() && !aLease.mIsLeaving.load() &&
         aNow >= aLease.mUsableFrom.load();
}

auto OwnershipView::FindLease(std::string_view aWorker) const -> WorkerLeasePtr
{
  const auto byId = [](const WorkerLeasePtr& aLease) {
    return std::string_view(aLease->mWorker.mId);
  };
  const auto it = std::ranges::lower_bound(mLeases, aWorker, {}, byId);
  return it == mLeases.end() || (*it)->mWorker.mId != aWorker ? nullptr : *it;
}

auto OwnershipView::FindAssignment(std::string_view aWorker) const
  -> const WorkerAssignment*
{
  return FindAssignmentIn(mAssignments, aWorker);
}

} // namespace eelgrasspost::ownership
