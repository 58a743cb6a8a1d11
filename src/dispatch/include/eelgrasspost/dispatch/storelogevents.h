#pragma once

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::dispatch {

inline constexpr auto kStoreUnreachable = base::LogEvent{
  913,
  base::LogLevel::Warn,
  "the store does not respond to this entry",
  "check the store; accepted jobs keep running",
};

inline constexpr auto kStoreReachable = base::LogEvent{
  914,
  base::LogLevel::Info,
  "the store responds to this entry again",
  "none",
};

inline constexpr auto kCommitRefused = base::LogEvent{
  976,
  base::LogLevel::Warn,
  "the store refuses a transaction",
  "until tells whether it may accept it later; largest_row_bytes tells whether "
  "a row is too large, and largest_row of which job or worker it is; refused "
  "counts the transactions since the last such line",
};

inline constexpr auto kJobSetAside = base::LogEvent{
  977,
  base::LogLevel::Error,
  "the store will never take the state of a job as it is; the job goes on, and "
  "the ends of its runs are not acknowledged",
  "report it as a fault; see the reason and what breaks a limit of the store; "
  "other jobs are not affected; after a takeover its tasks may run again",
};

inline constexpr auto kEndsReleased = base::LogEvent{
  978,
  base::LogLevel::Error,
  "ends are acknowledged that are not stored, as they keep a worker from "
  "listing later ones",
  "see 977 of the job; after a takeover its tasks may run again",
};

inline constexpr auto kCheckpointsNotStored = base::LogEvent{
  979,
  base::LogLevel::Warn,
  "checkpoints are too long to be stored with the progress of their job",
  "none; after a takeover the tasks may start from an earlier point; use "
  "shorter checkpoints",
};

inline constexpr auto kProgressUnreadable = base::LogEvent{
  980,
  base::LogLevel::Error,
  "the stored progress of a job cannot be decoded; no task of it is started",
  "check whether a later version has written it, and start that one; the rows "
  "are kept",
};

inline constexpr auto kMemberRejected = base::LogEvent{
  982,
  base::LogLevel::Error,
  "the store will never take the row of a worker as a member of its cell; the "
  "worker gets no orders",
  "give the worker a shorter id, or see the reason; other workers are not "
  "affected",
};

} // namespace eelgrasspost::dispatch
