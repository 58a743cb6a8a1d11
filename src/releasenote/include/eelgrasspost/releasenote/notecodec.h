#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "eelgrasspost/releasenote/releasenotetypes.h"

namespace eelgrasspost::releasenote {

/** Longest note, in bytes, so that a revision's row stays bounded. */
inline constexpr std::size_t kMaxNoteBytes = 256 * 1024;

/** Parses a release note in JSON; the format is in docs/release-notes.md. All
 * mistakes are reported at once, a line each. */
auto ParseNote(std::string_view aText) -> absl::StatusOr<ReleaseNote>;
/** Writes a note with all fields, always the same way. */
auto EncodeNote(const ReleaseNote& aNote) -> std::string;

/** Writes a whole state as JSON, and reads it back. */
auto EncodeState(const ReleaseState& aState) -> std::string;
auto DecodeState(std::string_view aText) -> absl::StatusOr<ReleaseState>;

/** A state is sent and stored in this many pieces, so that none is large. */
inline constexpr std::size_t kStateChunkCount = 16;
auto EncodeStateChunk(const ReleaseState& aState, std::size_t aPiece)
  -> std::string;
/** Adds the specs of a piece to a state. */
auto AddStateChunk(ReleaseState& aState, std::string_view aText)
  -> absl::Status;

auto EncodeRevision(const NoteRevision& aRevision) -> std::string;
auto DecodeRevision(std::string_view aText) -> absl::StatusOr<NoteRevision>;

/** Names a submission: the same note by the same actor is the same one. */
auto SubmissionIdOf(const ReleaseNote& aNote, std::string_view aActor)
  -> std::string;

/** Applies a note to a state; gives the next state or kBadNote. */
auto ApplyNote(const ReleaseState& aState, const ReleaseNote& aNote)
  -> absl::StatusOr<ReleaseState>;
/** Applies an accepted note; kBadState when it does not fit or the digest of
 * the outcome differs. */
auto ApplyRevision(const ReleaseState& aState, const NoteRevision& aRevision)
  -> absl::StatusOr<ReleaseState>;
/** What a note would change; kBadNote when it cannot be applied. */
auto PlanNote(const ReleaseState& aState, const ReleaseNote& aNote)
  -> absl::StatusOr<std::vector<PlannedChange>>;
/** "services +1 ~0 -2, teams +0 ~1 -0". */
auto SummaryOf(const ReleaseNote& aNote) -> std::string;

} // namespace eelgrasspost::releasenote
