#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace eelgrasspost::harness {

/** A child process of a test. Signals go to its process id only. */
class ChildProcess
{
public:
  /** Starts a program; appends its standard error to a file, and its standard
   * output as well if a path is given for it. Otherwise ReadLine() reads it. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aStderrPath,
               const std::string& aStdoutPath = {});
  /** Kills the process if it still runs. */
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;

  /** Reads a line of standard output; empty at end of file. */
  auto ReadLine() -> std::string;
  auto Kill() -> void;
  auto Pause() -> void;
  auto Resume() -> void;
  auto Terminate() -> void;
  /** Waits for the process to exit; returns the exit code, or -1 if a signal
   * ended it or it was waited for before. */
  auto Wait() -> int;
  auto Id() const -> pid_t { return mId; }

private:
  auto Signal(int aSignal) -> void;

  pid_t mId = -1;
  int mOutputFd = -1;
  bool mHasExited = false;
};

} // namespace eelgrasspost::harness
