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

constexpr auto kPauseAfterFailure = base::Milliseconds(50);

} // namespace

auto ReleaseNotes::ObserveHead(Work& aWork) -> net::Task<SubmissionEvent>
{
  const auto head = co_await ReadHead(aWork.mDeadline);
  if (!head.ok()) {
    co_return SubmissionEvent::ReadFailed;
  }
  aWork.mHead = *head;
  if (head->mRevision < aWork.mNote.mBaseRevision) {
    co_return SubmissionEvent::HeadIsOlder;
  }
  co_return head->mRevision == aWork.mNote.mBaseRevision
    ? SubmissionEvent::HeadIsBase
    : SubmissionEvent::HeadIsNewer;
}

auto ReleaseNotes::ObserveWinner(const Work& aWork)
  -> net::Task<SubmissionEvent>
{
  const auto row =
    co_await mParts.mTable.Read(TableUse::ReleaseNote,
                                RevisionKey(aWork.mNote.mBaseRevision + 1),
                                aWork.mDeadline);
  if (!row.ok()) {
    co_return SubmissionEvent::ReadFailed;
  }
  if (!*row) {
    // History keeps it no longer, so it was accepted long ago.
    co_return SubmissionEvent::WinnerIsOther;
  }
  const auto winner = DecodeRevision((*row)->mValue);
  const auto isOwn =
    winner.ok() && winner->mSubmissionId == aWork.mSubmissionId;
  co_return isOwn ? SubmissionEvent::WinnerIsOwn
                  : SubmissionEvent::WinnerIsOther;
}

auto ReleaseNotes::PrepareRevision(Work& aWork) -> net::Task<absl::Status>
{
  if (aWork.mRevision.mRevision != 0) {
    co_return absl::OkStatus();
  }
  auto base = mCache.StateAt(aWork.mNote.mBaseRevision);
  if (!base) {
    const auto status =
      co_await CatchUp(aWork.mNote.mBaseRevision, aWork.mDeadline);
    base = mCache.StateAt(aWork.mNote.mBaseRevision);
    if (!base) {
      co_return status.ok()
        ? base::MakeError(kNoteNotSubmitted, "the note's base is not known")
        : status;
    }
  }
  const auto next = ApplyNote(*base, aWork.mNote);
  if (!next.ok()) {
    co_return next.status();
  }
  aWork.mRevision = { next->mRevision,     aWork.mActor,  base::WallClockMs(),
                      aWork.mSubmissionId, next->mDigest, aWork.mNote };
  co_return absl::OkStatus();
}

auto ReleaseNotes::CommitRevision(const Work& aWork)
  -> net::Task<SubmissionEvent>
{
  const auto status = co_await mParts.mTable.Commit(
    TableUse::ReleaseNote,
    AcceptanceWrites(aWork.mHead, aWork.mRevision),
    aWork.mDeadline);
  if (status.ok()) {
    co_return SubmissionEvent::Committed;
  }
  co_return base::IsKind(status, platform::kNotReached)
    ? SubmissionEvent::CommitNotSent
    : SubmissionEvent::CommitUnclear;
}

auto ReleaseNotes::Conclude(const Work& aWork, SubmissionStep aStep)
  -> absl::StatusOr<std::uint64_t>
{
  const auto revision = aWork.mNote.mBaseRevision + 1;
  switch (aStep) {
    case SubmissionStep::Accepted:
      return revision;
    case SubmissionStep::Conflict:
      return base::MakeError(kRevisionConflict,
                             base::Cat("the note builds on revision ",
                                       aWork.mNote.mBaseRevision,
                                       " but revision ",
                                       aWork.mHead.mRevision,
                                       " is the newest"));
    case SubmissionStep::NotSubmitted:
      return base::MakeError(kNoteNotSubmitted,
                             "the platform's table did not answer in time");
    default:
      return base::MakeError(
        kNoteOutcomeUnknown,
        base::Cat("the note may have become revision ", revision));
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
  const auto name = SubmissionIdOf(*note, aActor);
  auto work =
    Work{ *std::move(note), std::move(aActor), name, aDeadline, {}, {} };
  Submission submission;
  while (!IsFinal(submission.Step())) {
    const auto step = submission.Step();
    if (base::MonotonicClock::now() >= aDeadline) {
      submission.Handle(SubmissionEvent::OutOfTime);
    } else if (step == SubmissionStep::ReadHead) {
      submission.Handle(co_await ObserveHead(work));
    } else if (step == SubmissionStep::ReadWinner) {
      submission.Handle(co_await ObserveWinner(work));
    } else {
      const auto prepared = co_await PrepareRevision(work);
      if (base::IsKind(prepared, kBadNote)) {
        co_return prepared;
      }
      submission.Handle(prepared.ok() ? co_await CommitRevision(work)
                                      : SubmissionEvent::CommitNotSent);
    }
    const auto isStuck = submission.Step() == step ||
                         (step == SubmissionStep::Commit &&
                          submission.Step() == SubmissionStep::ReadHead);
    if (isStuck) {
      co_await net::Sleep(kPauseAfterFailure);
    }
  }
  if (submission.Step() == SubmissionStep::Accepted &&
      work.mRevision.mRevision != 0) {
    base::Log(kNoteAccepted,
              base::Cat(work.mRevision.mRevision, " of ", work.mActor));
    (void)AddRevision(EncodeRevision(work.mRevision));
    if (work.mRevision.mRevision % mOptions.mRevisionsPerCheckpoint == 0) {
      net::SpawnTask(co_await net::asio::this_coro::executor,
                     StoreCheckpoint(mCache.Newest()));
    }
  }
  co_return Conclude(work, submission.Step());
}

auto ReleaseNotes::History(std::uint64_t aAfter,
                           std::size_t aLimit,
                           base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::vector<NoteRevision>>>
{
  const auto rows = co_await mParts.mTable.Scan(TableUse::ReleaseNote,
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
