#include "memberlist.h"

#include <algorithm>
#include <tuple>

namespace eelgrasspost::membership {

namespace {

auto Age(const Member& aMember) -> std::tuple<std::uint64_t, std::uint64_t>
{
  return { aMember.mIdentity.mIncarnation, aMember.mHeartbeat };
}

} // namespace

auto MemberView::Find(std::string_view aId) const -> const Member*
{
  const auto it = std::ranges::find_if(mMembers, [&](const Member& aMember) {
    return aMember.mIdentity.mId == aId;
  });
  return it == mMembers.end() ? nullptr : &*it;
}

auto MemberView::IsLeaving(const LeavingWorker& aWorker) const -> bool
{
  return std::ranges::find(mLeavingWorkers, aWorker) != mLeavingWorkers.end();
}

auto Learn(MemberList& aList, const Member& aMember, base::MonotonicTime aNow)
  -> void
{
  if (aMember.mIdentity.mId == aList.mSelf.mId) {
    return;
  }
  auto it =
    std::ranges::find_if(aList.mMembers, [&](const TrackedMember& aTracked) {
      return aTracked.mMember.mIdentity.mId == aMember.mIdentity.mId;
    });
  if (it == aList.mMembers.end()) {
    aList.mMembers.push_back({ aMember, aNow });
    return;
  }
  if (Age(aMember) > Age(it->mMember)) {
    *it = { aMember, aNow };
  }
}

auto Judge(MemberList& aList,
           const MembershipOptions& aOptions,
           base::MonotonicTime aNow) -> void
{
  for (auto& it : aList.mMembers) {
    const auto silence = aNow - it.mHeardAt;
    if (silence >= aOptions.mDeadAfter) {
      it.mMember.mState = MemberState::Dead;
    } else if (silence >= aOptions.mSuspectAfter &&
               it.mMember.mState == MemberState::Alive) {
      it.mMember.mState = MemberState::Suspect;
    }
  }
}

} // namespace eelgrasspost::membership
