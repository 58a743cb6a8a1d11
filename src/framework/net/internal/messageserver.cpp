#include <atomic>
#include <unordered_map>

#include "eelgrasspost/base/text.h"
#include "frame.h"
#include "isolation.h"
#include "listen.h"

namespace eelgrasspost::net {

namespace {

using Tcp = asio::ip::tcp;
using boost::system::error_code;

struct ServerConnection
{
  explicit ServerConnection(Tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mWriter(std::make_shared<FrameWriter>(mSocket))
  {
  }
  ~ServerConnection() { mWriter->Close(); }
  ServerConnection(const ServerConnection&) = delete;
  auto operator=(const ServerConnection&) -> ServerConnection& = delete;

  Tcp::socket mSocket;
  std::shared_ptr<FrameWriter> mWriter;
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

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
  std::atomic<std::uint64_t> mReceived{ 0 };

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
      auto connection = std::make_shared<ServerConnection>(std::move(socket));
      SpawnTask(executor, Serve(std::move(connection)));
    }
  }

  auto Serve(ServerConnectionPtr aConnection) -> Task<void>
  {
    const auto self = shared_from_this();
    while (true) {
      Frame frame;
      error_code ec;
      co_await ReadFrame(aConnection->mSocket, frame, ec);
      if (!ec &&
          frame.mKind == static_cast<std::uint16_t>(MessageKind::Probe)) {
        aConnection->mWriter->Write(
          EncodeFrame({ frame.mCorrelationId, frame.mKind, {} }));
        continue;
      }
      if (ec || !mHandlers.contains(frame.mKind)) {
        aConnection->mWriter->Close();
        aConnection->mSocket.close(ec);
        co_return;
      }
      SpawnTask(aConnection->mSocket.get_executor(),
                HandleMessage(aConnection, std::move(frame)));
    }
  }

  auto HandleMessage(ServerConnectionPtr aConnection, Frame aFrame)
    -> Task<void>
  {
    const auto self = shared_from_this();
    const auto& handler = mHandlers.at(aFrame.mKind);
    ++mReceived;
    ++mInFlight;
    auto handled = co_await RunIsolated<std::string>(
      "message", [&] { return handler(std::move(aFrame.mBytes)); });
    --mInFlight;
    if (!handled) {
      // Other calls use the connection. This one ends at its deadline, with an
      // unknown outcome.
      co_return;
    }
    auto& bytes = *handled;
    if (bytes.empty()) {
      error_code ec;
      aConnection->mSocket.close(ec);
      co_return;
    }
    aConnection->mWriter->Write(
      EncodeFrame({ aFrame.mCorrelationId, aFrame.mKind, std::move(bytes) }));
  }
};

MessageServer::MessageServer(IoPool& aPool)
  : mImpl(std::make_shared<Impl>(aPool))
{
}

MessageServer::~MessageServer() = default;

auto MessageServer::RegisterHandler(MessageKind aKind, Handler aHandler) -> void
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

auto MessageServer::ReceivedCount() const -> std::uint64_t
{
  return mImpl->mReceived;
}

auto MessageServer::Stop() -> void
{
  asio::post(mImpl->mPool.Executor(0), [impl = mImpl] {
    error_code ec;
    impl->mAcceptor.close(ec);
  });
}

} // namespace eelgrasspost::net
