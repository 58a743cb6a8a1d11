#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"
#include "eelgrasspost/releasenote/releasenotelogevents.h"
#include "releasenotes.h"

namespace eelgrasspost::releasenote {

using platform::TableUse;

namespace {

constexpr auto kRetryDelay = base::Milliseconds(50);

} // namespace

auto ReleaseNotes::CheckHead(SubmissionContext& aContext)
  -> net::Task<SubmissionEvent>
{
  const auto head = co_await ReadHead(aContext.mDeadline);
  if (!head.ok()) {
    co_return SubmissionEvent::ReadFailed;
  }
  aContext.mHead = *head;
  if (head->mRevision < aContext.mNote.mBaseRevision) {
    co_return SubmissionEvent::HeadIsOlder;
  }
  co_return head->mRevision == aContext.mNote.mBaseRevision
    ? SubmissionEvent::HeadIsBase
    : SubmissionEvent::HeadIsNewer;
}

auto ReleaseNotes::CheckWinner(const SubmissionContext& aContext)
  -> net::Task<SubmissionEvent>
{
  const auto row = co_await mDependencies.mTable.Read(
    TableUse::ReleaseNote,
    RevisionKey(aContext.mNote.mBaseRevision + 1),
    aContext.mDeadline);
  if (!row.ok()) {
    co_return SubmissionEvent::ReadFailed;
  }
  if (!*row) {
    // The row was deleted from the history, so the winner was accepted long
    // ago.
    co_return SubmissionEvent::WinnerIsOther;
  }
  const auto winner = DecodeRevision((*row)->mValue);
  const auto isOwn =
    winner.ok() && winner->mSubmissionId == aContext.mSubmissionId;
  co_return isOwn ? SubmissionEvent::WinnerIsOwn
                  : SubmissionEvent::WinnerIsOther;
}

auto ReleaseNotes::PrepareRevision(SubmissionContext& aContext)
  -> net::Task<absl::Status>
{
  if (aContext.mRevision.mRevision != 0) {
    co_return absl::OkStatus();
  }
  auto base = mCache.StateAt(aContext.mNote.mBaseRevision);
  if (!base) {
    const auto status =
      co_await CatchUp(aContext.mNote.mBaseRevision, aContext.mDeadline);
    base = mCache.StateAt(aContext.mNote.mBaseRevision);
    if (!base) {
      co_return status.ok()
        ? base::MakeError(kNoteNotSubmitted,
                          "the note's base revision is not known")
        : status;
    }
  }
  const auto next = ApplyNote(*base, aContext.mNote);
  if (!next.ok()) {
    co_return next.status();
  }
  aContext.mRevision = { next->mRevision,     aContext.mActor,
                         base::WallClockMs(), aContext.mSubmissionId,
                         next->mDigest,       aContext.mNote };
  co_return absl::OkStatus();
}

auto ReleaseNotes::CommitRevision(const SubmissionContext& aContext)
  -> net::Task<SubmissionEvent>
{
  const auto status = co_await mDependencies.mTable.Commit(
    TableUse::ReleaseNote,
    AcceptanceWrites(aContext.mHead, aContext.mRevision),
    aContext.mDeadline);
  if (status.ok()) {
    co_return SubmissionEvent::Committed;
  }
  co_return base::IsKind(status, platform::kNotReached)
    ? SubmissionEvent::CommitNotSent
    : SubmissionEvent::CommitUnconfirmed;
}

auto ReleaseNotes::MakeResult(const SubmissionContext& aContext,
                              SubmissionStep aStep)
  -> absl::StatusOr<std::uint64_t>
{
  const auto revision = aContext.mNote.mBaseRevision + 1;
  switch (aStep) {
    case SubmissionStep::Accepted:
      return revision;
    case SubmissionStep::Conflict:
      return base::MakeError(kRevisionConflict,
                             base::Cat("the note is based on revision ",
                                       aContext.mNote.mBaseRevision,
                                       ", but revision ",
                                       aContext.mHead.mRevision,
                                       " is the newest"));
    case SubmissionStep::NotSubmitted:
      return base::MakeError(kNoteNotSubmitted,
                             "the platform's table did not answer in time");
    default:
      return base::MakeError(
        kNoteOutcomeUnknown,
        base::Cat("the note may have been accepted as revision ", revision));
  }
}

auto ReleaseNotes::Submit(std::string aNoteText,
                          std::string aActor,
                          base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::uint64_t>>
{
  auto note = ParseNote(aNoteText);
  if (!note.ok()) {
    co_return note.status();
  }
  const auto submissionId = SubmissionIdOf(*note, aActor);
  auto context = SubmissionContext{
    *std::move(note), std::move(aActor), submissionId, aDeadline, {}, {}
  };
  Submission submission;
  while (!IsFinal(submission.Step())) {
    const auto step = submission.Step();
    if (base::MonotonicClock::now() >= aDeadline) {
      submission.Handle(SubmissionEvent::DeadlineExpired);
    } else if (step == SubmissionStep::ReadHead) {
      submission.Handle(co_await CheckHead(context));
    } else if (step == SubmissionStep::ReadWinner) {
      submission.Handle(co_await CheckWinner(context));
    } else {
      const auto prepared = co_await PrepareRevision(context);
      if (base::IsKind(prepared, kBadNote)) {
        co_return prepared;
      }
      submission.Handle(prepared.ok() ? co_await CommitRevision(context)
                                      : SubmissionEvent::CommitNotSent);
    }
    const auto needsDelay = submission.Step() == step ||
                            (step == SubmissionStep::Commit &&
                             submission.Step() == SubmissionStep::ReadHead);
    if (needsDelay) {
      co_await net::Sleep(kRetryDelay);
    }
  }
  if (submission.Step() == SubmissionStep::Accepted &&
      context.mRevision.mRevision != 0) {
    base::Log(kNoteAccepted,
              base::Cat(context.mRevision.mRevision, " by ", context.mActor));
    (void)AddRevision(EncodeRevision(context.mRevision));
    if (context.mRevision.mRevision % mOptions.mRevisionsPerCheckpoint == 0) {
      net::SpawnTask(co_await net::asio::this_coro::executor,
                     StoreCheckpoint(mCache.Newest()));
    }
  }
  co_return MakeResult(context, submission.Step());
}

auto ReleaseNotes::History(std::uint64_t aAfter,
                           std::size_t aLimit,
                           base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::vector<NoteRevision>>>
{
  const auto rows =
    co_await mDependencies.mTable.Scan(TableUse::ReleaseNote,
                                       std::string(kRevisionPrefix),
                                       RevisionKey(aAfter),
                                       aLimit,
                                       aDeadline);
  if (!rows.ok()) {
    co_return rows.status();
  }
  std::vector<NoteRevision> out;
  for (const auto& it : *rows) {
    auto revision = DecodeRevision(it.mValue);
    if (!revision.ok()) {
      co_return revision.status();
    }
    out.push_back(*std::move(revision));
  }
  co_return out;
}

} // namespace eelgrasspost::releasenote
