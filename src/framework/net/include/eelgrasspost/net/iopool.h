#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::net {

/**
 * Threads that each run their own event loop. Thread 0 also runs the control
 * tasks of the process; connections are distributed over all threads.
 */
class IoPool
{
public:
  explicit IoPool(std::size_t aThreads);
  ~IoPool();
  IoPool(const IoPool&) = delete;
  auto operator=(const IoPool&) -> IoPool& = delete;

  auto Size() const -> std::size_t;
  auto Executor(std::size_t aThread) -> asio::any_io_executor;
  /** Selects the threads in round-robin order. */
  auto NextExecutor() -> asio::any_io_executor;
  /** Starts a detached task; an uncaught exception terminates the process. */
  auto Spawn(const asio::any_io_executor& aExecutor, Task<void> aTask) -> void;
  /** Starts the threads and returns when they have ended after Stop(). */
  auto Run() -> void;
  /** Starts the threads and returns. */
  auto Start() -> void;
  auto Stop() -> void;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Suspends the calling task for a duration. */
auto Sleep(std::chrono::microseconds aDuration) -> Task<void>;

/** Returns the index of the current pool thread; 0 outside a pool. */
auto ThisThreadIndex() -> std::size_t;

/** Starts a detached task; an uncaught exception terminates the process. */
auto SpawnTask(const asio::any_io_executor& aExecutor, Task<void> aTask)
  -> void;

} // namespace eelgrasspost::net
