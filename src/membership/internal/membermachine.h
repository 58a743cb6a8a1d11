#pragma once

#include <array>
#include <memory>

#include "eelgrasspost/membership/membershiptypes.h"

namespace eelgrasspost::membership {

enum class MemberEvent
{
  /** Its heartbeat grew. */
  Heard,
  /** It said that it leaves. */
  LeaveSaid,
  /** It started anew. */
  Restarted,
  /** It has been silent for the time until suspicion, and until death. */
  Silent,
  SilentLong,
};

inline constexpr auto kMemberEventNames = std::array{
  base::EnumName<MemberEvent>{ MemberEvent::Heard, "heard" },
  base::EnumName<MemberEvent>{ MemberEvent::LeaveSaid, "leave_said" },
  base::EnumName<MemberEvent>{ MemberEvent::Restarted, "restarted" },
  base::EnumName<MemberEvent>{ MemberEvent::Silent, "silent" },
  base::EnumName<MemberEvent>{ MemberEvent::SilentLong, "silent_long" },
};

/** The state machine of one member as this entry judges it. */
class MemberMachine
{
public:
  MemberMachine();
  ~MemberMachine();
  MemberMachine(MemberMachine&&) noexcept;
  auto operator=(MemberMachine&&) noexcept -> MemberMachine&;

  auto Process(MemberEvent aEvent) -> MemberState;
  auto State() const -> MemberState;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace eelgrasspost::membership
