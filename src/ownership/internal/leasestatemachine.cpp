#include "leasestatemachine.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace eelgrasspost::ownership {

namespace {

namespace msm = boost::msm;

template<LeaseEvent E>
struct On
{
};

template<LeaseState S>
struct In : msm::front::state<>
{
};

using Free = In<LeaseState::Free>;
using Claiming = In<LeaseState::Claiming>;
using Held = In<LeaseState::Held>;
using HandingOver = In<LeaseState::HandingOver>;
using BackingOff = In<LeaseState::BackingOff>;

template<typename From, LeaseEvent E, typename To>
using Row = msm::front::Row<From, On<E>, To>;

struct LeaseFrontEnd : msm::front::state_machine_def<LeaseFrontEnd>
{
  using initial_state = Free;
  using transition_table =
    boost::mpl::vector<Row<Free, LeaseEvent::ClaimSent, Claiming>,
                       Row<BackingOff, LeaseEvent::ClaimSent, Claiming>,
                       Row<BackingOff, LeaseEvent::BackoffOver, Free>,
                       Row<Claiming, LeaseEvent::ClaimAccepted, Held>,
                       Row<Claiming, LeaseEvent::ClaimFailed, Free>,
                       Row<Claiming, LeaseEvent::Fenced, BackingOff>,
                       Row<Held, LeaseEvent::Fenced, BackingOff>,
                       Row<Held, LeaseEvent::WorkerGone, Free>,
                       Row<Held, LeaseEvent::HandOverSent, HandingOver>,
                       Row<HandingOver, LeaseEvent::HandedOver, Free>,
                       Row<HandingOver, LeaseEvent::HandOverFailed, Held>,
                       Row<HandingOver, LeaseEvent::Fenced, BackingOff>,
                       Row<HandingOver, LeaseEvent::WorkerGone, Free>>;

  template<typename Fsm, typename Event>
  auto no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/)
    -> void
  {
  }
};

using LeaseBackEnd = msm::back::state_machine<LeaseFrontEnd>;

/** Maps the active state of the back end to LeaseState. MSM numbers the states
 * by their order in the transition table. */
template<LeaseState... States>
auto ActiveOf(const LeaseBackEnd& aMachine) -> LeaseState
{
  using All = LeaseBackEnd::stt;
  const auto active = aMachine.current_state()[0];
  auto out = LeaseState::Free;
  const auto match = [&](LeaseState aState, int aId) {
    if (aId == active) {
      out = aState;
    }
  };
  (match(States, msm::back::get_state_id<All, In<States>>::value), ...);
  return out;
}

} // namespace

struct LeaseStateMachine::Impl
{
  LeaseBackEnd mMachine;
};

LeaseStateMachine::LeaseStateMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

LeaseStateMachine::~LeaseStateMachine() = default;
LeaseStateMachine::LeaseStateMachine(LeaseStateMachine&&) noexcept = default;
auto LeaseStateMachine::operator=(LeaseStateMachine&&) noexcept
  -> LeaseStateMachine& = default;

auto LeaseStateMachine::State() const -> LeaseState
{
  return ActiveOf<LeaseState::Free,
                  LeaseState::Claiming,
                  LeaseState::Held,
                  LeaseState::HandingOver,
                  LeaseState::BackingOff>(mImpl->mMachine);
}

auto LeaseStateMachine::Process(LeaseEvent aEvent) -> LeaseState
{
  auto& machine = mImpl->mMachine;
  const auto send = [&]<LeaseEvent... Events>()
  {
    ((aEvent == Events ? void(machine.process_event(On<Events>{})) : void()),
     ...);
  };
  send.template operator()<LeaseEvent::ClaimSent,
                           LeaseEvent::ClaimAccepted,
                           LeaseEvent::ClaimFailed,
                           LeaseEvent::Fenced,
                           LeaseEvent::WorkerGone,
                           LeaseEvent::HandOverSent,
                           LeaseEvent::HandedOver,
                           LeaseEvent::HandOverFailed,
                           LeaseEvent::BackoffOver>();
  return State();
}

} // namespace eelgrasspost::ownership
