#pragma once

#include <future>

#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::platform::tests {

/** Runs a task on a pool that lives as long as the process, and gives its
 * result. */
template<typename T>
auto RunTask(net::Task<T> aTask) -> T
{
  static net::IoPool pool(1);
  static const auto isStarted = (pool.Start(), true);
  (void)isStarted;
  std::promise<T> promise;
  auto run = [&]() -> net::Task<void> {
    promise.set_value(co_await std::move(aTask));
  };
  pool.Spawn(pool.Executor(0), run());
  return promise.get_future().get();
}

} // namespace eelgrasspost::platform::tests
