#include "releasenotes.h"

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"

namespace eelgrasspost::releasenote {

namespace json = base::json;
using platform::TableUse;

auto RevisionKey(std::uint64_t aRevision) -> std::string
{
  return fmt::format("note/revision/{:012}", aRevision);
}

namespace {

auto AuditRow(std::uint64_t aRevision,
              const std::string& aActor,
              const std::string& aNote) -> platform::TableWrite
{
  json::object record;
  record["what"] = "release_note";
  record["who"] = aActor;
  record["when_ms"] = base::WallClockMs();
  record["before"] = aRevision - 1;
  record["after"] = aRevision;
  record["note"] = aNote;
  return { fmt::format("audit/note/{:012}", aRevision),
           base::ToText(record),
           platform::kAbsent };
}

} // namespace

ReleaseNotes::ReleaseNotes(platform::ITable& aTable,
                           ReleaseNoteOptions aOptions)
  : mTable(aTable)
  , mOptions(aOptions)
{
}

auto ReleaseNotes::InForce() const -> std::shared_ptr<const ReleaseState>
{
  return mInForce.Read();
}

auto ReleaseNotes::Adopt(ReleaseState aState) -> void
{
  const auto current = mInForce.Read();
  if (current && current->mRevision >= aState.mRevision) {
    return;
  }
  mInForce.Publish(std::make_shared<const ReleaseState>(std::move(aState)));
}

auto ReleaseNotes::ReadNewest(base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<ReleaseState>>
{
  const auto head = co_await mTable.Read(
    TableUse::ReleaseNote, std::string(kHeadKey), aDeadline);
  if (!head.ok()) {
    co_return head.status();
  }
  if (!*head) {
    co_return ReleaseState{};
  }
  const auto revision = base::ParseNumber<std::uint64_t>((*head)->mValue);
  const auto row = co_await mTable.Read(
    TableUse::ReleaseNote, RevisionKey(revision.value_or(0)), aDeadline);
  if (!row.ok()) {
    co_return row.status();
  }
  if (!*row) {
    co_return base::MakeError(platform::kBadAnswer, "a head without its note");
  }
  co_return DecodeState((*row)->mValue);
}

auto ReleaseNotes::Submit(std::string aNoteText,
                          std::string aActor,
                          base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::uint64_t>>
{
  const auto note = ParseNote(aNoteText);
  if (!note.ok()) {
    co_return note.status();
  }
  const auto newest = co_await ReadNewest(aDeadline);
  if (!newest.ok()) {
    co_return newest.status();
  }
  if (note->mBase != newest->mRevision) {
    co_return base::MakeError(kRevisionConflict,
                              base::Cat("the note builds on revision ",
                                        note->mBase,
                                        " but revision ",
                                        newest->mRevision,
                                        " is the newest"));
  }
  auto next = ApplyNote(*newest, *note);
  if (!next.ok()) {
    co_return next.status();
  }
  const auto revision = next->mRevision;
  std::vector<platform::TableWrite> writes;
  writes.push_back(
    { std::string(kHeadKey),
      base::Cat(revision),
      newest->mRevision == 0 ? platform::kAbsent : newest->mRevision });
  writes.push_back(
    { RevisionKey(revision), EncodeState(*next), platform::kAbsent });
  writes.push_back(AuditRow(revision, aActor, aNoteText));
  const auto status =
    co_await mTable.Commit(TableUse::ReleaseNote, std::move(writes), aDeadline);
  if (base::IsKind(status, platform::kVersionConflict)) {
    co_return base::MakeError(
      kRevisionConflict,
      base::Cat("another note became revision ", revision, " first"));
  }
  if (!status.ok()) {
    co_return base::MakeError(kNoteOutcomeUnknown, base::MessageOf(status));
  }
  Adopt(*std::move(next));
  co_return revision;
}

auto ReleaseNotes::Run() -> net::Task<void>
{
  while (true) {
    const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
    auto newest = co_await ReadNewest(deadline);
    if (newest.ok()) {
      Adopt(*std::move(newest));
    }
    co_await net::Sleep(mOptions.mPollInterval);
  }
}

} // namespace eelgrasspost::releasenote
