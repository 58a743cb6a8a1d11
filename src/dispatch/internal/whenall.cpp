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

struct AddToBatch
{
  explicit AddToBatch(const asio::any_io_executor& aExecutor)
    : mAllDone(aExecutor, asio::steady_timer::time_point::max())
  {
  }
  asio::steady_timer mAllDone;
  std::size_t mLeft = 0;
  bool mIsOk = true;
};

auto RunOne(std::shared_ptr<AddToBatch> aJoin, net::Task<bool> aTask)
  -> net::Task<void>
{
  const auto isOk = co_await std::move(aTask);
  aJoin->mIsOk = aJoin->mIsOk && isOk;
  if (--aJoin->mLeft == 0) {
    aJoin->mAllDone.cancel();
  }
}

} // namespace

auto WhenAll(std::vector<net::Task<bool>> aTasks) -> net::Task<bool>
{
  const auto executor = co_await asio::this_coro::executor;
  auto join = std::make_shared<AddToBatch>(executor);
  join->mLeft = aTasks.size();
  for (auto& it : aTasks) {
    net::SpawnTask(executor, RunOne(join, std::move(it)));
  }
  if (join->mLeft > 0) {
    boost::system::error_code ec;
    co_await join->mAllDone.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return join->mIsOk;
}

} // namespace eelgrasspost::dispatch
