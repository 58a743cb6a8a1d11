#pragma once

#include <array>
#include <memory>

#include "eelgrasspost/base/enumnames.h"

namespace eelgrasspost::releasenote {

/** What has to be done next for a note that an operator submitted. */
enum class SubmissionStep
{
  ReadHead,
  Commit,
  /** Read the note that took the revision which this one wants. */
  ReadWinner,
  Accepted,
  Conflict,
  /** The note may become accepted, or may not. */
  Unknown,
  /** Nothing was written, and nothing will be. */
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

/** What a step showed. */
enum class SubmissionEvent
{
  HeadIsBase,
  HeadIsNewer,
  HeadIsOlder,
  Committed,
  /** A conflict or no answer: which note won has to be read. */
  CommitUnclear,
  /** The commit cannot have reached the table. */
  CommitNotSent,
  WinnerIsOwn,
  WinnerIsOther,
  /** A read had no answer. */
  ReadFailed,
  OutOfTime,
};

inline constexpr auto kSubmissionEvents = std::array{
  SubmissionEvent::HeadIsBase,    SubmissionEvent::HeadIsNewer,
  SubmissionEvent::HeadIsOlder,   SubmissionEvent::Committed,
  SubmissionEvent::CommitUnclear, SubmissionEvent::CommitNotSent,
  SubmissionEvent::WinnerIsOwn,   SubmissionEvent::WinnerIsOther,
  SubmissionEvent::ReadFailed,    SubmissionEvent::OutOfTime,
};

/** State machine of one submission; events that a step cannot show are
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
