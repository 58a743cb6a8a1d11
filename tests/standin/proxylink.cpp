#include "proxylink.h"

#include <array>
#include <deque>
#include <random>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace eelgrasspost::standin {

namespace asio = net::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

namespace {

constexpr std::size_t kChunkBytes = 64 * 1024;
constexpr auto kBlockedPollInterval = base::Milliseconds(2);

auto DelayOf(const LinkFault& aFault) -> base::Microseconds
{
  return base::Milliseconds(aFault.mDelayMs) +
         base::Microseconds(aFault.mDelayUs);
}

struct Chunk
{
  std::string mBytes;
  base::MonotonicTime mReadAt;
};

struct Relay
{
  Relay(ProxyLinkPtr aLink, Tcp::socket aClient, std::string aSource)
    : mLink(std::move(aLink))
    , mClient(std::move(aClient))
    , mServer(mClient.get_executor())
    , mSource(std::move(aSource))
  {
  }

  ProxyLinkPtr mLink;
  Tcp::socket mClient;
  Tcp::socket mServer;
  std::string mSource;
  std::int64_t mBytesToClient = 0;

  auto Close() -> void
  {
    error_code ec;
    mClient.close(ec);
    mServer.close(ec);
  }
};

using RelayPtr = std::shared_ptr<Relay>;

struct Direction
{
  RelayPtr mRelay;
  bool mIsToClient = false;
  std::deque<Chunk> mChunks;
  bool mEnded = false;
  /** Wakes the writer; cancelled when a chunk arrives or reading ends. */
  asio::steady_timer mChunkAvailable{ mRelay->mClient.get_executor() };

  Direction(RelayPtr aRelay, bool aIsToClient)
    : mRelay(std::move(aRelay))
    , mIsToClient(aIsToClient)
  {
  }

