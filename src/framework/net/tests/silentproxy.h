#pragma once

#include <array>
#include <list>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::net::testing {

/** Forwards connections to a server. Open connections can be made to go silent
 * for good, while new ones work. */
class SilentProxy : public std::enable_shared_from_this<SilentProxy>
{
public:
  using Tcp = asio::ip::tcp;

  SilentProxy(IoPool& aPool, const Address& aTarget)
    : mAcceptor(aPool.Executor(0), Tcp::endpoint(Loopback(), 0))
    , mTarget(aTarget)
  {
  }

  auto ListenAddress() const -> Address
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  auto Connections() const -> std::size_t { return mLinks.size(); }

  /** Must be called on the pool's thread. */
  auto Silence() -> void
  {
    for (auto& it : mLinks) {
      it->mIsSilent = true;
    }
  }

  auto Run() -> Task<void>
  {
    const auto self = shared_from_this();
    while (true) {
      boost::system::error_code ec;
      auto link = std::make_shared<Link>(mAcceptor.get_executor());
      co_await mAcceptor.async_accept(
        link->mNear, asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      co_await link->mFar.async_connect(
        Tcp::endpoint(Loopback(), mTarget.mPort), asio::use_awaitable);
      mLinks.push_back(link);
      SpawnTask(mAcceptor.get_executor(),
                Forward(link, link->mNear, link->mFar));
      SpawnTask(mAcceptor.get_executor(),
                Forward(link, link->mFar, link->mNear));
    }
  }

private:
  struct Link
  {
    explicit Link(const asio::any_io_executor& aExecutor)
      : mNear(aExecutor)
      , mFar(aExecutor)
    {
    }
    Tcp::socket mNear;
    Tcp::socket mFar;
    bool mIsSilent = false;
  };

  static auto Loopback() -> asio::ip::address
  {
    return asio::ip::make_address("127.0.0.1");
  }

  static auto Forward(std::shared_ptr<Link> aLink,
                      Tcp::socket& aFrom,
                      Tcp::socket& aTo) -> Task<void>
  {
    boost::system::error_code ec;
    auto buf = std::array<char, 4096>();
    while (!ec) {
      const auto n = co_await aFrom.async_read_some(
        asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      if (!ec && !aLink->mIsSilent) {
        co_await asio::async_write(
          aTo,
          asio::buffer(buf.data(), n),
          asio::redirect_error(asio::use_awaitable, ec));
      }
    }
    aTo.close(ec);
  }

  Tcp::acceptor mAcceptor;
  Address mTarget;
  std::list<std::shared_ptr<Link>> mLinks;
};

} // namespace eelgrasspost::net::testing
