#pragma once

#include <array>
#include <memory>

#include "eelgrasspost/membership/membershiptypes.h"

namespace eelgrasspost::membership {

enum class MemberEvent
{
  /** Its heartbeat number increased. */
  HeartbeatReceived,
  /** It announced that it is leaving. */
  LeaveAnnounced,
  /** It has a new incarnation. */
  Restarted,
  /** No heartbeat was received for the suspect or the dead timeout. */
  SuspectTimeout,
  DeadTimeout,
};

inline constexpr auto kMemberEventNames = std::array{
  base::EnumName<MemberEvent>{ MemberEvent::HeartbeatReceived, "heard" },
  base::EnumName<MemberEvent>{ MemberEvent::LeaveAnnounced, "leave_said" },
  base::EnumName<MemberEvent>{ MemberEvent::Restarted, "restarted" },
  base::EnumName<MemberEvent>{ MemberEvent::SuspectTimeout, "silent" },
  base::EnumName<MemberEvent>{ MemberEvent::DeadTimeout, "silent_long" },
};

/** State machine of one member as seen by this entry. */
class MemberStateMachine
{
public:
  MemberStateMachine();
  ~MemberStateMachine();
  MemberStateMachine(MemberStateMachine&&) noexcept;
  auto operator=(MemberStateMachine&&) noexcept -> MemberStateMachine&;

  auto Process(MemberEvent aEvent) -> MemberState;
  auto State() const -> MemberState;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace eelgrasspost::membership