  auto From() -> Tcp::socket&
  {
    return mIsToClient ? mRelay->mServer : mRelay->mClient;
  }
  auto To() -> Tcp::socket&
  {
    return mIsToClient ? mRelay->mClient : mRelay->mServer;
  }
  auto Fault() const -> LinkFault
  {
    return mRelay->mLink->FaultFor(mRelay->mSource);
  }
  auto IsBlocked() const -> bool
  {
    const auto fault = Fault();
    return mIsToClient ? fault.mBlocksToClient : fault.mBlocksToUpstream;
  }
};

using DirectionPtr = std::shared_ptr<Direction>;

auto ReadChunks(DirectionPtr aDirection) -> net::Task<void>
{
  auto buf = std::string(kChunkBytes, '\0');
  error_code ec;
  while (!ec) {
    const auto n = co_await aDirection->From().async_read_some(
      asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      aDirection->mChunks.push_back(
        { buf.substr(0, n), base::MonotonicClock::now() });
      aDirection->mChunkAvailable.cancel();
    }
  }
  aDirection->mEnded = true;
  aDirection->mChunkAvailable.cancel();
}

/** Truncates a chunk to the byte limit of mCloseAfterBytesToClient; returns
 * whether the limit is reached, so that the connection has to be closed. */
auto TruncateToClient(Direction& aDirection, std::string& aBytes) -> bool
{
  const auto limit = aDirection.Fault().mCloseAfterBytesToClient;
  if (!aDirection.mIsToClient || limit < 0) {
    return false;
  }
  auto& sent = aDirection.mRelay->mBytesToClient;
  const auto left = std::max<std::int64_t>(0, limit - sent);
  const auto ends = static_cast<std::int64_t>(aBytes.size()) >= left;
  aBytes.resize(std::min(aBytes.size(), static_cast<std::size_t>(left)));
  sent += static_cast<std::int64_t>(aBytes.size());
  return ends;
}

auto WriteChunks(DirectionPtr aDirection) -> net::Task<void>
{
  error_code ec;
  while (!ec) {
    if (aDirection->mChunks.empty()) {
      if (aDirection->mEnded) {
        break;
      }
      error_code ignored;
      aDirection->mChunkAvailable.expires_at(base::MonotonicTime::max());
      co_await aDirection->mChunkAvailable.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    const auto delay = DelayOf(aDirection->Fault());
    const auto due = aDirection->mChunks.front().mReadAt + delay;
    const auto now = base::MonotonicClock::now();
    if (aDirection->IsBlocked()) {
      co_await net::Sleep(kBlockedPollInterval);
      continue;
    }
    if (now < due) {
      co_await net::Sleep(
        std::chrono::duration_cast<base::Microseconds>(due - now));
    }
    auto chunk = std::move(aDirection->mChunks.front());
    aDirection->mChunks.pop_front();
    const auto ends = TruncateToClient(*aDirection, chunk.mBytes);
    co_await asio::async_write(aDirection->To(),
                               asio::buffer(chunk.mBytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ends) {
      break;
    }
  }
  aDirection->mRelay->Close();
}

auto RelayConnection(RelayPtr aRelay) -> net::Task<void>
{
  const auto fault = aRelay->mLink->FaultFor(aRelay->mSource);
  if (fault.mRefusesConnections) {
    aRelay->Close();
    co_return;
  }
  const auto& upstream = aRelay->mLink->mUpstream;
  error_code ec;
  const auto target =
    Tcp::endpoint(asio::ip::make_address(upstream.mIp), upstream.mPort);
  co_await aRelay->mServer.async_connect(
    target, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    aRelay->Close();
    co_return;
  }
  aRelay->mServer.set_option(Tcp::no_delay(true), ec);
  aRelay->mClient.set_option(Tcp::no_delay(true), ec);
  const auto executor = aRelay->mClient.get_executor();
  for (const auto back : { false, true }) {
    auto direction = std::make_shared<Direction>(aRelay, back);
    net::SpawnTask(executor, ReadChunks(direction));
    net::SpawnTask(executor, WriteChunks(direction));
  }
}

auto AcceptTcp(ProxyLinkPtr aLink, Tcp::acceptor aAcceptor) -> net::Task<void>
{
  while (true) {
    error_code ec;
    auto socket = co_await aAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      continue;
    }
    const auto source = socket.remote_endpoint(ec).address().to_string();
    auto relay = std::make_shared<Relay>(aLink, std::move(socket), source);
    net::SpawnTask(aAcceptor.get_executor(), RelayConnection(relay));
  }
}

auto SendAfterDelay(std::shared_ptr<Udp::socket> aOut,
                    Udp::endpoint aTo,
                    std::string aBytes,
                    std::int64_t aDelayMs) -> net::Task<void>
{
  if (aDelayMs > 0) {
    co_await net::Sleep(base::Milliseconds(aDelayMs));
  }
  error_code ec;
  aOut->send_to(asio::buffer(aBytes), aTo, 0, ec);
}

auto RelayDatagrams(ProxyLinkPtr aLink, std::shared_ptr<Udp::socket> aSocket)
  -> net::Task<void>
{
  constexpr unsigned kSeed = 7;
  auto random = std::mt19937(kSeed);
  auto percent = std::uniform_int_distribution<std::int64_t>(0, 99);
  auto buf = std::string(kChunkBytes, '\0');
  while (true) {
    error_code ec;
    Udp::endpoint from;
    const auto n = co_await aSocket->async_receive_from(
      asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
    const auto fault = aLink->FaultFor(from.address().to_string());
    if (ec || fault.mBlocksToUpstream || percent(random) < fault.mDropPercent) {
      continue;
    }
    const auto to = Udp::endpoint(asio::ip::make_address(aLink->mUpstream.mIp),
                                  aLink->mUpstream.mPort);
    const auto copies = percent(random) < fault.mDuplicatePercent ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      net::SpawnTask(
        aSocket->get_executor(),
        SendAfterDelay(aSocket, to, buf.substr(0, n), fault.mDelayMs));
    }
  }
}

} // namespace

auto ProxyLink::FaultFor(const std::string& aSource) const -> LinkFault
{
  const LinkFault* any = nullptr;
  for (const auto& it : mFaults) {
    if (it.mFrom == aSource) {
      return it;
    }
    if (it.mFrom == "*") {
      any = &it;
    }
  }
  return any == nullptr ? LinkFault{} : *any;
}

auto ProxyLink::SetFault(const LinkFault& aFault) -> void
{
  std::erase_if(mFaults, [&](const LinkFault& aOther) {
    return aOther.mFrom == aFault.mFrom;
  });
  mFaults.push_back(aFault);
}

auto StartLink(net::IoPool& aPool, const ProxyLinkPtr& aLink) -> void
{
  constexpr int kAttempts = 100;
  const auto executor = aPool.Executor(0);
  const auto ip = asio::ip::make_address(aLink->mListen.mIp);
  const auto listen = Tcp::endpoint(ip, aLink->mListen.mPort);
  auto acceptor = Tcp::acceptor(executor, listen);
  auto socket = std::make_shared<Udp::socket>(executor, Udp::v4());
  boost::system::error_code ec;
  // A port that is free for TCP may be in use for UDP.
  for (auto i = 0; i < kAttempts; ++i) {
    socket->bind(Udp::endpoint(ip, acceptor.local_endpoint().port()), ec);
    if (!ec || listen.port() != 0) {
      break;
    }
    acceptor = Tcp::acceptor(executor, listen);
  }
  if (ec) {
    throw boost::system::system_error(ec);
  }
  aLink->mListen.mPort = acceptor.local_endpoint().port();
  net::SpawnTask(executor, AcceptTcp(aLink, std::move(acceptor)));
  net::SpawnTask(executor, RelayDatagrams(aLink, std::move(socket)));
}

} // namespace eelgrasspost::standin
