#include "memberlist.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>

#include <xxhash.h>

#include "eelgrasspost/net/codec.h"

namespace eelgrasspost::membership {

namespace {

constexpr std::size_t kDigestBytes = 21;
constexpr std::size_t kOthersInFull = 2;
constexpr std::size_t kLeavingInOne = 6;
constexpr std::size_t kMostLeaving = 2000;

auto Age(const Member& aMember) -> std::tuple<std::uint64_t, std::uint64_t>
{
  return { aMember.mIdentity.mIncarnation, aMember.mHeartbeat };
}

auto IsInDomain(const MemberList& aList, const Member& aMember) -> bool
{
  return aMember.mIdentity.mFailureDomain == aList.mSelf.mFailureDomain;
}

/** Moves a member on by what was heard; true when its state changed. */
auto Hear(TrackedMember& aTracked,
          bool aIsNewIncarnation,
          bool aIsLeaving,
          base::MonotonicTime aNow) -> bool
{
  const auto before = aTracked.mMember.mState;
  aTracked.mHeardAt = aNow;
  if (aIsNewIncarnation) {
    aTracked.mMachine.Process(MemberEvent::Restarted);
  }
  aTracked.mMember.mState = aTracked.mMachine.Process(
    aIsLeaving ? MemberEvent::LeaveSaid : MemberEvent::Heard);
  return aIsNewIncarnation || aTracked.mMember.mState != before;
}

/** Doublings that reach a number of entries. */
auto Doublings(std::size_t aCount) -> int
{
  return aCount < 2 ? 0 : std::bit_width(aCount - 1);
}

auto MemberTimes(const MemberList& aList,
                 const MembershipOptions& aOptions,
                 const Member& aMember)
  -> std::pair<base::Milliseconds, base::Milliseconds>
{
  const auto inDomain =
    std::ranges::count_if(aList.mMembers, [&](const TrackedMember& aTracked) {
      return IsInDomain(aList, aTracked.mMember) &&
             aTracked.mMember.mState != MemberState::Dead;
    });
  const auto entries = static_cast<std::size_t>(inDomain) + 1;
  // Those that the fanout reaches directly need no relay.
  const auto relays = entries <= aOptions.mFanout ? 0 : Doublings(entries);
  const auto spread = aOptions.mHeartbeatInterval * 2 * relays;
  const auto factor =
    IsInDomain(aList, aMember) ? 1 : aOptions.mOtherDomainFactor;
  return { (aOptions.mSuspectAfter + spread) * factor,
           (aOptions.mDeadAfter + spread) * factor };
}

/** Notes the time since the last call when this process was paused. */
auto ForgivePause(MemberList& aList,
                  const MembershipOptions& aOptions,
                  base::MonotonicTime aNow) -> void
{
  const auto gap = aNow - aList.mJudgedAt;
  const auto isFirst = aList.mJudgedAt == base::MonotonicTime();
  aList.mJudgedAt = aNow;
  if (isFirst || gap < aOptions.mSuspectAfter / 2) {
    return;
  }
  for (auto& it : aList.mMembers) {
    it.mHeardAt = std::min(aNow, it.mHeardAt + gap);
  }
}

/** Adds digests of members that fit a predicate until a count is reached. */
template<typename Predicate>
auto AddDigests(const MemberList& aList,
                std::size_t aMost,
                Predicate aPredicate,
                Heartbeat& aOut) -> void
{
  const auto n = aList.mMembers.size();
  for (std::size_t i = 0; i < n && aOut.mDigests.size() < aMost; ++i) {
    const auto& member = aList.mMembers[(aList.mNextDigest + i) % n].mMember;
    if (member.mState != MemberState::Dead && aPredicate(member)) {
      aOut.mDigests.push_back({ DigestKey(member.mIdentity.mId),
                                member.mIdentity.mIncarnation,
                                static_cast<std::uint32_t>(member.mHeartbeat),
                                member.mState == MemberState::Leaving });
    }
  }
}

auto AddOthers(MemberList& aList, Heartbeat& aOut) -> void
{
  const auto n = aList.mMembers.size();
  for (std::size_t i = 0; i < std::min(n, kOthersInFull); ++i) {
    const auto& member = aList.mMembers[aList.mNextOther++ % n].mMember;
    if (member.mState != MemberState::Dead) {
      aOut.mOthers.push_back(member);
    }
  }
}

auto AddLeaving(MemberList& aList, base::MonotonicTime aNow, Heartbeat& aOut)
  -> void
{
  const auto n = aList.mLeaving.size();
  for (std::size_t i = 0; i < std::min(n, kLeavingInOne); ++i) {
    const auto& it = aList.mLeaving[aList.mNextLeaving++ % n];
    const auto age =
      std::chrono::duration_cast<base::Milliseconds>(aNow - it.mSaidAt);
    aOut.mLeavingWorkers.push_back(
      { it.mWorker, static_cast<std::uint32_t>(age.count()) });
  }
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

auto DigestKey(std::string_view aId) -> std::uint64_t
{
  return XXH3_64bits(aId.data(), aId.size());
}

auto Learn(MemberList& aList, const Member& aMember, base::MonotonicTime aNow)
  -> bool
{
  if (aMember.mIdentity.mId == aList.mSelf.mId) {
    return false;
  }
  auto it =
    std::ranges::find_if(aList.mMembers, [&](const TrackedMember& aTracked) {
      return aTracked.mMember.mIdentity.mId == aMember.mIdentity.mId;
    });
  const auto isLeaving = aMember.mState == MemberState::Leaving;
  if (it == aList.mMembers.end()) {
    aList.mMembers.push_back({ aMember, aNow, {} });
    Hear(aList.mMembers.back(), false, isLeaving, aNow);
    return true;
  }
  if (Age(aMember) <= Age(it->mMember)) {
    return false;
  }
  const auto state = it->mMember.mState;
  const auto isNew =
    aMember.mIdentity.mIncarnation > it->mMember.mIdentity.mIncarnation;
  it->mMember = aMember;
  it->mMember.mState = state;
  return Hear(*it, isNew, isLeaving, aNow);
}

auto LearnDigest(MemberList& aList,
                 const MemberDigest& aDigest,
                 base::MonotonicTime aNow) -> bool
{
  for (auto& it : aList.mMembers) {
    auto& member = it.mMember;
    if (DigestKey(member.mIdentity.mId) != aDigest.mKey) {
      continue;
    }
    // A new incarnation may have another address: it is learned in full.
    const auto isNewer =
      member.mIdentity.mIncarnation == aDigest.mIncarnation &&
      member.mHeartbeat < aDigest.mHeartbeat;
    if (!isNewer) {
      return false;
    }
    member.mHeartbeat = aDigest.mHeartbeat;
    return Hear(it, false, aDigest.mIsLeaving, aNow);
  }
  return false;
}

auto LearnLeaving(MemberList& aList,
                  const LeavingNotice& aNotice,
                  base::MonotonicTime aNow) -> bool
{
  const auto saidAt = aNow - base::Milliseconds(aNotice.mAgeMs);
  const auto it = std::ranges::find(
    aList.mLeaving, aNotice.mWorker, &TrackedLeaving::mWorker);
  if (it != aList.mLeaving.end()) {
    it->mSaidAt = std::max(it->mSaidAt, saidAt);
    return false;
  }
  if (aList.mLeaving.size() >= kMostLeaving) {
    aList.mLeaving.erase(
      std::ranges::min_element(aList.mLeaving, {}, &TrackedLeaving::mSaidAt));
  }
  aList.mLeaving.push_back({ aNotice.mWorker, saidAt });
  return true;
}

auto Judge(MemberList& aList,
           const MembershipOptions& aOptions,
           base::MonotonicTime aNow) -> void
{
  ForgivePause(aList, aOptions, aNow);
  for (auto& it : aList.mMembers) {
    const auto silence = aNow - it.mHeardAt;
    const auto [suspect, dead] = MemberTimes(aList, aOptions, it.mMember);
    if (silence >= dead) {
      it.mMember.mState = it.mMachine.Process(MemberEvent::SilentLong);
    } else if (silence >= suspect) {
      it.mMember.mState = it.mMachine.Process(MemberEvent::Silent);
    }
  }
  std::erase_if(aList.mMembers, [&](const TrackedMember& aTracked) {
    return aTracked.mMember.mState == MemberState::Dead &&
           aNow - aTracked.mHeardAt >= aOptions.mForgetAfter;
  });
  std::erase_if(aList.mLeaving, [&](const TrackedLeaving& aLeaving) {
    return aNow - aLeaving.mSaidAt >= aOptions.mLeavingExpiry;
  });
}

auto MakeHeartbeat(MemberList& aList,
                   const Member& aSelf,
                   const MembershipOptions& aOptions,
                   base::MonotonicTime aNow) -> Heartbeat
{
  Heartbeat out;
  out.mSender = aSelf;
  AddOthers(aList, out);
  AddLeaving(aList, aNow, out);
  auto used = net::Encode(out).size();
  while (used > aOptions.mDatagramLimit && !out.mLeavingWorkers.empty()) {
    out.mLeavingWorkers.pop_back();
    used = net::Encode(out).size();
  }
  while (used > aOptions.mDatagramLimit && !out.mOthers.empty()) {
    out.mOthers.pop_back();
    used = net::Encode(out).size();
  }
  const auto room =
    used < aOptions.mDatagramLimit ? aOptions.mDatagramLimit - used : 0;
  const auto most = room / kDigestBytes;
  const auto isNear = [&](const Member& aMember) {
    return IsInDomain(aList, aMember);
  };
  AddDigests(aList, most, isNear, out);
  AddDigests(aList, most, std::not_fn(isNear), out);
  aList.mNextDigest += most;
  return out;
}

} // namespace eelgrasspost::membership
