#pragma once

#include <string>
#include <vector>

#include "eelgrasspost/membership/membershipmodule.h"
#include "memberstatemachine.h"

namespace eelgrasspost::membership {

/** A member and when its heartbeat last grew, by this entry's clock. */
struct TrackedMember
{
  Member mMember;
  base::MonotonicTime mLastHeardAt;
  MemberStateMachine mMachine;
};

/** A leaving worker and when that was first said, by this entry's clock. */
struct TrackedLeavingWorker
{
  LeavingWorker mWorker;
  base::MonotonicTime mAnnouncedAt;
};

/** How far a member's heartbeat is known to have come, in 21 bytes. */
struct MemberDigest
{
  /** Hash of the member's id. */
  std::uint64_t mKey = 0;
  std::uint64_t mIncarnation = 0;
  std::uint32_t mHeartbeat = 0;
  bool mIsLeaving = false;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mKey, mIncarnation, mHeartbeat, mIsLeaving);
  }
};

/** A leaving worker as it travels. Ages add up on the way, so that one that
 * nobody says any more expires everywhere. */
struct LeavingNotice
{
  LeavingWorker mWorker;
  std::uint32_t mAgeMs = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mWorker, mAgeMs);
  }
};

/** A datagram between entries. */
struct Heartbeat
{
  Member mSender;
  std::vector<MemberDigest> mDigests;
  /** A few members in full, in turn, for those that do not know them. */
  std::vector<Member> mFullMembers;
  std::vector<LeavingNotice> mLeavingWorkers;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mSender, mDigests, mFullMembers, mLeavingWorkers);
  }
};

/** What this entry knows of the others. */
struct MemberList
{
  MemberIdentity mSelf;
  std::vector<TrackedMember> mMembers;
  std::vector<TrackedLeavingWorker> mLeavingWorkers;
  base::MonotonicTime mLastCheckedAt;
  /** Places from which the next heartbeat goes on. */
  std::size_t mNextFullMember = 0;
  std::size_t mNextDigest = 0;
  std::size_t mNextLeaving = 0;
};

auto DigestKey(std::string_view aId) -> std::uint64_t;

/** Takes in what was heard of one member; older knowledge changes nothing.
 * Returns whether a state changed or the member is new. */
auto MergeMember(MemberList& aList,
                 const Member& aMember,
                 base::MonotonicTime aNow) -> bool;
auto MergeDigest(MemberList& aList,
                 const MemberDigest& aDigest,
                 base::MonotonicTime aNow) -> bool;
/** Returns whether the worker was not known to leave. */
auto MergeLeavingWorker(MemberList& aList,
                        const LeavingNotice& aNotice,
                        base::MonotonicTime aNow) -> bool;

/**
 * Judges silent members by the time since their heartbeat last grew, and
 * forgets what is old. A gap between two calls is this process's own pause:
 * it is not counted as the others' silence.
 */
auto DetectFailures(MemberList& aList,
                    const MembershipOptions& aOptions,
                    base::MonotonicTime aNow) -> void;

/**
 * Fills a heartbeat up to the datagram limit: the members of the own failure
 * domain first, in turn, then the others, in turn.
 */
auto MakeHeartbeat(MemberList& aList,
                   const Member& aSelf,
                   const MembershipOptions& aOptions,
                   base::MonotonicTime aNow) -> Heartbeat;

} // namespace eelgrasspost::membership
