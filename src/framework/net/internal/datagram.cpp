#include "eelgrasspost/net/datagram.h"

#include <array>

#include "eelgrasspost/base/text.h"
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "isolation.h"

namespace eelgrasspost::net {

using Udp = asio::ip::udp;
using boost::system::error_code;

struct DatagramSocket::Impl : std::enable_shared_from_this<Impl>
{
  explicit Impl(IoPool& aPool)
    : mPool(aPool)
    , mSocket(aPool.Executor(0))
  {
  }

  IoPool& mPool;
  Udp::socket mSocket;
  Handler mHandler;

  auto HandleDatagram(std::string_view aBytes) -> void
  {
    try {
      mHandler(aBytes);
    } catch (...) {
      LogHandlerError("datagram");
    }
  }

  auto Receive() -> Task<void>
  {
    const auto self = shared_from_this();
    auto buf = std::array<char, kMaxDatagramBytes>();
    while (mSocket.is_open()) {
      error_code ec;
      Udp::endpoint from;
      const auto n = co_await mSocket.async_receive_from(
        asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted) {
        co_return;
      }
      if (!ec) {
        HandleDatagram(std::string_view(buf.data(), n));
      }
    }
  }
};

DatagramSocket::DatagramSocket(IoPool& aPool)
  : mImpl(std::make_shared<Impl>(aPool))
{
}

DatagramSocket::~DatagramSocket() = default;

auto DatagramSocket::Bind(const Address& aAddress, Handler aHandler)
  -> absl::StatusOr<Address>
{
  try {
    const auto ip = asio::ip::make_address(aAddress.mIp);
    const auto endpoint = Udp::endpoint(ip, aAddress.mPort);
    mImpl->mHandler = std::move(aHandler);
    mImpl->mSocket.open(endpoint.protocol());
    mImpl->mSocket.bind(endpoint);
    mImpl->mSocket.non_blocking(true);
    const auto bound = mImpl->mSocket.local_endpoint();
    SpawnTask(mImpl->mPool.Executor(0), mImpl->Receive());
    return Address{ bound.address().to_string(), bound.port() };
  } catch (const boost::system::system_error& e) {
    return absl::UnavailableError(
      base::Cat("cannot bind UDP ",
                ToString(aAddress),
                ": ",
                e.what(),
                "; choose another port or stop the process that uses it"));
  }
}

auto DatagramSocket::Send(const Address& aTo, std::string_view aBytes) -> void
{
  error_code ec;
  const auto ip = asio::ip::make_address(aTo.mIp, ec);
  if (ec) {
    return;
  }
  mImpl->mSocket.send_to(
    asio::buffer(aBytes), Udp::endpoint(ip, aTo.mPort), 0, ec);
}

auto DatagramSocket::Close() -> void
{
  asio::post(mImpl->mPool.Executor(0), [impl = mImpl] {
    error_code ec;
    impl->mSocket.close(ec);
  });
}

} // namespace eelgrasspost::net
