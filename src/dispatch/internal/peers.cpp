#include "peers.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/dispatch/peerlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "heartbeatparts.h"

namespace eelgrasspost::dispatch {

namespace {

/** Entries without heartbeats for this time get only the infrequent ones. */
constexpr auto kUnresponsivePeerTimeout = Milliseconds(10000);
/** Every eighth heartbeat is an infrequent one. */
constexpr std::uint64_t kInfrequentInterval = 8;
/** Of the ignored heartbeats of a peer, one in this number is logged. */
constexpr std::uint64_t kLoggedDropInterval = 32;

} // namespace

auto MustSendHeartbeat(const HeartbeatTarget& aTarget,
                       bool aHoldsCells,
                       std::uint64_t aNumber) -> bool
{
  const auto isInfrequent = aNumber % kInfrequentInterval == 0;
  if (aTarget.mSilence > kUnresponsivePeerTimeout) {
    return isInfrequent;
  }
  return aTarget.mIsInOwnDomain || aHoldsCells ||
         (isInfrequent && aTarget.mHoldsCells);
}

Peers::Peers(net::IoPool& aPool,
             std::string aName,
             std::string aDomain,
             base::Metrics& aMetrics,
             base::EventLog& aLog)
  : mSocket(aPool)
  , mLog(aLog)
  , mUndecodable(
      aMetrics.FindCounter("heartbeats_dropped_total{reason=\"undecodable\"}"))
  , mEarlier(aMetrics.FindCounter(
      "heartbeats_dropped_total{reason=\"earlier_incarnation\"}"))
  , mUnproved(
      aMetrics.FindCounter("heartbeats_dropped_total{reason=\"unproved\"}"))
  , mOversized(aMetrics.FindCounter("heartbeats_oversized_total"))
  , mEarlierRows(aMetrics.FindCounter("entry_rows_ignored_total"))
  , mName(std::move(aName))
  , mDomain(std::move(aDomain))
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
  if (!heartbeat.ok()) {
    mUndecodable.Add();
    return;
  }
  if (heartbeat->mName == mName) {
    return;
  }
  auto& peer = mPeers[heartbeat->mName];
  const auto isSilent = !IsAlive(peer, base::MonotonicClock::now());
  const auto source = NoteHeartbeat(
    peer.mIdentity, heartbeat->mIncarnation, isSilent, base::BootNow());
  if (source == HeartbeatSource::Earlier ||
      source == HeartbeatSource::Unproved) {
    Drop(peer, *heartbeat, source);
    return;
  }
  peer.mDropped = 0;
  peer.mRow = { heartbeat->mName,
                heartbeat->mIncarnation,
                heartbeat->mDomain,
                heartbeat->mPeers,
                heartbeat->mCpuShare };
  peer.mLastHeartbeat = *std::move(heartbeat);
  peer.mLastHeartbeatAt = base::MonotonicClock::now();
  if (source == HeartbeatSource::Later) {
    mLog.Record(
      kPeerFollowed,
      { { "peer", peer.mRow.mName },
        { "incarnation", static_cast<std::int64_t>(peer.mIdentity.mHeard) },
        { "latest_incarnation",
          static_cast<std::int64_t>(peer.mIdentity.mLatest) } });
  }
  mOnHeartbeat(peer.mLastHeartbeat);
  // The cells have stored the estimates.
  peer.mLastHeartbeat.mEstimates.clear();
}

auto Peers::Drop(Peer& aPeer,
                 const Heartbeat& aHeartbeat,
                 HeartbeatSource aSource) -> void
{
  (aSource == HeartbeatSource::Earlier ? mEarlier : mUnproved).Add();
  ++aPeer.mDropped;
  // The first one, then one in about ten seconds.
  if (aPeer.mDropped % kLoggedDropInterval == 1) {
    mLog.Record(
      kHeartbeatDropped,
      { { "peer", aHeartbeat.mName },
        { "incarnation", static_cast<std::int64_t>(aHeartbeat.mIncarnation) },
        { "known_incarnation",
          static_cast<std::int64_t>(aPeer.mIdentity.mLatest) },
        { "dropped", static_cast<std::int64_t>(aPeer.mDropped) } });
  }
}

auto Peers::Update(const EntryRow& aRow) -> void
{
  if (aRow.mName == mName) {
    return;
  }
  auto& peer = mPeers[aRow.mName];
  if (NoteRow(peer.mIdentity, aRow.mIncarnation, base::BootNow())) {
    peer.mRow = aRow;
    peer.mRowReadAt = base::MonotonicClock::now();
  } else {
    mEarlierRows.Add();
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

auto Peers::Send(const Heartbeat& aHeartbeat, std::uint64_t aNumber)
  -> std::size_t
{
  std::vector<std::string> datagrams;
  for (const auto& it : SplitHeartbeat(aHeartbeat)) {
    datagrams.push_back(net::Encode(it));
    if (datagrams.back().size() > net::kMaxDatagramBytes) {
      mOversized.Add();
    }
  }
  const auto holdsCells = !aHeartbeat.mCells.empty();
  mSentAt = base::MonotonicClock::now();
  if (!holdsCells) {
    mHoldsCellsSince = {};
  } else if (mHoldsCellsSince == MonotonicTime{}) {
    mHoldsCellsSince = mSentAt;
  }
  std::size_t out = 0;
  for (const auto& [name, it] : mPeers) {
    // Other domains send heartbeats only to entries that hold cells.
    const auto isInOwnDomain = it.mRow.mDomain == mDomain;
    const auto heardAt =
      std::max({ it.mLastHeartbeatAt,
                 it.mRowReadAt,
                 isInOwnDomain ? MonotonicTime{} : mHoldsCellsSince });
    const auto target = HeartbeatTarget{
      isInOwnDomain,
      !it.mLastHeartbeat.mCells.empty(),
      std::chrono::duration_cast<Milliseconds>(mSentAt - heardAt)
    };
    if (MustSendHeartbeat(target, holdsCells, aNumber)) {
      for (const auto& bytes : datagrams) {
        mSocket.Send(it.mRow.mPeers, bytes);
      }
      ++out;
    }
  }
  return out;
}

auto Peers::Run(MakeHeartbeat aMake) -> net::Task<void>
{
  for (std::uint64_t n = 0;; ++n) {
    const auto recipients = Send(aMake(), n);
    const auto minInterval = std::max(kMinHeartbeatInterval,
                                      kMinIntervalPerRecipient *
                                        static_cast<std::int64_t>(recipients));
    mTimer.expires_at(mSentAt + kHeartbeatInterval);
    boost::system::error_code ec;
    // A wait that SendSoon cancels ends with an error.
    co_await mTimer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ec));
    if (const auto left = mSentAt + minInterval - base::MonotonicClock::now();
        left > MonotonicTime::duration::zero()) {
      co_await net::Sleep(std::chrono::ceil<Milliseconds>(left));
    }
  }
}

} // namespace eelgrasspost::dispatch
