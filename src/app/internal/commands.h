#pragma once

namespace eelgrasspost::app {

/** Exit codes of the command line. */
enum class ExitCode : int
{
  Done = 0,
  /** The work was refused or failed; the message names the remedy. */
  Failed = 1,
  /** The command line is wrong. */
  Usage = 2,
  /** No entry could be reached. */
  Unreachable = 3,
};

/** Runs one subcommand. */
auto RunCommand(int aCount, char** aArguments) -> ExitCode;

} // namespace eelgrasspost::app
