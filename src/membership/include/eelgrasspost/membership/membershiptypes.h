#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/net/address.h"

namespace eelgrasspost::membership {

enum class MemberState : std::uint8_t
{
  Alive,
  Suspect,
  Leaving,
  Dead,
};

inline constexpr auto kMemberStateNames = std::array{
  base::EnumName<MemberState>{ MemberState::Alive, "alive" },
  base::EnumName<MemberState>{ MemberState::Suspect, "suspect" },
  base::EnumName<MemberState>{ MemberState::Leaving, "leaving" },
  base::EnumName<MemberState>{ MemberState::Dead, "dead" },
};

/** Identity of an entry, constant for the lifetime of its process. */
struct MemberIdentity
{
  std::string mId;
  /** Increases with each start of the entry: wall clock time of the start in
   * milliseconds. */
  std::uint64_t mIncarnation = 0;
  std::string mRegion;
  std::string mFailureDomain;
  /** Address for messages and heartbeats. */
  net::Address mControl;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mId, mIncarnation, mRegion, mFailureDomain, mControl);
  }
};

/** Load that an entry advertises in each heartbeat. */
struct MemberLoad
{
  /** Revision of the newest release note in force at the entry. */
  std::uint64_t mRevision = 0;
  /** Total and used slots of the workers that the entry owns. */
  std::uint32_t mSlots = 0;
  std::uint32_t mUsedSlots = 0;
  /** Number of requests waiting for a slot. */
  std::uint32_t mQueued = 0;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mRevision, mSlots, mUsedSlots, mQueued);
  }
};

struct Member
{
  MemberIdentity mIdentity;
  MemberState mState = MemberState::Alive;
  /** Number of the last heartbeat of this incarnation. */
  std::uint64_t mHeartbeat = 0;
  MemberLoad mLoad;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mIdentity, mState, mHeartbeat, mLoad);
  }
};

/** An incarnation of a worker that is leaving. A newer incarnation of the same
 * worker is not leaving. */
struct LeavingWorker
{
  std::string mWorker;
  std::string mIncarnation;

  auto operator<=>(const LeavingWorker&) const = default;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mWorker, mIncarnation);
  }
};

/** Snapshot of the members as seen by this entry, itself included. */
struct MemberView
{
  std::vector<Member> mMembers;
  std::vector<LeavingWorker> mLeavingWorkers;

  auto Find(std::string_view aId) const -> const Member*;
  auto IsLeaving(const LeavingWorker& aWorker) const -> bool;
};

} // namespace eelgrasspost::membership
