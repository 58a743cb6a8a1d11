#include "memberstatemachine.h"

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

// A member that announced it is leaving becomes alive again only by a restart.
struct MemberFrontEnd : msm::front::state_machine_def<MemberFrontEnd>
{
  using initial_state = Alive;
  using transition_table =
    boost::mpl::vector<Row<Alive, MemberEvent::SuspectTimeout, Suspect>,
                       Row<Alive, MemberEvent::DeadTimeout, Dead>,
                       Row<Alive, MemberEvent::LeaveAnnounced, Leaving>,
                       Row<Suspect, MemberEvent::HeartbeatReceived, Alive>,
                       Row<Suspect, MemberEvent::Restarted, Alive>,
                       Row<Suspect, MemberEvent::LeaveAnnounced, Leaving>,
                       Row<Suspect, MemberEvent::DeadTimeout, Dead>,
                       Row<Leaving, MemberEvent::Restarted, Alive>,
                       Row<Leaving, MemberEvent::DeadTimeout, Dead>,
                       Row<Dead, MemberEvent::HeartbeatReceived, Alive>,
                       Row<Dead, MemberEvent::Restarted, Alive>,
                       Row<Dead, MemberEvent::LeaveAnnounced, Leaving>>;

  template<typename Fsm, typename Event>
  auto no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/)
    -> void
  {
  }
};

using MemberBackEnd = msm::back::state_machine<MemberFrontEnd>;

template<MemberState... States>
auto ActiveOf(const MemberBackEnd& aMachine) -> MemberState
{
  using All = MemberBackEnd::stt;
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

struct MemberStateMachine::Impl
{
  MemberBackEnd mMachine;
};

MemberStateMachine::MemberStateMachine()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

MemberStateMachine::~MemberStateMachine() = default;
MemberStateMachine::MemberStateMachine(MemberStateMachine&&) noexcept = default;
auto MemberStateMachine::operator=(MemberStateMachine&&) noexcept
  -> MemberStateMachine& = default;

auto MemberStateMachine::State() const -> MemberState
{
  return ActiveOf<MemberState::Alive,
                  MemberState::Suspect,
                  MemberState::Leaving,
                  MemberState::Dead>(mImpl->mMachine);
}

auto MemberStateMachine::Process(MemberEvent aEvent) -> MemberState
{
  auto& machine = mImpl->mMachine;
  const auto send = [&]<MemberEvent... Events>()
  {
    ((aEvent == Events ? void(machine.process_event(On<Events>{})) : void()),
     ...);
  };
  send.template operator()<MemberEvent::HeartbeatReceived,
                           MemberEvent::LeaveAnnounced,
                           MemberEvent::Restarted,
                           MemberEvent::SuspectTimeout,
                           MemberEvent::DeadTimeout>();
  return State();
}

} // namespace eelgrasspost::membership
