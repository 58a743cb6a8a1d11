#pragma once

#include <array>
#include <memory>

#include "eelgrasspost/base/enumnames.h"

namespace eelgrasspost::ownership {

/** What this entry has of one worker. */
enum class HoldState
{
  Free,
  Claiming,
  Held,
  HandingOver,
  HeldDown,
};

inline constexpr auto kHoldStateNames = std::array{
  base::EnumName<HoldState>{ HoldState::Free, "free" },
  base::EnumName<HoldState>{ HoldState::Claiming, "claiming" },
  base::EnumName<HoldState>{ HoldState::Held, "held" },
  base::EnumName<HoldState>{ HoldState::HandingOver, "handing_over" },
  base::EnumName<HoldState>{ HoldState::HeldDown, "held_down" },
};

enum class HoldEvent
{
  ClaimSent,
  ClaimTaken,
  ClaimFailed,
  /** The worker has taken a token of another holder. */
  Fenced,
  /** The worker shows another incarnation, or left the VM list. */
  WorkerGone,
  HandOverSent,
  HandedOver,
  HandOverFailed,
  HoldDownOver,
};

inline constexpr auto kHoldEventNames = std::array{
  base::EnumName<HoldEvent>{ HoldEvent::ClaimSent, "claim_sent" },
  base::EnumName<HoldEvent>{ HoldEvent::ClaimTaken, "claim_taken" },
  base::EnumName<HoldEvent>{ HoldEvent::ClaimFailed, "claim_failed" },
  base::EnumName<HoldEvent>{ HoldEvent::Fenced, "fenced" },
  base::EnumName<HoldEvent>{ HoldEvent::WorkerGone, "worker_gone" },
  base::EnumName<HoldEvent>{ HoldEvent::HandOverSent, "hand_over_sent" },
  base::EnumName<HoldEvent>{ HoldEvent::HandedOver, "handed_over" },
  base::EnumName<HoldEvent>{ HoldEvent::HandOverFailed, "hand_over_failed" },
  base::EnumName<HoldEvent>{ HoldEvent::HoldDownOver, "hold_down_over" },
};

/** The state machine of one worker's hold; events that a state does not know
 * change nothing. */
class HoldMachine
{
public:
  HoldMachine();
  ~HoldMachine();
  HoldMachine(HoldMachine&&) noexcept;
  auto operator=(HoldMachine&&) noexcept -> HoldMachine&;

  auto Process(HoldEvent aEvent) -> HoldState;
  auto State() const -> HoldState;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Whether a state may give out slots, its lease permitting. */
constexpr auto GivesSlots(HoldState aState) -> bool
{
  return aState == HoldState::Held || aState == HoldState::HandingOver;
}

} // namespace eelgrasspost::ownership
