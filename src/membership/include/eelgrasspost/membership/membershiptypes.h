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

/** Who an entry is; fixed for the life of its process. */
struct MemberIdentity
{
  std::string mId;
  /** Grows with each start of the entry; milliseconds of its wall clock. */
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

/** What an entry says of itself with each heartbeat. */
struct MemberLoad
{
  /** Newest release note in force at the entry. */
  std::uint64_t mRevision = 0;
  /** Slots of the workers that it owns, and those in use. */
  std::uint32_t mSlots = 0;
  std::uint32_t mUsedSlots = 0;
  /** Requests that wait for a slot. */
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
  /** Grows with each heartbeat of the incarnation. */
  std::uint64_t mHeartbeat = 0;
  MemberLoad mLoad;

  template<class Archive>
  auto serialize(Archive& archive) -> void
  {
    archive(mIdentity, mState, mHeartbeat, mLoad);
  }
};

/** A worker that is known to leave, until it shows a newer incarnation. */
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

/** The entries as this one sees them, itself included. */
struct MemberView
{
  std::vector<Member> mMembers;
  std::vector<LeavingWorker> mLeavingWorkers;

  auto Find(std::string_view aId) const -> const Member*;
  auto IsLeaving(const LeavingWorker& aWorker) const -> bool;
};

} // namespace eelgrasspost::membership
