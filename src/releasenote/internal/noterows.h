#pragma once

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/platform/platformtypes.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"

namespace eelgrasspost::releasenote {

/** Keys of the rows that hold the notes. */
inline constexpr std::string_view kHeadKey = "note/head";
inline constexpr std::string_view kRevisionPrefix = "note/revision/";
inline constexpr std::string_view kCheckpointKey = "note/checkpoint";
auto RevisionKey(std::uint64_t aRevision) -> std::string;

/** The head row: which revision is the newest. */
struct Head
{
  std::uint64_t mRevision = 0;
  /** Version of the row; the next acceptance expects it. */
  std::uint64_t mVersion = platform::kAbsent;
};

auto ReadHeadRow(const std::optional<platform::TableRow>& aRow)
  -> absl::StatusOr<Head>;

/** The one transaction that accepts a note. */
auto AcceptanceWrites(const Head& aHead, const NoteRevision& aRevision)
  -> std::vector<platform::TableWrite>;

/** Where a whole state lies in the object store. */
struct Checkpoint
{
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  std::uint32_t mChunkCount = 0;
};

auto EncodeCheckpoint(const Checkpoint& aCheckpoint) -> std::string;
auto DecodeCheckpoint(std::string_view aText) -> absl::StatusOr<Checkpoint>;
/** Places are used in turn, so that the object store does not fill. */
auto CheckpointObject(std::uint64_t aRevision,
                      std::uint64_t aEvery,
                      std::size_t aPiece) -> std::string;

} // namespace eelgrasspost::releasenote
