#include "eelgrasspost/ownership/assignment.h"

#include <algorithm>

#include <xxhash.h>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::ownership {

namespace {

using membership::Member;
using membership::MemberState;

auto Weight(std::string_view aWorker, std::string_view aEntry) -> std::uint64_t
{
  const auto text = base::Cat(aWorker, "\n", aEntry);
  return XXH3_64bits(text.data(), text.size());
}

auto MayOwn(const Member& aMember, const platform::VmRecord& aWorker) -> bool
{
  const auto isPresent = aMember.mState == MemberState::Alive ||
                         aMember.mState == MemberState::Suspect;
  return isPresent &&
         aMember.mIdentity.mFailureDomain == aWorker.mFailureDomain;
}

auto ChooseEntry(const platform::VmRecord& aWorker,
                 const membership::MemberView& aMembers) -> std::string
{
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const auto& it : aMembers.mMembers) {
    if (!MayOwn(it, aWorker)) {
      continue;
    }
    const auto weight = Weight(aWorker.mId, it.mIdentity.mId);
    if (best.empty() || weight > bestWeight) {
      best = it.mIdentity.mId;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace

auto AssignWorkers(const std::vector<platform::VmRecord>& aWorkers,
                   const membership::MemberView& aMembers)
  -> std::vector<WorkerAssignment>
{
  std::vector<WorkerAssignment> out;
  out.reserve(aWorkers.size());
  for (const auto& it : aWorkers) {
    out.push_back({ it, ChooseEntry(it, aMembers) });
  }
  std::ranges::sort(out, {}, [](const WorkerAssignment& aAssignment) {
    return std::string_view(aAssignment.mWorker.mId);
  });
  return out;
}

auto MayUse(const WorkerHold& aHold, base::MonotonicTime aNow) -> bool
{
  return aNow < aHold.mLeaseUntil.load() && !aHold.mLeaving.load();
}

auto OwnershipView::FindHeld(std::string_view aWorker) const -> WorkerHoldPtr
{
  const auto it = std::ranges::find_if(mHeld, [&](const WorkerHoldPtr& aHold) {
    return aHold->mWorker.mId == aWorker;
  });
  return it == mHeld.end() ? nullptr : *it;
}

auto OwnershipView::FindAssignment(std::string_view aWorker) const
  -> const WorkerAssignment*
{
  const auto byId = [](const WorkerAssignment& aAssignment) {
    return std::string_view(aAssignment.mWorker.mId);
  };
  const auto it = std::ranges::lower_bound(mAssignments, aWorker, {}, byId);
  return it == mAssignments.end() || it->mWorker.mId != aWorker ? nullptr
                                                                : &*it;
}

} // namespace eelgrasspost::ownership
