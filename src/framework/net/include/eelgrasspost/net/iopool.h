#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::net {

/**
 * Threads that each run an event loop of their own. Thread 0 carries the
 * control work of the process; callers' connections are spread over all.
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
  /** Takes the threads in turn. */
  auto NextExecutor() -> asio::any_io_executor;
  /** Starts a task; an exception that leaves it ends the process. */
  auto Spawn(const asio::any_io_executor& aExecutor, Task<void> aTask) -> void;
  /** Runs until Stop(); returns after all threads have ended. */
  auto Run() -> void;
  /** Starts the threads and returns. */
  auto Start() -> void;
  auto Stop() -> void;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** Suspends the calling task. */
auto Sleep(std::chrono::microseconds aTime) -> Task<void>;

/** Index of the pool thread that the caller runs on; 0 outside a pool. */
auto ThisThreadIndex() -> std::size_t;

/** Starts a task that nobody waits for; an exception ends the process. */
auto SpawnTask(const asio::any_io_executor& aExecutor, Task<void> aTask)
  -> void;

} // namespace eelgrasspost::net
