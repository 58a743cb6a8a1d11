#include "whenall.h"

#include <memory>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::dispatch {

namespace {

namespace asio = net::asio;

struct WhenAllState
{
  explicit WhenAllState(const asio::any_io_executor& aExecutor)
    : mAllDone(aExecutor, asio::steady_timer::time_point::max())
  {
  }
  asio::steady_timer mAllDone;
  std::size_t mPending = 0;
  bool mIsOk = true;
};

auto RunOne(std::shared_ptr<WhenAllState> aState, net::Task<bool> aTask)
  -> net::Task<void>
{
  const auto isOk = co_await std::move(aTask);
  aState->mIsOk = aState->mIsOk && isOk;
  if (--aState->mPending == 0) {
    aState->mAllDone.cancel();
  }
}

} // namespace

auto WhenAll(std::vector<net::Task<bool>> aTasks) -> net::Task<bool>
{
  const auto executor = co_await asio::this_coro::executor;
  auto state = std::make_shared<WhenAllState>(executor);
  state->mPending = aTasks.size();
  for (auto& it : aTasks) {
    net::SpawnTask(executor, RunOne(state, std::move(it)));
  }
  if (state->mPending > 0) {
    boost::system::error_code ec;
    co_await state->mAllDone.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return state->mIsOk;
}

} // namespace eelgrasspost::dispatch
