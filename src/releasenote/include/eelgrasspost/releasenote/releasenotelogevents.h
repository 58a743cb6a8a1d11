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
  "revision in force",
  "none; every entry logs it once for each revision that it passes through"
};

inline constexpr auto kStateRejected = base::LogEvent{
  302,
  base::LogLevel::Error,
  "stored or received state does not fit",
  "check that all entries run the same version; the entry keeps its revision"
};

inline constexpr auto kTableUnavailable =
  base::LogEvent{ 303,
                  base::LogLevel::Warn,
                  "the head of the release notes cannot be read",
                  "check the platform's table; the entry goes on with its "
                  "revision and asks its peers" };

inline constexpr auto kTableAvailable =
  base::LogEvent{ 304,
                  base::LogLevel::Info,
                  "the head of the release notes can be read again",
                  "none" };

inline constexpr auto kCheckpointFailed =
  base::LogEvent{ 305,
                  base::LogLevel::Warn,
                  "the whole state was not stored",
                  "check the object store; a later note stores it again" };

} // namespace eelgrasspost::releasenote
