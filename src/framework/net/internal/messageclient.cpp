#include <atomic>
#include <map>
#include <optional>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "connect.h"
#include "eelgrasspost/base/text.h"
#include "frame.h"

namespace eelgrasspost::net {

namespace {

using Tcp = asio::ip::tcp;
using boost::system::error_code;

/** A call that waits for its reply. */
struct PendingCall
{
  explicit PendingCall(const asio::any_io_executor& aExecutor)
    : mDone(aExecutor)
  {
  }
  asio::steady_timer mDone;
  bool mHasReply = false;
  bool mHasFailed = false;
  std::string mBytes;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

/** A connection on which a reply is due is probed after this time, */
constexpr auto kProbeDelay = std::chrono::milliseconds(300);
/** and given up if nothing arrives for this time after the probe. A peer that
 * is slower than this misses its heartbeats as well. */
constexpr auto kProbeTimeout = std::chrono::milliseconds(900);
/** Correlation id of probes; calls have higher ones. */
constexpr std::uint64_t kProbeId = 0;

/** A connection to an address, used by a single thread. */
struct Connection : std::enable_shared_from_this<Connection>
{
  explicit Connection(const asio::any_io_executor& aExecutor)
    : mSocket(aExecutor)
    , mWriter(std::make_shared<FrameWriter>(mSocket))
  {
  }

  Tcp::socket mSocket;
  std::shared_ptr<FrameWriter> mWriter;
  std::unordered_map<std::uint64_t, PendingCallPtr> mPending;
  std::uint64_t mNextCorrelationId = 1;
  bool mIsBroken = false;
  base::MonotonicTime mOpenedAt = base::MonotonicClock::now();
  base::MonotonicTime mLastReceivedAt = mOpenedAt;
  /** Since when a reply has been due while nothing arrived. */
  std::optional<base::MonotonicTime> mSilentSince;
  bool mIsWatched = false;

  auto NoteReceived() -> void
  {
    mLastReceivedAt = base::MonotonicClock::now();
    mSilentSince =
      mPending.empty() ? std::nullopt : std::optional(mLastReceivedAt);
  }

  /** Ends once no reply is due; returns whether the connection is silent. */
  auto WatchSilence() -> Task<bool>
  {
    const auto self = shared_from_this();
    mIsWatched = true;
    std::optional<base::MonotonicTime> probed;
    while (!mIsBroken && mSilentSince) {
      const auto now = base::MonotonicClock::now();
      const auto dueAt = *mSilentSince + kProbeDelay;
      if (probed && *probed < *mSilentSince) {
        probed.reset();
      }
      if (now < dueAt) {
        co_await SleepUntil(dueAt);
      } else if (!probed) {
        probed = now;
        mWriter->Write(EncodeFrame(
          { kProbeId, static_cast<std::uint16_t>(MessageKind::Probe), {} }));
      } else if (now < *probed + kProbeTimeout) {
        co_await SleepUntil(*probed + kProbeTimeout);
      } else if (error_code ec; mSocket.available(ec) > 0) {
        // This process was suspended, or is late itself.
        mSilentSince = now;
      } else {
        mIsWatched = false;
        co_return true;
      }
    }
    mIsWatched = false;
    co_return false;
  }

  static auto SleepUntil(base::MonotonicTime aTime) -> Task<void>
  {
    co_await Sleep(std::chrono::ceil<std::chrono::milliseconds>(
      aTime - base::MonotonicClock::now()));
  }

  auto Fail() -> void
  {
    mIsBroken = true;
    mWriter->Close();
    error_code ec;
    mSocket.close(ec);
    for (auto& [id, it] : mPending) {
      it->mHasFailed = true;
      it->mDone.cancel();
    }
    mPending.clear();
  }

  auto ReadReplies(std::atomic<std::uint64_t>& aLateReplies) -> Task<void>
  {
    const auto self = shared_from_this();
    while (!mIsBroken) {
      Frame frame;
      error_code ec;
      co_await ReadFrame(mSocket, frame, ec);
      if (ec) {
        Fail();
        co_return;
      }
      auto it = mPending.find(frame.mCorrelationId);
      if (it == mPending.end()) {
        aLateReplies += frame.mCorrelationId == kProbeId ? 0 : 1;
        NoteReceived();
        continue;
      }
      it->second->mHasReply = true;
      it->second->mBytes = std::move(frame.mBytes);
      it->second->mDone.cancel();
      mPending.erase(it);
      NoteReceived();
    }
  }
};

using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace

struct MessageClient::Impl
{
  using Connections = std::map<Address, ConnectionPtr>;

