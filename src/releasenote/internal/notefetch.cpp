#include <algorithm>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/releasenote/notecodec.h"
#include "eelgrasspost/releasenote/releasenoteerrors.h"
#include "eelgrasspost/releasenote/releasenotelogevents.h"
#include "releasenotes.h"

namespace eelgrasspost::releasenote {

using platform::TableUse;

namespace {

constexpr std::size_t kRevisionsPerScan = 64;
constexpr std::size_t kRowsPerDelete = 200;
/** An entry that is further behind loads the checkpoint first. */
constexpr std::uint64_t kMaxRevisionsToReplay = 512;

} // namespace

auto ReleaseNotes::ReadHead(base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<Head>>
{
  const auto row = co_await mDependencies.mTable.Read(
    TableUse::ReleaseNote, std::string(kHeadKey), aDeadline);
  if (!row.ok()) {
    co_return row.status();
  }
  co_return ParseHeadRow(*row);
}

auto ReleaseNotes::CatchUp(std::uint64_t aHead, base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  if (aHead > Revision() + kMaxRevisionsToReplay) {
    const auto status = co_await LoadCheckpoint(aDeadline);
    if (!status.ok()) {
      co_return status;
    }
  }
  while (Revision() < aHead) {
    const auto before = Revision();
    const auto rows =
      co_await mDependencies.mTable.Scan(TableUse::ReleaseNote,
                                         std::string(kRevisionPrefix),
                                         RevisionKey(before),
                                         kRevisionsPerScan,
                                         aDeadline);
    if (!rows.ok()) {
      co_return rows.status();
    }
    for (const auto& it : *rows) {
      const auto status = AddRevision(it.mValue);
      if (!status.ok()) {
        co_return status;
      }
    }
    if (Revision() == before) {
      co_return base::MakeError(kBadState,
                                base::Cat("the head row names revision ",
                                          aHead,
                                          ", but its row is missing"));
    }
  }
  if (!mCache.Newest()) {
    AddState(ReleaseState{});
  }
  co_return absl::OkStatus();
}

auto ReleaseNotes::LoadCheckpoint(base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  const auto row = co_await mDependencies.mTable.Read(
    TableUse::ReleaseNote, std::string(kCheckpointKey), aDeadline);
  if (!row.ok()) {
    co_return row.status();
  }
  if (!*row) {
    co_return absl::OkStatus();
  }
  const auto checkpoint = DecodeCheckpoint((*row)->mValue);
  if (!checkpoint.ok()) {
    co_return checkpoint.status();
  }
  if (checkpoint->mRevision <= Revision()) {
    co_return absl::OkStatus();
  }
  auto state = co_await LoadChunks(*checkpoint, aDeadline);
  if (!state.ok()) {
    co_return state.status();
  }
  AddState(*std::move(state));
  co_return absl::OkStatus();
}

auto ReleaseNotes::LoadChunks(Checkpoint aCheckpoint,
                              base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<ReleaseState>>
{
  ReleaseState state;
  for (std::uint32_t i = 0; i < aCheckpoint.mChunkCount; ++i) {
    const auto bytes = co_await mDependencies.mObjects.Get(
      CheckpointObject(
        aCheckpoint.mRevision, mOptions.mRevisionsPerCheckpoint, i),
      aDeadline);
    if (!bytes.ok()) {
      co_return bytes.status();
    }
    const auto added = AddStateChunk(state, bytes->value_or("{}"));
    if (!added.ok()) {
      co_return added;
    }
  }
  state.mRevision = aCheckpoint.mRevision;
  if (state.mDigest != aCheckpoint.mDigest) {
    co_return base::MakeError(
      kBadState,
      base::Cat(
        "the checkpoint of revision ",
        aCheckpoint.mRevision,
        " does not match its digest; it is being replaced or is damaged"));
  }
  co_return state;
}

auto ReleaseNotes::StoreChunks(const ReleaseState& aState)
  -> net::Task<absl::Status>
{
  for (std::size_t i = 0; i < kStateChunkCount; ++i) {
    const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
    auto status = co_await mDependencies.mObjects.Put(
      CheckpointObject(aState.mRevision, mOptions.mRevisionsPerCheckpoint, i),
      EncodeStateChunk(aState, i),
      deadline);
    if (!status.ok()) {
      co_return status;
    }
  }
  co_return absl::OkStatus();
}

auto ReleaseNotes::StoreCheckpoint(std::shared_ptr<const ReleaseState> aState)
  -> net::Task<void>
{
  auto status = co_await StoreChunks(*aState);
  const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
  const auto row = co_await mDependencies.mTable.Read(
    TableUse::ReleaseNote, std::string(kCheckpointKey), deadline);
  if (status.ok()) {
    status = row.status();
  }
  if (status.ok()) {
    const auto stored =
      Checkpoint{ aState->mRevision,
                  aState->mDigest,
                  static_cast<std::uint32_t>(kStateChunkCount) };
    const auto version = *row ? (*row)->mVersion : platform::kAbsent;
    std::vector<platform::TableWrite> writes;
    writes.push_back(
      { std::string(kCheckpointKey), EncodeCheckpoint(stored), version });
    const auto older = *row ? DecodeCheckpoint((*row)->mValue)
                            : absl::StatusOr<Checkpoint>(Checkpoint{});
    const auto isNewer = older.ok() && older->mRevision < aState->mRevision;
    status = isNewer ? co_await mDependencies.mTable.Commit(
                         TableUse::ReleaseNote, std::move(writes), deadline)
                     : absl::OkStatus();
  }
  if (!status.ok()) {
    base::Log(kCheckpointFailed, base::MessageOf(status));
    co_return;
  }
  co_await DeleteOldRevisions(aState->mRevision);
}

auto ReleaseNotes::DeleteOldRevisions(std::uint64_t aCheckpoint)
  -> net::Task<void>
{
  const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
  if (aCheckpoint <= mOptions.mMinRetainedRevisions) {
    co_return;
  }
  const auto oldestKept =
    RevisionKey(aCheckpoint - mOptions.mMinRetainedRevisions);
  const auto rows =
    co_await mDependencies.mTable.Scan(TableUse::ReleaseNote,
                                       std::string(kRevisionPrefix),
                                       "",
                                       kRowsPerDelete,
                                       deadline);
  std::vector<platform::TableWrite> writes;
  for (std::size_t i = 0; rows.ok() && i < rows->size(); ++i) {
    if ((*rows)[i].mKey < oldestKept) {
      writes.push_back({ (*rows)[i].mKey, std::nullopt, std::nullopt });
    }
  }
  if (!writes.empty()) {
    (void)co_await mDependencies.mTable.Commit(
      TableUse::ReleaseNote, std::move(writes), deadline);
  }
}

auto ReleaseNotes::PollInterval() const -> base::Milliseconds
{
  constexpr std::size_t kMillisecondsPerSecond = 1000;
  const auto members = mDependencies.mMembership.View()->mMembers.size();
  const auto sharedInterval =
    members * kMillisecondsPerSecond /
    std::max<std::size_t>(1, mOptions.mMaxPollsPerSecond);
  return std::max(
    mOptions.mPollInterval,
    base::Milliseconds(static_cast<std::int64_t>(sharedInterval)));
}

auto ReleaseNotes::PollLoop() -> net::Task<void>
{
  while (true) {
    const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
    const auto head = co_await ReadHead(deadline);
    auto status = head.status();
    if (head.ok()) {
      status = co_await CatchUp(head->mRevision, deadline);
    }
    if (status.ok()) {
      mConfirmedAt = base::MonotonicClock::now();
    }
    if (status.ok() == mIsTableUnavailable) {
      mIsTableUnavailable = !status.ok();
      base::Log(mIsTableUnavailable ? kTableUnavailable : kTableAvailable,
                base::MessageOf(status));
    }
    co_await net::Sleep(PollInterval());
  }
}

} // namespace eelgrasspost::releasenote
