#include "childprocess.h"

#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace eelgrasspost::harness {

namespace {

auto AppendTo(posix_spawn_file_actions_t& aActions,
              int aFd,
              const std::string& aPath) -> void
{
  posix_spawn_file_actions_addopen(
    &aActions, aFd, aPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aStderrPath,
                           const std::string& aStdoutPath)
{
  int pipeFds[2];
  if (pipe2(pipeFds, O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (aStdoutPath.empty()) {
    posix_spawn_file_actions_adddup2(&actions, pipeFds[1], STDOUT_FILENO);
  } else {
    AppendTo(actions, STDOUT_FILENO, aStdoutPath);
  }
  AppendTo(actions, STDERR_FILENO, aStderrPath);
  std::vector<char*> arguments;
  arguments.push_back(const_cast<char*>(aProgram.c_str()));
  for (const auto& it : aArguments) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  const auto error = posix_spawn(
    &mId, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipeFds[1]);
  mOutputFd = pipeFds[0];
  if (error != 0) {
    throw std::runtime_error("cannot start " + aProgram);
  }
}

ChildProcess::~ChildProcess()
{
  if (!mHasExited) {
    Kill();
  }
  close(mOutputFd);
}

auto ChildProcess::ReadLine() -> std::string
{
  std::string line;
  char byte = 0;
  while (read(mOutputFd, &byte, 1) == 1 && byte != '\n') {
    line.push_back(byte);
  }
  return line;
}

auto ChildProcess::Signal(int aSignal) -> void
{
  if (!mHasExited) {
    kill(mId, aSignal);
  }
}

auto ChildProcess::Kill() -> void
{
  Signal(SIGKILL);
  Wait();
}

auto ChildProcess::Pause() -> void
{
  Signal(SIGSTOP);
}

auto ChildProcess::Resume() -> void
{
  Signal(SIGCONT);
}

auto ChildProcess::Terminate() -> void
{
  Signal(SIGTERM);
}

auto ChildProcess::Wait() -> int
{
  if (mHasExited) {
    return -1;
  }
  int status = 0;
  waitpid(mId, &status, 0);
  mHasExited = true;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace eelgrasspost::harness
