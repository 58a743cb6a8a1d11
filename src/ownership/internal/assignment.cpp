#include "eelgrasspost/ownership/assignment.h"

#include <algorithm>
#include <map>

#include <xxhash.h>

namespace eelgrasspost::ownership {

namespace {

using membership::Member;
using membership::MemberState;
using platform::VmRecord;

/** One entry that owns workers of a failure domain. */
struct Owner
{
  std::string_view mId;
  std::uint64_t mHash = 0;
  /** Weights and indexes of its workers, the least weight on top. */
  std::vector<std::pair<std::uint64_t, std::size_t>> mTaken;
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

/** The owner with the highest weight below a limit; null when none is left. */
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

/** Places one worker; returns the index of the worker that gave way, or the
 * count of workers when none did. */
auto Place(Owners& aOwners,
           std::size_t aWorker,
           std::size_t aCap,
           std::size_t aNone,
           std::vector<std::uint64_t>& aLimits,
           std::uint64_t aHash) -> std::size_t
{
  auto* owner = NextOwner(aOwners, aHash, aLimits[aWorker]);
  if (owner == nullptr) {
    return aNone;
  }
  auto& taken = owner->mTaken;
  taken.emplace_back(aLimits[aWorker], aWorker);
  std::ranges::push_heap(taken, std::greater<>());
  if (taken.size() <= aCap) {
    return aNone;
  }
  std::ranges::pop_heap(taken, std::greater<>());
  const auto least = taken.back().second;
  taken.pop_back();
  return least;
}

auto AssignDomain(std::vector<WorkerAssignment*>& aWorkers, Owners& aOwners)
  -> void
{
  const auto none = aWorkers.size();
  const auto cap = LargestShare(none, aOwners.size());
  std::vector<std::uint64_t> limits(none, ~std::uint64_t{ 0 });
  for (std::size_t i = 0; i < none; ++i) {
    auto waiting = i;
    while (waiting != none) {
      const auto hash = HashOf(aWorkers[waiting]->mWorker.mId);
      waiting = Place(aOwners, waiting, cap, none, limits, hash);
    }
  }
  for (const auto& owner : aOwners) {
    for (const auto& [weight, index] : owner.mTaken) {
      aWorkers[index]->mEntry = owner.mId;
    }
  }
}

} // namespace

auto MayOwn(const Member& aMember) -> bool
{
  return aMember.mState == MemberState::Alive ||
         aMember.mState == MemberState::Suspect;
}

auto LargestShare(std::size_t aWorkers, std::size_t aEntries) -> std::size_t
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

auto MayUse(const WorkerHold& aHold, base::MonotonicTime aNow) -> bool
{
  return aNow < aHold.mLeaseUntil.load() && !aHold.mLeaving.load() &&
         aNow >= aHold.mUsableFrom.load();
}

auto OwnershipView::FindHeld(std::string_view aWorker) const -> WorkerHoldPtr
{
  const auto byId = [](const WorkerHoldPtr& aHold) {
    return std::string_view(aHold->mWorker.mId);
  };
  const auto it = std::ranges::lower_bound(mHeld, aWorker, {}, byId);
  return it == mHeld.end() || (*it)->mWorker.mId != aWorker ? nullptr : *it;
}

auto OwnershipView::FindAssignment(std::string_view aWorker) const
  -> const WorkerAssignment*
{
  return FindAssignmentIn(mAssignments, aWorker);
}

} // namespace eelgrasspost::ownership
