#pragma once

#include <array>
#include <memory>

#include "eelgrasspost/base/enumnames.h"

namespace eelgrasspost::ownership {

/** State of a worker with regard to this entry's lease. */
enum class LeaseState
{
  Free,
  Claiming,
  Held,
  HandingOver,
  BackingOff,
};

inline constexpr auto kLeaseStateNames = std::array{
  base::EnumName<LeaseState>{ LeaseState::Free, "free" },
  base::EnumName<LeaseState>{ LeaseState::Claiming, "claiming" },
  base::EnumName<LeaseState>{ LeaseState::Held, "held" },
  base::EnumName<LeaseState>{ LeaseState::HandingOver, "handing_over" },
  base::EnumName<LeaseState>{ LeaseState::BackingOff, "held_down" },
};

enum class LeaseEvent
{
  ClaimSent,
  ClaimAccepted,
  ClaimFailed,
  /** The worker has accepted a higher token of another holder. */
  Fenced,
  /** The worker reports another incarnation. */
  WorkerGone,
  HandOverSent,
  HandedOver,
  HandOverFailed,
  BackoffOver,
};

inline constexpr auto kLeaseEventNames = std::array{
  base::EnumName<LeaseEvent>{ LeaseEvent::ClaimSent, "claim_sent" },
  base::EnumName<LeaseEvent>{ LeaseEvent::ClaimAccepted, "claim_taken" },
  base::EnumName<LeaseEvent>{ LeaseEvent::ClaimFailed, "claim_failed" },
  base::EnumName<LeaseEvent>{ LeaseEvent::Fenced, "fenced" },
  base::EnumName<LeaseEvent>{ LeaseEvent::WorkerGone, "worker_gone" },
  base::EnumName<LeaseEvent>{ LeaseEvent::HandOverSent, "hand_over_sent" },
  base::EnumName<LeaseEvent>{ LeaseEvent::HandedOver, "handed_over" },
  base::EnumName<LeaseEvent>{ LeaseEvent::HandOverFailed, "hand_over_failed" },
  base::EnumName<LeaseEvent>{ LeaseEvent::BackoffOver, "hold_down_over" },
};

/** State machine of one worker's lease. Events without a transition from the
 * current state are ignored. */
class LeaseStateMachine
{
public:
  LeaseStateMachine();
  ~LeaseStateMachine();
  LeaseStateMachine(LeaseStateMachine&&) noexcept;
  auto operator=(LeaseStateMachine&&) noexcept -> LeaseStateMachine&;

  auto Process(LeaseEvent aEvent) -> LeaseState;
  auto State() const -> LeaseState;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Whether slots may be reserved in a state, unless the lease has expired. */
constexpr auto CanGrantSlots(LeaseState aState) -> bool
{
  return aState == LeaseState::Held || aState == LeaseState::HandingOver;
}

} // namespace eelgrasspost::ownership
