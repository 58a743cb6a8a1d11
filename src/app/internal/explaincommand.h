#pragma once

#include <string>
#include <vector>

#include "commands.h"

namespace eelgrasspost::app {

/** Prints a job's history from the log lines in the files, or in the standard
 * input if there are none. */
auto ExplainJob(const std::string& aJobId,
                const std::vector<std::string>& aFiles) -> ExitCode;

/** Prints where the tasks of each queue spent their time. */
auto ExplainTimes(const std::vector<std::string>& aFiles) -> ExitCode;

} // namespace eelgrasspost::app
