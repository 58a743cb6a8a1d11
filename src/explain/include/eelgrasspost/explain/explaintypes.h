#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/jsonfields.h"

namespace eelgrasspost::explain {

/** A JSON line that an entry has logged. */
struct LogLine
{
  int mEvent = 0;
  /** Wall clock time of the entry, in ms since the Unix epoch. */
  std::int64_t mUtcMs = 0;
  std::string mEntry;
  std::string mText;
  base::json::object mFields;
};

/** The lines of one or more entries, ordered by time. */
struct EntryLog
{
  std::vector<LogLine> mLines;
  /** Lines without a complete JSON object of an event. */
  std::size_t mSkippedLines = 0;
  /** Lines that the entries left out to bound the volume. */
  std::int64_t mLeftOutLines = 0;
};

/** Where the time of the tasks of one queue went, in seconds, summed over all
 * tasks. */
struct QueueTimes
{
  std::string mQueue;
  std::uint64_t mStarts = 0;
  std::uint64_t mStops = 0;
  double mWaitForFirstStartS = 0;
  /** Waits for another start after a stop, a failure or a loss. */
  double mWaitForRestartS = 0;
  double mRunDoneS = 0;
  double mRunStoppedS = 0;
  double mRunFailedS = 0;
  /** Runs that lapsed or ended with their gang. */
  double mRunLostS = 0;
};

} // namespace eelgrasspost::explain
