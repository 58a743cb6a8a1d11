#pragma once

#include <string>
#include <vector>

#include "eelgrasspost/membership/membershipmodule.h"
#include "memberstatemachine.h"

namespace eelgrasspost::membership {

/** A member and when its heartbeat number last increased, by this entry's
 * clock. */
struct TrackedMember
{
  Member mMember;
  base::MonotonicTime mLastHeardAt;
  MemberStateMachine mMachine;
};

/** A leaving worker and the time of its newest announcement, by this entry's
 * clock. */
struct TrackedLeavingWorker
{
  LeavingWorker mWorker;
  base::MonotonicTime mAnnouncedAt;
};

/** Highest known heartbeat number of a member, encoded in 21 bytes. */
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

/** Announcement of a leaving worker in a heartbeat. It carries its age rather
 * than a time, so that one that is no longer announced expires on all entries.
 */
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

/** Datagram exchanged between entries. */
struct Heartbeat
{
  Member mSender;
  std::vector<MemberDigest> mDigests;
  /** A few members in full, in round-robin order, for receivers that do not
   * know them. */
  std::vector<Member> mFullMembers;
  std::vector<LeavingNotice> mLeavingWorkers;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mSender, mDigests, mFullMembers, mLeavingWorkers);
  }
};

/** The other members as known to this entry. */
struct MemberList
{
  MemberIdentity mSelf;
  std::vector<TrackedMember> mMembers;
  std::vector<TrackedLeavingWorker> mLeavingWorkers;
  base::MonotonicTime mLastCheckedAt;
  /** Round-robin positions for the next heartbeat. */
  std::size_t mNextFullMember = 0;
  std::size_t mNextDigest = 0;
  std::size_t mNextLeaving = 0;
};

auto DigestKey(std::string_view aId) -> std::uint64_t;

/** Merges the record of a member unless it is older than the known one. Returns
 * whether the member is new or restarted, or its state changed. */
auto MergeMember(MemberList& aList,
                 const Member& aMember,
                 base::MonotonicTime aNow) -> bool;
auto MergeDigest(MemberList& aList,
                 const MemberDigest& aDigest,
                 base::MonotonicTime aNow) -> bool;
/** Returns whether the worker was not known to be leaving. */
auto MergeLeavingWorker(MemberList& aList,
                        const LeavingNotice& aNotice,
                        base::MonotonicTime aNow) -> bool;

/**
 * Suspects members or declares them dead by the time since their heartbeat
 * number last increased, and removes expired records. A long gap between two
 * calls is a pause of this process and does not count towards the timeouts of
 * the members.
 */
auto DetectFailures(MemberList& aList,
                    const MembershipOptions& aOptions,
                    base::MonotonicTime aNow) -> void;

/**
 * Fills a heartbeat up to the maximum datagram size with digests, those of the
 * own failure domain first, each group in round-robin order.
 */
auto MakeHeartbeat(MemberList& aList,
                   const Member& aSelf,
                   const MembershipOptions& aOptions,
                   base::MonotonicTime aNow) -> Heartbeat;

} // namespace eelgrasspost::membership
