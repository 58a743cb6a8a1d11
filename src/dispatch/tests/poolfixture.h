#pragma once

#include <functional>
#include <future>
#include <thread>

#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::dispatch::testing {

/** A pool with one thread, and functions that wait for its tasks. */
struct PoolFixture
{
  net::IoPool mPool{ 1 };

  ~PoolFixture() { StopPool(); }

  /** Stops the pool and waits for its thread. A fixture calls it in its
   * destructor, before the members that the pool's tasks use are destroyed. */
  auto StopPool() -> void
  {
    mPool.Stop();
    if (mRunner.joinable()) {
      mRunner.join();
    }
  }

  template<typename T>
  auto Wait(net::Task<T> aTask) -> T
  {
    std::promise<T> promise;
    auto run = [](net::Task<T> aInner,
                  std::promise<T>& aPromise) -> net::Task<void> {
      aPromise.set_value(co_await std::move(aInner));
    };
    mPool.Spawn(mPool.Executor(0), run(std::move(aTask), promise));
    return promise.get_future().get();
  }

  /** Runs a task without a result and returns the given one. */
  template<typename T>
  auto Wait(net::Task<void> aTask, T aResult) -> T
  {
    auto run = [](net::Task<void> aInner, T aValue) -> net::Task<T> {
      co_await std::move(aInner);
      co_return aValue;
    };
    return Wait(run(std::move(aTask), std::move(aResult)));
  }

  /** Waits on the pool's thread until a condition holds; false after 5 s. */
  auto Until(std::function<bool()> aCondition) -> bool
  {
    auto poll = [](std::function<bool()> aHolds) -> net::Task<bool> {
      for (auto i = 0; i < 1000; ++i) {
        if (aHolds()) {
          co_return true;
        }
        co_await net::Sleep(std::chrono::milliseconds(5));
      }
      co_return false;
    };
    return Wait(poll(std::move(aCondition)));
  }

private:
  std::thread mRunner{ [this] { mPool.Run(); } };
};

} // namespace eelgrasspost::dispatch::testing
