#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/releasenote/releasenotetypes.h"

namespace eelgrasspost::releasenote {

/** Parses a release note in JSON; the format is in docs/release-notes.md. All
 * mistakes are reported at once. */
auto ParseNote(std::string_view aText) -> absl::StatusOr<ReleaseNote>;

/** Writes a state as JSON, and reads it back. */
auto EncodeState(const ReleaseState& aState) -> std::string;
auto DecodeState(std::string_view aText) -> absl::StatusOr<ReleaseState>;

/** Applies a note to a state; gives the next state or kBadNote. */
auto ApplyNote(const ReleaseState& aState, const ReleaseNote& aNote)
  -> absl::StatusOr<ReleaseState>;

} // namespace eelgrasspost::releasenote