  std::string mBindIp;
  /** One per pool thread, used only by that thread. */
  std::vector<Connections> mConnections;
  std::atomic<std::uint64_t> mLateReplies{ 0 };
  OnSilentConnection mOnSilent = [](const SilentConnection&) {};

  auto Watch(Address aAddress, ConnectionPtr aConnection) -> Task<void>
  {
    if (!co_await aConnection->WatchSilence()) {
      co_return;
    }
    const auto now = base::MonotonicClock::now();
    const auto since = [&](base::MonotonicTime aTime) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(now - aTime);
    };
    mOnSilent({ aAddress,
                since(aConnection->mOpenedAt),
                since(aConnection->mLastReceivedAt) });
    aConnection->Fail();
  }

  auto GetConnection(const Address& aAddress, base::MonotonicTime aDeadline)
    -> Task<ConnectionPtr>
  {
    auto& connections = mConnections[ThisThreadIndex()];
    if (auto it = connections.find(aAddress);
        it != connections.end() && !it->second->mIsBroken) {
      co_return it->second;
    }
    auto connection =
      std::make_shared<Connection>(co_await asio::this_coro::executor);
    const auto ec =
      co_await Connect(connection->mSocket, aAddress, mBindIp, aDeadline);
    if (ec) {
      co_return nullptr;
    }
    // Another call may have connected in the meantime; its connection is used.
    auto& current = connections[aAddress];
    if (current && !current->mIsBroken) {
      co_return current;
    }
    current = connection;
    SpawnTask(connection->mSocket.get_executor(),
              connection->ReadReplies(mLateReplies));
    co_return connection;
  }
};

MessageClient::MessageClient(std::size_t aThreads, std::string aBindIp)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mBindIp = std::move(aBindIp);
  mImpl->mConnections.resize(aThreads);
}

MessageClient::~MessageClient() = default;

auto MessageClient::Call(const Address& aAddress,
                         MessageKind aKind,
                         std::string aBytes,
                         base::MonotonicTime aDeadline) -> Task<MessageReply>
{
  const auto connection = co_await mImpl->GetConnection(aAddress, aDeadline);
  if (!connection) {
    co_return MessageReply{ absl::UnavailableError(base::Cat(
                              "cannot connect to entry ", ToString(aAddress))),
                            SendProgress::NothingSent,
                            {} };
  }
  const auto id = connection->mNextCorrelationId++;
  auto call = std::make_shared<PendingCall>(connection->mSocket.get_executor());
  call->mDone.expires_at(aDeadline);
  connection->mPending.emplace(id, call);
  connection->mWriter->Write(
    EncodeFrame({ id, static_cast<std::uint16_t>(aKind), std::move(aBytes) }));
  if (!connection->mSilentSince) {
    connection->mSilentSince = base::MonotonicClock::now();
  }
  if (!connection->mIsWatched) {
    connection->mIsWatched = true;
    SpawnTask(connection->mSocket.get_executor(),
              mImpl->Watch(aAddress, connection));
  }
  error_code ec;
  co_await call->mDone.async_wait(
    asio::redirect_error(asio::use_awaitable, ec));
  connection->mPending.erase(id);
  if (call->mHasReply) {
    co_return MessageReply{ absl::OkStatus(),
                            SendProgress::MaybeSent,
                            std::move(call->mBytes) };
  }
  auto status =
    call->mHasFailed
      ? absl::UnavailableError(base::Cat(
          "the connection to entry ", ToString(aAddress), " was lost"))
      : absl::DeadlineExceededError(
          base::Cat("no reply in time from entry ", ToString(aAddress)));
  co_return MessageReply{ std::move(status), SendProgress::MaybeSent, {} };
}

auto MessageClient::SetOnSilentConnection(OnSilentConnection aFunction) -> void
{
  mImpl->mOnSilent = std::move(aFunction);
}

auto MessageClient::LateReplies() const -> std::uint64_t
{
  return mImpl->mLateReplies;
}

} // namespace eelgrasspost::net
