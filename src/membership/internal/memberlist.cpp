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
constexpr std::size_t kMaxFullMembers = 2;
constexpr std::size_t kMaxLeavingNotices = 6;
constexpr std::size_t kMaxLeavingWorkers = 2000;

auto VersionOf(const Member& aMember)
  -> std::tuple<std::uint64_t, std::uint64_t>
{
  return { aMember.mIdentity.mIncarnation, aMember.mHeartbeat };
}

auto IsInOwnDomain(const MemberList& aList, const Member& aMember) -> bool
{
  return aMember.mIdentity.mFailureDomain == aList.mSelf.mFailureDomain;
}

/** Updates a member whose heartbeat number has increased. Returns whether it
 * restarted or its state changed. */
auto ApplyHeartbeat(TrackedMember& aTracked,
                    bool aIsNewIncarnation,
                    bool aIsLeaving,
                    base::MonotonicTime aNow) -> bool
{
  const auto before = aTracked.mMember.mState;
  aTracked.mLastHeardAt = aNow;
  if (aIsNewIncarnation) {
    aTracked.mMachine.Process(MemberEvent::Restarted);
  }
  aTracked.mMember.mState = aTracked.mMachine.Process(
    aIsLeaving ? MemberEvent::LeaveAnnounced : MemberEvent::HeartbeatReceived);
  return aIsNewIncarnation || aTracked.mMember.mState != before;
}

/** Number of doublings from one entry to at least aCount. */
auto CeilLog2(std::size_t aCount) -> int
{
  return aCount < 2 ? 0 : std::bit_width(aCount - 1);
}

auto FailureTimeouts(const MemberList& aList,
                     const MembershipOptions& aOptions,
                     const Member& aMember)
  -> std::pair<base::Milliseconds, base::Milliseconds>
{
  const auto domainMembers =
    std::ranges::count_if(aList.mMembers, [&](const TrackedMember& aTracked) {
      return IsInOwnDomain(aList, aTracked.mMember) &&
             aTracked.mMember.mState != MemberState::Dead;
    });
  const auto entries = static_cast<std::size_t>(domainMembers) + 1;
  // A domain no larger than the fanout is reached directly, without relays.
  const auto relays = entries <= aOptions.mFanout ? 0 : CeilLog2(entries);
  const auto relayDelay = aOptions.mHeartbeatInterval * 2 * relays;
  const auto factor =
    IsInOwnDomain(aList, aMember) ? 1 : aOptions.mOtherDomainTimeoutFactor;
  return { (aOptions.mSuspectAfter + relayDelay) * factor,
           (aOptions.mDeadAfter + relayDelay) * factor };
}

/** Excludes a pause of this process from the time since the members' last
 * heartbeats. */
auto DiscountOwnPause(MemberList& aList,
                      const MembershipOptions& aOptions,
                      base::MonotonicTime aNow) -> void
{
  const auto gap = aNow - aList.mLastCheckedAt;
  const auto isFirst = aList.mLastCheckedAt == base::MonotonicTime();
  aList.mLastCheckedAt = aNow;
  if (isFirst || gap < aOptions.mSuspectAfter / 2) {
    return;
  }
  for (auto& it : aList.mMembers) {
    it.mLastHeardAt = std::min(aNow, it.mLastHeardAt + gap);
  }
}

/** Adds digests of members that satisfy a predicate, up to aMax in total. */
template<typename Predicate>
auto AddDigests(const MemberList& aList,
                std::size_t aMax,
                Predicate aPredicate,
                Heartbeat& aOut) -> void
{
  const auto n = aList.mMembers.size();
  for (std::size_t i = 0; i < n && aOut.mDigests.size() < aMax; ++i) {
    const auto& member = aList.mMembers[(aList.mNextDigest + i) % n].mMember;
    if (member.mState != MemberState::Dead && aPredicate(member)) {
      aOut.mDigests.push_back({ DigestKey(member.mIdentity.mId),
                                member.mIdentity.mIncarnation,
                                static_cast<std::uint32_t>(member.mHeartbeat),
                                member.mState == MemberState::Leaving });
    }
  }
}

auto AddFullMembers(MemberList& aList, Heartbeat& aOut) -> void
{
  const auto n = aList.mMembers.size();
  for (std::size_t i = 0; i < std::min(n, kMaxFullMembers); ++i) {
    const auto& member = aList.mMembers[aList.mNextFullMember++ % n].mMember;
    if (member.mState != MemberState::Dead) {
      aOut.mFullMembers.push_back(member);
    }
  }
}

