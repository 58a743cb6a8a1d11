#pragma once

#include <string>
#include <vector>

#include "eelgrasspost/membership/membershipmodule.h"

namespace eelgrasspost::membership {

/** A member and when its heartbeat last grew, by this entry's clock. */
struct TrackedMember
{
  Member mMember;
  base::MonotonicTime mHeardAt;
};

/** A datagram between entries. */
struct Heartbeat
{
  Member mSender;
  std::vector<Member> mOthers;
  std::vector<LeavingWorker> mLeavingWorkers;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mSender, mOthers, mLeavingWorkers);
  }
};

/** What this entry knows of the others. */
struct MemberList
{
  MemberIdentity mSelf;
  std::vector<TrackedMember> mMembers;
  std::vector<LeavingWorker> mLeavingWorkers;
};

/** Takes in what was heard of one member; older knowledge changes nothing. */
auto Learn(MemberList& aList, const Member& aMember, base::MonotonicTime aNow)
  -> void;

/** Judges silent members by the time since their heartbeat last grew. */
auto Judge(MemberList& aList,
           const MembershipOptions& aOptions,
           base::MonotonicTime aNow) -> void;

} // namespace eelgrasspost::membership
