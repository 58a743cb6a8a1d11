#pragma once

#include <array>
#include <memory>

#include "eelgrasspost/base/enumnames.h"

namespace eelgrasspost::releasenote {

/** Next step of a submission, or its final result. */
enum class SubmissionStep
{
  ReadHead,
  Commit,
  /** Read the note that was accepted as the revision after the base. */
  ReadWinner,
  Accepted,
  Conflict,
  /** The note may or may not be accepted. */
  Unknown,
  /** The note was not written and will not be. */
  NotSubmitted,
};

inline constexpr auto kSubmissionStepNames = std::array{
  base::EnumName<SubmissionStep>{ SubmissionStep::ReadHead, "read_head" },
  base::EnumName<SubmissionStep>{ SubmissionStep::Commit, "commit" },
  base::EnumName<SubmissionStep>{ SubmissionStep::ReadWinner, "read_winner" },
  base::EnumName<SubmissionStep>{ SubmissionStep::Accepted, "accepted" },
  base::EnumName<SubmissionStep>{ SubmissionStep::Conflict, "conflict" },
  base::EnumName<SubmissionStep>{ SubmissionStep::Unknown, "unknown" },
  base::EnumName<SubmissionStep>{ SubmissionStep::NotSubmitted,
                                  "not_submitted" },
};

/** Event that ends a step. */
enum class SubmissionEvent
{
  HeadIsBase,
  HeadIsNewer,
  HeadIsOlder,
  Committed,
  /** A conflict or no response; the accepted note has to be read. */
  CommitUnconfirmed,
  /** The commit cannot have reached the table. */
  CommitNotSent,
  WinnerIsOwn,
  WinnerIsOther,
  /** A read failed. */
  ReadFailed,
  DeadlineExpired,
};

inline constexpr auto kSubmissionEvents = std::array{
  SubmissionEvent::HeadIsBase,        SubmissionEvent::HeadIsNewer,
  SubmissionEvent::HeadIsOlder,       SubmissionEvent::Committed,
  SubmissionEvent::CommitUnconfirmed, SubmissionEvent::CommitNotSent,
  SubmissionEvent::WinnerIsOwn,       SubmissionEvent::WinnerIsOther,
  SubmissionEvent::ReadFailed,        SubmissionEvent::DeadlineExpired,
};

/** State machine of one submission; events that cannot occur in a step are
 * ignored. */
class Submission
{
public:
  Submission();
  ~Submission();

  auto Step() const -> SubmissionStep;
  auto Handle(SubmissionEvent aEvent) -> void;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

auto IsFinal(SubmissionStep aStep) -> bool;

} // namespace eelgrasspost::releasenote
