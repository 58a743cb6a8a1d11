#pragma once

#include <string>

#include "commands.h"

namespace eelgrasspost::app {

/** Arguments of `eelgrasspost load` as they were written. */
struct LoadArguments
{
  /** Entries as IP:PORT, with commas; requests go to them in turn. */
  std::string mEntries;
  std::string mService;
  /** Path and query below the service. */
  std::string mPath = "/";
  std::string mSteps;
  std::int64_t mDeadlineMs = 0;
};

/** Sends requests at given rates, and prints a line for each step. */
auto RunLoadCommand(const LoadArguments& aArguments) -> ExitCode;

} // namespace eelgrasspost::app
