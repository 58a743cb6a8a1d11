#pragma once

#include "eelgrasspost/base/errors.h"

namespace eelgrasspost::releasenote {

inline constexpr auto kBadNote = base::ErrorKind{
  "bad_note",
  absl::StatusCode::kInvalidArgument,
  "correct the fields that are named and submit the note again",
};

inline constexpr auto kRevisionConflict = base::ErrorKind{
  "revision_conflict",
  absl::StatusCode::kAborted,
  "plan the note against the newer revision and submit it again",
};

inline constexpr auto kNoteOutcomeUnknown = base::ErrorKind{
  "note_outcome_unknown",
  absl::StatusCode::kUnavailable,
  "submit the same note again; repeating it is harmless",
};

} // namespace eelgrasspost::releasenote
