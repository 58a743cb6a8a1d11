#pragma once

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::releasenote {

inline constexpr auto kNoteAccepted =
  base::LogEvent{ 300,
                  base::LogLevel::Info,
                  "release note accepted",
                  "none; 'eelgrasspost note history' lists it" };

inline constexpr auto kRevisionApplied = base::LogEvent{
  301,
  base::LogLevel::Info,
  "revision applied",
  "none; every entry logs this once for each revision that it applies"
};

inline constexpr auto kStateRejected = base::LogEvent{
  302,
  base::LogLevel::Error,
  "inconsistent stored or received state was rejected",
  "check that all entries run the same version; the entry keeps its revision"
};

inline constexpr auto kTableUnavailable =
  base::LogEvent{ 303,
                  base::LogLevel::Warn,
                  "the head row of the release notes cannot be read",
                  "check the platform's table; the entry keeps its "
                  "revision and pulls from its peers" };

inline constexpr auto kTableAvailable =
  base::LogEvent{ 304,
                  base::LogLevel::Info,
                  "the head row of the release notes can be read again",
                  "none" };

inline constexpr auto kCheckpointFailed = base::LogEvent{
  305,
  base::LogLevel::Warn,
  "storing a checkpoint of the release state failed",
  "check the object store; a later note triggers another checkpoint"
};

} // namespace eelgrasspost::releasenote
