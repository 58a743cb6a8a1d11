#pragma once

#include <istream>
#include <string_view>

#include "eelgrasspost/explain/explaintypes.h"

namespace eelgrasspost::explain {

/** Reads log lines of entries. Text before a line's JSON object, as log
 * collectors add it, is ignored; other lines are counted as skipped. */
auto ReadLog(std::istream& aInput) -> EntryLog;

/** Whether any line is about a job or one of its tasks. */
auto HasJob(const EntryLog& aLog, std::string_view aJobId) -> bool;

/** The lines about a job or one of its tasks, each on a line of its own with
 * the time since the first, and what ended the job. */
auto RenderHistory(const EntryLog& aLog, std::string_view aJobId)
  -> std::string;

/** Adds up the times of all tasks, by queue. */
auto SumTimes(const EntryLog& aLog) -> std::vector<QueueTimes>;

auto RenderTimes(const std::vector<QueueTimes>& aTimes) -> std::string;

} // namespace eelgrasspost::explain
