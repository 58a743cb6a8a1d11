#pragma once

namespace eelgrasspost::app {

/** Exit codes of the command line. */
enum class ExitCode : int
{
  Done = 0,
  /** The request was rejected or failed; the message states the remedy. */
  Failed = 1,
  /** The command line is invalid. */
  Usage = 2,
  /** The entry could not be reached. */
  Unreachable = 3,
};

/** Runs the subcommand that the arguments name. */
auto RunCommand(int aCount, char** aArguments) -> ExitCode;

} // namespace eelgrasspost::app
