#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace eelgrasspost::harness {

/** A process that a test starts, and ends by its id. */
class ChildProcess
{
public:
  /** Starts a program; its standard error goes to a file. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aErrorFile);
  /** Kills the process if it still runs. */
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;

  /** Reads a line of standard output; empty at its end. */
  auto ReadLine() -> std::string;
  auto Kill() -> void;
  auto Pause() -> void;
  auto Resume() -> void;
  auto Terminate() -> void;
  /** Waits for the end; gives the exit code, or -1 after a signal. */
  auto Wait() -> int;
  auto Id() const -> pid_t { return mId; }

private:
  auto Signal(int aSignal) -> void;

  pid_t mId = -1;
  int mOutput = -1;
  bool mEnded = false;
};

} // namespace eelgrasspost::harness
