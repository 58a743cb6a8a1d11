#include "peers.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::dispatch {

namespace {

/** Entries without heartbeats for this time get only every eighth one. */
constexpr auto kUnresponsivePeerTimeout = Milliseconds(10000);
constexpr std::uint64_t kUnresponsivePeerInterval = 8;

} // namespace

Peers::Peers(net::IoPool& aPool, std::string aName)
  : mSocket(aPool)
  , mName(std::move(aName))
  , mTimer(aPool.Executor(0))
{
}

auto Peers::Bind(const net::Address& aAddress, OnHeartbeat aOnHeartbeat)
  -> absl::StatusOr<net::Address>
{
  mOnHeartbeat = std::move(aOnHeartbeat);
  return mSocket.Bind(aAddress,
                      [this](std::string_view aBytes) { Receive(aBytes); });
}

auto Peers::Receive(std::string_view aBytes) -> void
{
  auto heartbeat = net::Decode<Heartbeat>(aBytes);
  if (!heartbeat.ok() || heartbeat->mName == mName) {
    return;
  }
  auto& peer = mPeers[heartbeat->mName];
  if (heartbeat->mIncarnation < peer.mLastHeartbeat.mIncarnation) {
    return;
  }
  peer.mRow = { heartbeat->mName,
                heartbeat->mIncarnation,
                heartbeat->mDomain,
                heartbeat->mPeers };
  peer.mLastHeartbeat = *std::move(heartbeat);
  peer.mLastHeartbeatAt = base::MonotonicClock::now();
  mOnHeartbeat(peer.mLastHeartbeat);
  // The cells have stored the estimates.
  peer.mLastHeartbeat.mEstimates.clear();
}

auto Peers::Update(const EntryRow& aRow) -> void
{
  if (aRow.mName == mName) {
    return;
  }
  auto& peer = mPeers[aRow.mName];
  if (aRow.mIncarnation >= peer.mRow.mIncarnation) {
    peer.mRow = aRow;
    peer.mRowReadAt = base::MonotonicClock::now();
  }
}

auto Peers::Remove(const std::string& aName) -> void
{
  mPeers.erase(aName);
}

auto Peers::IsAlive(const Peer& aPeer, MonotonicTime aNow) const -> bool
{
  return aPeer.mLastHeartbeatAt != MonotonicTime{} &&
         aNow - aPeer.mLastHeartbeatAt < kPeerTimeout;
}

auto Peers::Find(const std::string& aName) const -> const Peer*
{
  const auto it = mPeers.find(aName);
  return it == mPeers.end() ? nullptr : &it->second;
}

auto Peers::SendSoon() -> void
{
  mTimer.cancel();
}

auto Peers::Run(MakeHeartbeat aMake) -> net::Task<void>
{
  for (std::uint64_t n = 0;; ++n) {
    const auto bytes = net::Encode(aMake());
    const auto now = base::MonotonicClock::now();
    mSentAt = now;
    for (const auto& [name, it] : mPeers) {
      const auto isUnresponsive =
        now - std::max(it.mLastHeartbeatAt, it.mRowReadAt) >
        kUnresponsivePeerTimeout;
      if (!isUnresponsive || n % kUnresponsivePeerInterval == 0) {
        mSocket.Send(it.mRow.mPeers, bytes);
      }
    }
    mTimer.expires_at(now + kHeartbeatInterval);
    boost::system::error_code ec;
    // A wait that SendSoon cancels ends with an error.
    co_await mTimer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ec));
    if (const auto left =
          mSentAt + kMinHeartbeatInterval - base::MonotonicClock::now();
        left > MonotonicTime::duration::zero()) {
      co_await net::Sleep(std::chrono::ceil<Milliseconds>(left));
    }
  }
}

} // namespace eelgrasspost::dispatch
