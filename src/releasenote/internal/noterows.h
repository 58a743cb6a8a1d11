#pragma once

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/platform/platformtypes.h"
#include "eelgrasspost/releasenote/releasenotetypes.h"

namespace eelgrasspost::releasenote {

/** Keys of the rows that store the release notes. */
inline constexpr std::string_view kHeadKey = "note/head";
inline constexpr std::string_view kRevisionPrefix = "note/revision/";
inline constexpr std::string_view kCheckpointKey = "note/checkpoint";
auto RevisionKey(std::uint64_t aRevision) -> std::string;

/** The head row, which names the newest revision. */
struct Head
{
  std::uint64_t mRevision = 0;
  /** Version of the row, which the commit of the next revision expects. */
  std::uint64_t mVersion = platform::kAbsent;
};

auto ParseHeadRow(const std::optional<platform::TableRow>& aRow)
  -> absl::StatusOr<Head>;

/** Returns the writes of the transaction that accepts a note. */
auto AcceptanceWrites(const Head& aHead, const NoteRevision& aRevision)
  -> std::vector<platform::TableWrite>;

/** A whole state in the object store. */
struct Checkpoint
{
  std::uint64_t mRevision = 0;
  std::uint64_t mDigest = 0;
  std::uint32_t mChunkCount = 0;
};

auto EncodeCheckpoint(const Checkpoint& aCheckpoint) -> std::string;
auto DecodeCheckpoint(std::string_view aText) -> absl::StatusOr<Checkpoint>;
/** Returns the name of a chunk's object. Checkpoints rotate through a fixed
 * number of slots, which bounds their space in the object store. */
auto CheckpointObject(std::uint64_t aRevision,
                      std::uint64_t aRevisionsPerCheckpoint,
                      std::size_t aChunkIndex) -> std::string;

} // namespace eelgrasspost::releasenote
