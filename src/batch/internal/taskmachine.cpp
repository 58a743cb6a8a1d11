#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "eelgrasspost/batch/lifecycle.h"

namespace eelgrasspost::batch {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::Row;

/** Event of the machine that stands for a TaskEvent. */
template<TaskEvent kEvent>
struct On
{
};

/** Puts a machine into the state that the table keeps. */
template<TaskState kState>
struct Restore
{
};

template<TaskState kState>
struct In : msm::front::state<>
{
};

struct Initial : msm::front::state<>
{};

using Pending = In<TaskState::Pending>;
using Running = In<TaskState::Running>;
using Succeeded = In<TaskState::Succeeded>;
using Parked = In<TaskState::Parked>;
using Cancelled = In<TaskState::Cancelled>;

struct TaskMachineDef : msm::front::state_machine_def<TaskMachineDef>
{
  using initial_state = Initial;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  struct transition_table : mpl::vector<
    Row<Initial, Restore<TaskState::Pending>, Pending>,
    Row<Initial, Restore<TaskState::Running>, Running>,
    Row<Initial, Restore<TaskState::Succeeded>, Succeeded>,
    Row<Initial, Restore<TaskState::Parked>, Parked>,
    Row<Initial, Restore<TaskState::Cancelled>, Cancelled>,
    Row<Pending, On<TaskEvent::Started>, Running>,
    Row<Pending, On<TaskEvent::Parked>, Parked>,
    Row<Pending, On<TaskEvent::Cancelled>, Cancelled>,
    Row<Running, On<TaskEvent::Succeeded>, Succeeded>,
    Row<Running, On<TaskEvent::Failed>, Pending>,
    Row<Running, On<TaskEvent::Interrupted>, Pending>,
    Row<Running, On<TaskEvent::Parked>, Parked>,
    Row<Running, On<TaskEvent::Cancelled>, Cancelled>,
    Row<Parked, On<TaskEvent::Released>, Pending>,
    Row<Parked, On<TaskEvent::Cancelled>, Cancelled>>
  {};
  // clang-format on

  template<class Fsm, class Event>
  auto no_transition(const Event&, Fsm&, int) -> void
  {
  }
};

using TaskMachine = msm::back::state_machine<TaskMachineDef>;

template<TaskState kState>
auto IsIn(const TaskMachine& aMachine) -> bool
{
  using Id = msm::back::get_state_id<TaskMachine::stt, In<kState>>;
  return aMachine.current_state()[0] == Id::value;
}

auto StateOf(const TaskMachine& aMachine) -> std::optional<TaskState>
{
  if (IsIn<TaskState::Pending>(aMachine)) {
    return TaskState::Pending;
  }
  if (IsIn<TaskState::Running>(aMachine)) {
    return TaskState::Running;
  }
  if (IsIn<TaskState::Succeeded>(aMachine)) {
    return TaskState::Succeeded;
  }
  if (IsIn<TaskState::Parked>(aMachine)) {
    return TaskState::Parked;
  }
  if (IsIn<TaskState::Cancelled>(aMachine)) {
    return TaskState::Cancelled;
  }
  return std::nullopt;
}

auto RestoreTo(TaskMachine& aMachine, TaskState aState) -> void
{
  switch (aState) {
    case TaskState::Pending:
      aMachine.process_event(Restore<TaskState::Pending>());
      break;
    case TaskState::Running:
      aMachine.process_event(Restore<TaskState::Running>());
      break;
    case TaskState::Succeeded:
      aMachine.process_event(Restore<TaskState::Succeeded>());
      break;
    case TaskState::Parked:
      aMachine.process_event(Restore<TaskState::Parked>());
      break;
    case TaskState::Cancelled:
      aMachine.process_event(Restore<TaskState::Cancelled>());
      break;
  }
}

auto Process(TaskMachine& aMachine, TaskEvent aEvent) -> msm::back::HandledEnum
{
  switch (aEvent) {
    case TaskEvent::Started:
      return aMachine.process_event(On<TaskEvent::Started>());
    case TaskEvent::Succeeded:
      return aMachine.process_event(On<TaskEvent::Succeeded>());
    case TaskEvent::Failed:
      return aMachine.process_event(On<TaskEvent::Failed>());
    case TaskEvent::Interrupted:
      return aMachine.process_event(On<TaskEvent::Interrupted>());
    case TaskEvent::Parked:
      return aMachine.process_event(On<TaskEvent::Parked>());
    case TaskEvent::Released:
      return aMachine.process_event(On<TaskEvent::Released>());
    case TaskEvent::Cancelled:
      return aMachine.process_event(On<TaskEvent::Cancelled>());
  }
  return msm::back::HANDLED_FALSE;
}

} // namespace

auto NextTaskState(TaskState aState, TaskEvent aEvent)
  -> std::optional<TaskState>
{
  TaskMachine machine;
  machine.start();
  RestoreTo(machine, aState);
  if (Process(machine, aEvent) != msm::back::HANDLED_TRUE) {
    return std::nullopt;
  }
  return StateOf(machine);
}

} // namespace eelgrasspost::batch