auto AddLeavingNotices(MemberList& aList,
                       base::MonotonicTime aNow,
                       Heartbeat& aOut) -> void
{
  const auto n = aList.mLeavingWorkers.size();
  for (std::size_t i = 0; i < std::min(n, kMaxLeavingNotices); ++i) {
    const auto& it = aList.mLeavingWorkers[aList.mNextLeaving++ % n];
    const auto age =
      std::chrono::duration_cast<base::Milliseconds>(aNow - it.mAnnouncedAt);
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

auto MergeMember(MemberList& aList,
                 const Member& aMember,
                 base::MonotonicTime aNow) -> bool
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
    ApplyHeartbeat(aList.mMembers.back(), false, isLeaving, aNow);
    return true;
  }
  if (VersionOf(aMember) <= VersionOf(it->mMember)) {
    return false;
  }
  const auto state = it->mMember.mState;
  const auto isNewIncarnation =
    aMember.mIdentity.mIncarnation > it->mMember.mIdentity.mIncarnation;
  it->mMember = aMember;
  it->mMember.mState = state;
  return ApplyHeartbeat(*it, isNewIncarnation, isLeaving, aNow);
}

auto MergeDigest(MemberList& aList,
                 const MemberDigest& aDigest,
                 base::MonotonicTime aNow) -> bool
{
  for (auto& it : aList.mMembers) {
    auto& member = it.mMember;
    if (DigestKey(member.mIdentity.mId) != aDigest.mKey) {
      continue;
    }
    // A new incarnation may have another address, which only the full record
    // contains.
    const auto isNewer =
      member.mIdentity.mIncarnation == aDigest.mIncarnation &&
      member.mHeartbeat < aDigest.mHeartbeat;
    if (!isNewer) {
      return false;
    }
    member.mHeartbeat = aDigest.mHeartbeat;
    return ApplyHeartbeat(it, false, aDigest.mIsLeaving, aNow);
  }
  return false;
}

auto MergeLeavingWorker(MemberList& aList,
                        const LeavingNotice& aNotice,
                        base::MonotonicTime aNow) -> bool
{
  const auto announcedAt = aNow - base::Milliseconds(aNotice.mAgeMs);
  const auto it = std::ranges::find(
    aList.mLeavingWorkers, aNotice.mWorker, &TrackedLeavingWorker::mWorker);
  if (it != aList.mLeavingWorkers.end()) {
    it->mAnnouncedAt = std::max(it->mAnnouncedAt, announcedAt);
    return false;
  }
  if (aList.mLeavingWorkers.size() >= kMaxLeavingWorkers) {
    aList.mLeavingWorkers.erase(std::ranges::min_element(
      aList.mLeavingWorkers, {}, &TrackedLeavingWorker::mAnnouncedAt));
  }
  aList.mLeavingWorkers.push_back({ aNotice.mWorker, announcedAt });
  return true;
}

auto DetectFailures(MemberList& aList,
                    const MembershipOptions& aOptions,
                    base::MonotonicTime aNow) -> void
{
  DiscountOwnPause(aList, aOptions, aNow);
  for (auto& it : aList.mMembers) {
    const auto sinceHeard = aNow - it.mLastHeardAt;
    const auto [suspect, dead] = FailureTimeouts(aList, aOptions, it.mMember);
    if (sinceHeard >= dead) {
      it.mMember.mState = it.mMachine.Process(MemberEvent::DeadTimeout);
    } else if (sinceHeard >= suspect) {
      it.mMember.mState = it.mMachine.Process(MemberEvent::SuspectTimeout);
    }
  }
  std::erase_if(aList.mMembers, [&](const TrackedMember& aTracked) {
    return aTracked.mMember.mState == MemberState::Dead &&
           aNow - aTracked.mLastHeardAt >= aOptions.mDeadMemberExpiry;
  });
  std::erase_if(
    aList.mLeavingWorkers, [&](const TrackedLeavingWorker& aLeaving) {
      return aNow - aLeaving.mAnnouncedAt >= aOptions.mLeavingWorkerExpiry;
    });
}

auto MakeHeartbeat(MemberList& aList,
                   const Member& aSelf,
                   const MembershipOptions& aOptions,
                   base::MonotonicTime aNow) -> Heartbeat
{
  Heartbeat out;
  out.mSender = aSelf;
  AddFullMembers(aList, out);
  AddLeavingNotices(aList, aNow, out);
  auto used = net::Encode(out).size();
  while (used > aOptions.mMaxDatagramBytes && !out.mLeavingWorkers.empty()) {
    out.mLeavingWorkers.pop_back();
    used = net::Encode(out).size();
  }
  while (used > aOptions.mMaxDatagramBytes && !out.mFullMembers.empty()) {
    out.mFullMembers.pop_back();
    used = net::Encode(out).size();
  }
  const auto room =
    used < aOptions.mMaxDatagramBytes ? aOptions.mMaxDatagramBytes - used : 0;
  const auto maxDigests = room / kDigestBytes;
  const auto isSameDomain = [&](const Member& aMember) {
    return IsInOwnDomain(aList, aMember);
  };
  AddDigests(aList, maxDigests, isSameDomain, out);
  AddDigests(aList, maxDigests, std::not_fn(isSameDomain), out);
  aList.mNextDigest += maxDigests;
  return out;
}

} // namespace eelgrasspost::membership
