#pragma once

#include <string>

#include "commands.h"

namespace eelgrasspost::app {

/** Arguments of `eelgrasspost load` as given on the command line. */
struct LoadArguments
{
  /** Comma-separated IP:PORT of entries, which get the requests in turn. */
  std::string mEntries;
  std::string mService;
  /** Path and query below the service. */
  std::string mPath = "/";
  std::string mSteps;
  std::int64_t mDeadlineMs = 0;
};

/** Sends requests at the given rates and prints a line for each step. */
auto RunLoadCommand(const LoadArguments& aArguments) -> ExitCode;

} // namespace eelgrasspost::app
