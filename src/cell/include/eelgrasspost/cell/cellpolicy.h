#pragma once

#include <cstdint>

#include "eelgrasspost/cell/celltypes.h"

namespace eelgrasspost::cell {

/** Limits and times that govern a cell's decisions. */
struct CellPolicy
{
  /** Longest lease that workers grant, in ms (bound maxHoldMs). */
  std::int64_t mLeaseMs = 6000;
  /** A run whose percentage does not change for this time is restarted on
   * another worker; longer for tasks of which a percent takes longer. */
  Milliseconds mStallLimit{ 1500 };
  /** The same for best-effort and long-running tasks. */
  Milliseconds mLongStallLimit{ 4000 };
  /** A worker that has not answered for this time gets no new starts. */
  Milliseconds mSilenceLimit{ 2500 };
  /** Delay before a task whose start was refused is placed again. */
  Milliseconds mRefusalBackoff{ 100 };
  Milliseconds mStopRetry{ 600 };
  /** Consecutive failures, of more than one job, that put a worker on
   * probation. */
  std::uint32_t mProbationFailures = 3;
  Milliseconds mProbation{ 3000 };
  /** Room is gathered for large tasks that wait; see lookahead.h. */
  bool mLooksAhead = false;
  /** Slow tasks get a second run where their step allows it. */
  bool mStartsDuplicates = false;
  /** Scheduled occurrences may be opened this much before their time. */
  std::int64_t mEarlyMs = 0;
  /** Delay before new long-running tasks are placed. Tasks that arrive together
   * can then be placed together, and a job can move to a cell with more free
   * capacity first. */
  Milliseconds mPlacementDelay{ 0 };
  /** Best-effort tasks are paused when a serving tail beside them has been over
   * its target for this time. */
  Milliseconds mMaxOverTarget{ 1500 };
  /** Longest work of a best-effort task that a stop discards, if it saves
   * checkpoints; zero: moves of throttled runs are not weighed. */
  Milliseconds mCheckpointInterval{ 0 };
  /** Time in which a task that resumes from a checkpoint does no work. */
  Milliseconds mRestoreTime{ 0 };
  /** Best-effort tasks beside serving ones near their target are paused when
   * their worker has not reported for this time; zero: they are not. */
  Milliseconds mMaxUnreported{ 0 };
  /** A crash of a worker is counted for the tasks that were started on it less
   * than this time before. */
  Milliseconds mCrashWindow{ 150 };
  /** A job fails after this number of confirmed crashes under one of its
   * tasks, */
  std::uint32_t mMaxConfirmedCrashes = 2;
  /** or after this number of crashes, confirmed or not. */
  std::uint32_t mMaxCrashes = 3;
};

} // namespace eelgrasspost::cell
