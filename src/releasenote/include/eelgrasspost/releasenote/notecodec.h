#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/releasenote/releasenotetypes.h"

namespace eelgrasspost::releasenote {

/** Maximum size of a note, which bounds the size of a revision's row. */
inline constexpr std::size_t kMaxNoteBytes = 256 * 1024;

/** Parses a release note in JSON; docs/release-notes.md describes the format.
 * All errors are reported at once, one per line. */
auto ParseNote(std::string_view aText) -> absl::StatusOr<ReleaseNote>;
/** Writes a note with all its fields in a canonical form. */
auto EncodeNote(const ReleaseNote& aNote) -> std::string;

/** Writes a whole state as JSON, and reads it. */
auto EncodeState(const ReleaseState& aState) -> std::string;
auto DecodeState(std::string_view aText) -> absl::StatusOr<ReleaseState>;

/** Number of chunks in which a state is sent and stored, so that none is large.
 */
inline constexpr std::size_t kStateChunkCount = 16;
auto EncodeStateChunk(const ReleaseState& aState, std::size_t aChunkIndex)
  -> std::string;
/** Adds the specs of a chunk to a state. */
auto AddStateChunk(ReleaseState& aState, std::string_view aText)
  -> absl::Status;

auto EncodeRevision(const NoteRevision& aRevision) -> std::string;
auto DecodeRevision(std::string_view aText) -> absl::StatusOr<NoteRevision>;

/** Identifies a submission; the same note by the same actor has the same id. */
auto SubmissionIdOf(const ReleaseNote& aNote, std::string_view aActor)
  -> std::string;

/** Returns the state after a note, or kBadNote if it cannot be applied. */
auto ApplyNote(const ReleaseState& aState, const ReleaseNote& aNote)
  -> absl::StatusOr<ReleaseState>;
/** Returns the state after an accepted note, or kBadState if the note cannot be
 * applied or the resulting digest differs from the revision's. */
auto ApplyRevision(const ReleaseState& aState, const NoteRevision& aRevision)
  -> absl::StatusOr<ReleaseState>;
/** Returns what a note would change, or kBadNote if it cannot be applied. */
auto PlanNote(const ReleaseState& aState, const ReleaseNote& aNote)
  -> absl::StatusOr<std::vector<PlannedChange>>;
/** Returns the number of added, changed and withdrawn objects, for example
 * "services +1 ~0 -2, teams +0 ~1 -0". */
auto SummaryOf(const ReleaseNote& aNote) -> std::string;

} // namespace eelgrasspost::releasenote
