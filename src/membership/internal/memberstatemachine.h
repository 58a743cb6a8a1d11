#pragma once

#include <array>
#include <memory>

#include "eelgrasspost/membership/membershiptypes.h"

namespace eelgrasspost::membership {

enum class MemberEvent
{
  /** Its heartbeat grew. */
  HeartbeatReceived,
  /** It said that it leaves. */
  LeaveAnnounced,
  /** It started anew. */
  Restarted,
  /** It has been silent for the time until suspicion, and until death. */
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

/** The state machine of one member as this entry judges it. */
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
