#include <atomic>
#include <unordered_map>

#include "eelgrasspost/base/text.h"
#include "frame.h"
#include "listen.h"

namespace eelgrasspost::net {

namespace {

using Tcp = asio::ip::tcp;
using boost::system::error_code;

struct ServerLink
{
  explicit ServerLink(Tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mWriter(std::make_shared<FrameWriter>(mSocket))
  {
  }
  ~ServerLink() { mWriter->Close(); }
  ServerLink(const ServerLink&) = delete;
  auto operator=(const ServerLink&) -> ServerLink& = delete;

  Tcp::socket mSocket;
  std::shared_ptr<FrameWriter> mWriter;
};

using ServerLinkPtr = std::shared_ptr<ServerLink>;

} // namespace

struct MessageServer::Impl : std::enable_shared_from_this<Impl>
{
  explicit Impl(IoPool& aPool)
    : mPool(aPool)
    , mAcceptor(aPool.Executor(0))
  {
  }

  IoPool& mPool;
  Tcp::acceptor mAcceptor;
  std::unordered_map<std::uint16_t, Handler> mHandlers;
  std::atomic<std::size_t> mInFlight{ 0 };
  std::atomic<std::uint64_t> mTaken{ 0 };

  auto Accept() -> Task<void>
  {
    const auto self = shared_from_this();
    while (mAcceptor.is_open()) {
      error_code ec;
      const auto executor = mPool.NextExecutor();
      auto socket = co_await mAcceptor.async_accept(
        executor, asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted) {
        co_return;
      }
      if (ec) {
        constexpr auto kPauseAfterError = std::chrono::milliseconds(10);
        co_await Sleep(kPauseAfterError);
        continue;
      }
      socket.set_option(Tcp::no_delay(true), ec);
      auto link = std::make_shared<ServerLink>(std::move(socket));
      SpawnTask(executor, Serve(std::move(link)));
    }
  }

  auto Serve(ServerLinkPtr aLink) -> Task<void>
  {
    const auto self = shared_from_this();
    while (true) {
      Frame frame;
      error_code ec;
      co_await ReadFrame(aLink->mSocket, frame, ec);
      if (ec || !mHandlers.contains(frame.mKind)) {
        aLink->mWriter->Close();
        aLink->mSocket.close(ec);
        co_return;
      }
      SpawnTask(aLink->mSocket.get_executor(), Answer(aLink, std::move(frame)));
    }
  }

  auto Answer(ServerLinkPtr aLink, Frame aFrame) -> Task<void>
  {
    const auto self = shared_from_this();
    const auto& handler = mHandlers.at(aFrame.mKind);
    ++mTaken;
    ++mInFlight;
    auto bytes = co_await handler(std::move(aFrame.mBytes));
    --mInFlight;
    if (bytes.empty()) {
      error_code ec;
      aLink->mSocket.close(ec);
      co_return;
    }
    aLink->mWriter->Write(
      EncodeFrame({ aFrame.mCorrelation, aFrame.mKind, std::move(bytes) }));
  }
};

MessageServer::MessageServer(IoPool& aPool)
  : mImpl(std::make_shared<Impl>(aPool))
{
}

MessageServer::~MessageServer() = default;

auto MessageServer::Handle(MessageKind aKind, Handler aHandler) -> void
{
  mImpl->mHandlers[static_cast<std::uint16_t>(aKind)] = std::move(aHandler);
}

auto MessageServer::Listen(const Address& aAddress) -> absl::StatusOr<Address>
{
  auto bound = OpenAcceptor(mImpl->mAcceptor, aAddress);
  if (bound.ok()) {
    SpawnTask(mImpl->mPool.Executor(0), mImpl->Accept());
  }
  return bound;
}

auto MessageServer::InFlight() const -> std::size_t
{
  return mImpl->mInFlight;
}

auto MessageServer::Taken() const -> std::uint64_t
{
  return mImpl->mTaken;
}

auto MessageServer::Stop() -> void
{
  asio::post(mImpl->mPool.Executor(0), [impl = mImpl] {
    error_code ec;
    impl->mAcceptor.close(ec);
  });
}

} // namespace eelgrasspost::net
