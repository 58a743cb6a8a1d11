#include "connect.h"

#include <algorithm>
#include <memory>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace eelgrasspost::net {

using Tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

/** Timeout for connecting if the deadline of the call is later. */
constexpr auto kConnectTimeout = std::chrono::milliseconds(1000);

} // namespace

auto Connect(Tcp::socket& aSocket,
             const Address& aAddress,
             const std::string& aBindIp,
             base::MonotonicTime aDeadline) -> Task<error_code>
{
  error_code ec;
  const auto target =
    Tcp::endpoint(asio::ip::make_address(aAddress.mIp, ec), aAddress.mPort);
  if (ec) {
    co_return ec;
  }
  aSocket.open(target.protocol(), ec);
  if (!aBindIp.empty()) {
    aSocket.bind(Tcp::endpoint(asio::ip::make_address(aBindIp, ec), 0), ec);
  }
  const auto limit = base::MonotonicClock::now() + kConnectTimeout;
  auto timer =
    asio::steady_timer(aSocket.get_executor(), std::min(limit, aDeadline));
  // Cancelling the timer does not take back a handler that is already due.
  const auto isOver = std::make_shared<bool>(false);
  timer.async_wait([&aSocket, isOver](error_code aError) {
    if (!aError && !*isOver) {
      error_code ignored;
      aSocket.close(ignored);
    }
  });
  co_await aSocket.async_connect(target,
                                 asio::redirect_error(asio::use_awaitable, ec));
  timer.cancel();
  *isOver = true;
  if (!ec) {
    aSocket.set_option(Tcp::no_delay(true), ec);
  }
  co_return ec;
}

} // namespace eelgrasspost::net
