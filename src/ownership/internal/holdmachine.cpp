#include "holdmachine.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace eelgrasspost::ownership {

namespace {

namespace msm = boost::msm;

template<HoldEvent E>
struct On
{
};

template<HoldState S>
struct In : msm::front::state<>
{
};

using Free = In<HoldState::Free>;
using Claiming = In<HoldState::Claiming>;
using Held = In<HoldState::Held>;
using HandingOver = In<HoldState::HandingOver>;
using HeldDown = In<HoldState::HeldDown>;

template<typename From, HoldEvent E, typename To>
using Row = msm::front::Row<From, On<E>, To>;

struct HoldFront : msm::front::state_machine_def<HoldFront>
{
  using initial_state = Free;
  using transition_table =
    boost::mpl::vector<Row<Free, HoldEvent::ClaimSent, Claiming>,
                       Row<HeldDown, HoldEvent::ClaimSent, Claiming>,
                       Row<HeldDown, HoldEvent::HoldDownOver, Free>,
                       Row<Claiming, HoldEvent::ClaimTaken, Held>,
                       Row<Claiming, HoldEvent::ClaimFailed, Free>,
                       Row<Claiming, HoldEvent::Fenced, HeldDown>,
                       Row<Held, HoldEvent::Fenced, HeldDown>,
                       Row<Held, HoldEvent::WorkerGone, Free>,
                       Row<Held, HoldEvent::HandOverSent, HandingOver>,
                       Row<HandingOver, HoldEvent::HandedOver, Free>,
                       Row<HandingOver, HoldEvent::HandOverFailed, Held>,
                       Row<HandingOver, HoldEvent::Fenced, HeldDown>,
                       Row<HandingOver, HoldEvent::WorkerGone, Free>>;

  template<typename Fsm, typename Event>
  auto no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/)
    -> void
  {
  }
};

using HoldBack = msm::back::state_machine<HoldFront>;

/** Reads which state is active; MSM numbers states by the table's order. */
template<HoldState... States>
auto ActiveOf(const HoldBack& aMachine) -> HoldState
{
  using All = HoldBack::stt;
  const auto active = aMachine.current_state()[0];
  auto out = HoldState::Free;
  const auto match = [&](HoldState aState, int aId) {
    if (aId == active) {
      out = aState;
    }
  };
  (match(States, msm::back::get_state_id<All, In<States>>::value), ...);
  return out;
}

} // namespace

struct HoldMachine::Impl
{
  HoldBack mMachine;
};

HoldMachine::HoldMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

HoldMachine::~HoldMachine() = default;
HoldMachine::HoldMachine(HoldMachine&&) noexcept = default;
auto HoldMachine::operator=(HoldMachine&&) noexcept -> HoldMachine& = default;

auto HoldMachine::State() const -> HoldState
{
  return ActiveOf<HoldState::Free,
                  HoldState::Claiming,
                  HoldState::Held,
                  HoldState::HandingOver,
                  HoldState::HeldDown>(mImpl->mMachine);
}

auto HoldMachine::Process(HoldEvent aEvent) -> HoldState
{
  auto& machine = mImpl->mMachine;
  const auto send = [&]<HoldEvent... Events>()
  {
    ((aEvent == Events ? void(machine.process_event(On<Events>{})) : void()),
     ...);
  };
  send.template operator()<HoldEvent::ClaimSent,
                           HoldEvent::ClaimTaken,
                           HoldEvent::ClaimFailed,
                           HoldEvent::Fenced,
                           HoldEvent::WorkerGone,
                           HoldEvent::HandOverSent,
                           HoldEvent::HandedOver,
                           HoldEvent::HandOverFailed,
                           HoldEvent::HoldDownOver>();
  return State();
}

} // namespace eelgrasspost::ownership
