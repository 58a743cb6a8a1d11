#pragma once

#include "eelgrasspost/base/errors.h"

namespace eelgrasspost::releasenote {

inline constexpr auto kBadNote = base::ErrorKind{
  "bad_note",
  absl::StatusCode::kInvalidArgument,
  "correct the listed fields and submit the note again",
};

inline constexpr auto kRevisionConflict = base::ErrorKind{
  "revision_conflict",
  absl::StatusCode::kAborted,
  "plan the note against the newer revision and submit it again",
};

inline constexpr auto kNoteOutcomeUnknown = base::ErrorKind{
  "note_outcome_unknown",
  absl::StatusCode::kUnavailable,
  "submit the same note again; it is accepted at most once",
};

/** Nothing of the note was written. */
inline constexpr auto kNoteNotSubmitted = base::ErrorKind{
  "note_not_submitted",
  absl::StatusCode::kUnavailable,
  "submit the note again when the platform's table is available",
};

/** Stored or received state is inconsistent. */
inline constexpr auto kBadState = base::ErrorKind{
  "bad_state",
  absl::StatusCode::kDataLoss,
  "check that all entries run the same version",
};

inline constexpr auto kUnknownRevision = base::ErrorKind{
  "unknown_revision",
  absl::StatusCode::kNotFound,
  "list the revisions with 'eelgrasspost note history'",
};

} // namespace eelgrasspost::releasenote
