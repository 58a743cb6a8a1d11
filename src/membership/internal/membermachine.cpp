#include "membermachine.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace eelgrasspost::membership {

namespace {

namespace msm = boost::msm;

template<MemberEvent E>
struct On
{
};

template<MemberState S>
struct In : msm::front::state<>
{
};

using Alive = In<MemberState::Alive>;
using Suspect = In<MemberState::Suspect>;
using Leaving = In<MemberState::Leaving>;
using Dead = In<MemberState::Dead>;

template<typename From, MemberEvent E, typename To>
using Row = msm::front::Row<From, On<E>, To>;

// A member that said it leaves never comes back without a new start.
struct MemberFront : msm::front::state_machine_def<MemberFront>
{
  using initial_state = Alive;
  using transition_table =
    boost::mpl::vector<Row<Alive, MemberEvent::Silent, Suspect>,
                       Row<Alive, MemberEvent::SilentLong, Dead>,
                       Row<Alive, MemberEvent::LeaveSaid, Leaving>,
                       Row<Suspect, MemberEvent::Heard, Alive>,
                       Row<Suspect, MemberEvent::Restarted, Alive>,
                       Row<Suspect, MemberEvent::LeaveSaid, Leaving>,
                       Row<Suspect, MemberEvent::SilentLong, Dead>,
                       Row<Leaving, MemberEvent::Restarted, Alive>,
                       Row<Leaving, MemberEvent::SilentLong, Dead>,
                       Row<Dead, MemberEvent::Heard, Alive>,
                       Row<Dead, MemberEvent::Restarted, Alive>,
                       Row<Dead, MemberEvent::LeaveSaid, Leaving>>;

  template<typename Fsm, typename Event>
  auto no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/)
    -> void
  {
  }
};

using MemberBack = msm::back::state_machine<MemberFront>;

template<MemberState... States>
auto ActiveOf(const MemberBack& aMachine) -> MemberState
{
  using All = MemberBack::stt;
  const auto active = aMachine.current_state()[0];
  auto out = MemberState::Alive;
  const auto match = [&](MemberState aState, int aId) {
    if (aId == active) {
      out = aState;
    }
  };
  (match(States, msm::back::get_state_id<All, In<States>>::value), ...);
  return out;
}

} // namespace

struct MemberMachine::Impl
{
  MemberBack mMachine;
};

MemberMachine::MemberMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

MemberMachine::~MemberMachine() = default;
MemberMachine::MemberMachine(MemberMachine&&) noexcept = default;
auto MemberMachine::operator=(MemberMachine&&) noexcept
  -> MemberMachine& = default;

auto MemberMachine::State() const -> MemberState
{
  return ActiveOf<MemberState::Alive,
                  MemberState::Suspect,
                  MemberState::Leaving,
                  MemberState::Dead>(mImpl->mMachine);
}

auto MemberMachine::Process(MemberEvent aEvent) -> MemberState
{
  auto& machine = mImpl->mMachine;
  const auto send = [&]<MemberEvent... Events>()
  {
    ((aEvent == Events ? void(machine.process_event(On<Events>{})) : void()),
     ...);
  };
  send.template operator()<MemberEvent::Heard,
                           MemberEvent::LeaveSaid,
                           MemberEvent::Restarted,
                           MemberEvent::Silent,
                           MemberEvent::SilentLong>();
  return State();
}

} // namespace eelgrasspost::membership
