#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "eelgrasspost/base/bootclock.h"
#include "eelgrasspost/base/eventlog.h"
#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"
#include "eelgrasspost/net/datagram.h"
#include "peeridentity.h"

namespace eelgrasspost::dispatch {

/** Another entry, as known from its row and its heartbeats. */
struct Peer
{
  PeerIdentity mIdentity;
  EntryRow mRow;
  Heartbeat mLastHeartbeat;
  /** Time of the last heartbeat; the epoch if there was none. */
  MonotonicTime mLastHeartbeatAt{};
  MonotonicTime mRowReadAt{};
  /** Heartbeats that were ignored since the last one that was not. */
  std::uint64_t mDropped = 0;
};

/** An entry is considered dead after four missed heartbeats. */
inline constexpr auto kPeerTimeout = Milliseconds(1200);
inline constexpr auto kHeartbeatInterval = Milliseconds(300);
/** Minimum time between two heartbeats, and the part of it for each recipient;
 * a burst of jobs causes only a few, in large deployments as well. */
inline constexpr auto kMinHeartbeatInterval = Milliseconds(40);
inline constexpr auto kMinIntervalPerRecipient = Milliseconds(1);

/** An entry sends each heartbeat to its own domain, and an entry that holds
 * cells to all entries, which route jobs by its content. Other domains learn
 * from every eighth heartbeat that an entry without cells is there; only
 * entries that hold cells need this, so that they keep sending to it. */
struct HeartbeatTarget
{
  bool mIsInOwnDomain = false;
  bool mHoldsCells = false;
  /** Time since its last heartbeat, or since its row was read. */
  Milliseconds mSilence{ 0 };
};
auto MustSendHeartbeat(const HeartbeatTarget& aTarget,
                       bool aHoldsCells,
                       std::uint64_t aNumber) -> bool;

/** Discovers the other entries from the control table and monitors them by
 * heartbeats. */
class Peers
{
public:
  using MakeHeartbeat = std::function<Heartbeat()>;
  using OnHeartbeat = std::function<void(const Heartbeat&)>;

  Peers(net::IoPool& aPool,
        std::string aName,
        std::string aDomain,
        base::Metrics& aMetrics,
        base::EventLog& aLog);

  /** Returns the address on which heartbeats are received. */
  auto Bind(const net::Address& aAddress, OnHeartbeat aOnHeartbeat)
    -> absl::StatusOr<net::Address>;
  /** Sends heartbeats until the process ends. */
  auto Run(MakeHeartbeat aMake) -> net::Task<void>;
  /** Sends the next heartbeat early, as its content has changed. */
  auto SendSoon() -> void;
  /** Adds or updates an entry from its control table row. */
  auto Update(const EntryRow& aRow) -> void;
  auto Remove(const std::string& aName) -> void;
  auto IsAlive(const Peer& aPeer, MonotonicTime aNow) const -> bool;
  auto Find(const std::string& aName) const -> const Peer*;
  auto All() const -> const std::map<std::string, Peer>& { return mPeers; }

private:
  auto Receive(std::string_view aBytes) -> void;
  auto Drop(Peer& aPeer, const Heartbeat& aHeartbeat, HeartbeatSource aSource)
    -> void;
  /** Returns the number of recipients. */
  auto Send(const Heartbeat& aHeartbeat, std::uint64_t aNumber) -> std::size_t;

  net::DatagramSocket mSocket;
  OnHeartbeat mOnHeartbeat;
  base::EventLog& mLog;
  base::Counter& mUndecodable;
  base::Counter& mEarlier;
  base::Counter& mUnproved;
  base::Counter& mOversized;
  base::Counter& mEarlierRows;
  std::string mName;
  std::string mDomain;
  std::map<std::string, Peer> mPeers;
  net::asio::steady_timer mTimer;
  MonotonicTime mSentAt{};
  /** Since when this entry has held cells; the epoch if it holds none. */
  MonotonicTime mHoldsCellsSince{};
};

} // namespace eelgrasspost::dispatch
