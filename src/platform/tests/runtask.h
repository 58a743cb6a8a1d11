#pragma once

#include <future>

#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::platform::tests {

/** A pool that lives until the process ends. */
inline auto TestPool() -> net::IoPool&
{
  static net::IoPool pool(1);
  static const auto kIsStarted = (pool.Start(), true);
  (void)kIsStarted;
  return pool;
}

/** Runs a task and returns its result. */
template<typename T>
auto RunTask(net::Task<T> aTask) -> T
{
  std::promise<T> promise;
  auto run = [&]() -> net::Task<void> {
    promise.set_value(co_await std::move(aTask));
  };
  TestPool().Spawn(TestPool().Executor(0), run());
  return promise.get_future().get();
}

} // namespace eelgrasspost::platform::tests
