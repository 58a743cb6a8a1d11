#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::ownership {

/** State shared by the loops of ForEachConcurrently. */
struct ForEachProgress
{
  std::size_t mNext = 0;
  std::size_t mRunning = 0;
};

template<typename Function>
auto RunLoop(std::shared_ptr<ForEachProgress> aProgress,
             std::shared_ptr<net::asio::steady_timer> aDone,
             std::size_t aCount,
             Function aFunction) -> net::Task<void>
{
  while (aProgress->mNext < aCount) {
    const auto index = aProgress->mNext++;
    co_await aFunction(index);
  }
  if (--aProgress->mRunning == 0) {
    aDone->cancel();
  }
}

/** Calls a coroutine function with 0 to aCount - 1, at most aMaxConcurrent at
 * once, and waits for all calls. The executor must run on a single thread. */
template<typename Function>
auto ForEachConcurrently(std::size_t aCount,
                         std::size_t aMaxConcurrent,
                         Function aFunction) -> net::Task<void>
{
  namespace asio = net::asio;
  const auto executor = co_await asio::this_coro::executor;
  auto progress = std::make_shared<ForEachProgress>();
  auto done = std::make_shared<asio::steady_timer>(
    executor, asio::steady_timer::time_point::max());
  progress->mRunning = std::min(aCount, aMaxConcurrent);
  const auto loops = progress->mRunning;
  for (std::size_t i = 0; i < loops; ++i) {
    net::SpawnTask(executor, RunLoop(progress, done, aCount, aFunction));
  }
  if (progress->mRunning > 0) {
    boost::system::error_code ec;
    co_await done->async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

} // namespace eelgrasspost::ownership
