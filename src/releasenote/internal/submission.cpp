#include "submission.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace eelgrasspost::releasenote {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

template<SubmissionEvent kEvent>
struct On
{
};

template<SubmissionStep kStep>
struct In : public msm::front::state<>
{
  template<class Event, class Machine>
  auto on_entry(const Event&, Machine& aMachine) -> void
  {
    aMachine.mStep = kStep;
  }
};

struct MarkPossiblySent
{
  template<class Event, class Machine, class Source, class Target>
  auto operator()(const Event&, Machine& aMachine, Source&, Target&) -> void
  {
    aMachine.mMayHaveTakenEffect = true;
  }
};

struct MayHaveTakenEffect
{
  template<class Event, class Machine, class Source, class Target>
  auto operator()(const Event&, Machine& aMachine, Source&, Target&) -> bool
  {
    return aMachine.mMayHaveTakenEffect;
  }
};

struct CannotHaveTakenEffect
{
  template<class Event, class Machine, class Source, class Target>
  auto operator()(const Event&, Machine& aMachine, Source&, Target&) -> bool
  {
    return !aMachine.mMayHaveTakenEffect;
  }
};

using ReadHead = In<SubmissionStep::ReadHead>;
using Commit = In<SubmissionStep::Commit>;
using ReadWinner = In<SubmissionStep::ReadWinner>;
using Accepted = In<SubmissionStep::Accepted>;
using Conflict = In<SubmissionStep::Conflict>;
using Unknown = In<SubmissionStep::Unknown>;
using NotSubmitted = In<SubmissionStep::NotSubmitted>;

using OnHeadIsBase = On<SubmissionEvent::HeadIsBase>;
using OnHeadIsNewer = On<SubmissionEvent::HeadIsNewer>;
using OnHeadIsOlder = On<SubmissionEvent::HeadIsOlder>;
using OnCommitted = On<SubmissionEvent::Committed>;
using OnCommitUnconfirmed = On<SubmissionEvent::CommitUnconfirmed>;
using OnCommitNotSent = On<SubmissionEvent::CommitNotSent>;
using OnWinnerIsOwn = On<SubmissionEvent::WinnerIsOwn>;
using OnWinnerIsOther = On<SubmissionEvent::WinnerIsOther>;
using OnDeadlineExpired = On<SubmissionEvent::DeadlineExpired>;

struct MachineDef : public msm::front::state_machine_def<MachineDef>
{
  using initial_state = ReadHead;

  // clang-format off
  // Boost.MSM requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
    Row<ReadHead,   OnHeadIsBase,        Commit,       none,             none>,
    Row<ReadHead,   OnHeadIsNewer,       ReadWinner,   none,             none>,
    Row<ReadHead,   OnHeadIsOlder,       Conflict,     none,             CannotHaveTakenEffect>,
    Row<ReadHead,   OnDeadlineExpired,   Unknown,      none,             MayHaveTakenEffect>,
    Row<ReadHead,   OnDeadlineExpired,   NotSubmitted, none,             CannotHaveTakenEffect>,
    Row<Commit,     OnCommitted,         Accepted,     none,             none>,
    Row<Commit,     OnCommitUnconfirmed, ReadHead,     MarkPossiblySent, none>,
    Row<Commit,     OnCommitNotSent,     ReadHead,     none,             none>,
    Row<Commit,     OnDeadlineExpired,   Unknown,      none,             MayHaveTakenEffect>,
    Row<Commit,     OnDeadlineExpired,   NotSubmitted, none,             CannotHaveTakenEffect>,
    Row<ReadWinner, OnWinnerIsOwn,       Accepted,     none,             none>,
    Row<ReadWinner, OnWinnerIsOther,     Conflict,     none,             none>,
    Row<ReadWinner, OnDeadlineExpired,   Unknown,      none,             MayHaveTakenEffect>,
    Row<ReadWinner, OnDeadlineExpired,   NotSubmitted, none,             CannotHaveTakenEffect>
  > {};
  // clang-format on

  template<class Machine, class Event>
  auto no_transition(const Event&, Machine&, int) -> void
  {
  }

  SubmissionStep mStep = SubmissionStep::ReadHead;
  bool mMayHaveTakenEffect = false;
};

} // namespace

struct Submission::Impl
{
  msm::back::state_machine<MachineDef> mMachine;
};

Submission::Submission()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mMachine.start();
}

Submission::~Submission() = default;

auto Submission::Step() const -> SubmissionStep
{
  return mImpl->mMachine.mStep;
}

auto Submission::Handle(SubmissionEvent aEvent) -> void
{
  auto& machine = mImpl->mMachine;
  switch (aEvent) {
    case SubmissionEvent::HeadIsBase:
      machine.process_event(OnHeadIsBase());
      break;
    case SubmissionEvent::HeadIsNewer:
      machine.process_event(OnHeadIsNewer());
      break;
    case SubmissionEvent::HeadIsOlder:
      machine.process_event(OnHeadIsOlder());
      break;
    case SubmissionEvent::Committed:
      machine.process_event(OnCommitted());
      break;
    case SubmissionEvent::CommitUnconfirmed:
      machine.process_event(OnCommitUnconfirmed());
      break;
    case SubmissionEvent::CommitNotSent:
      machine.process_event(OnCommitNotSent());
      break;
    case SubmissionEvent::WinnerIsOwn:
      machine.process_event(OnWinnerIsOwn());
      break;
    case SubmissionEvent::WinnerIsOther:
      machine.process_event(OnWinnerIsOther());
      break;
    case SubmissionEvent::ReadFailed:
      break;
    case SubmissionEvent::DeadlineExpired:
      machine.process_event(OnDeadlineExpired());
      break;
  }
}

auto IsFinal(SubmissionStep aStep) -> bool
{
  return aStep == SubmissionStep::Accepted ||
         aStep == SubmissionStep::Conflict ||
         aStep == SubmissionStep::Unknown ||
         aStep == SubmissionStep::NotSubmitted;
}

} // namespace eelgrasspost::releasenote
