#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "eelgrasspost/dispatch/dispatchtypes.h"
#include "eelgrasspost/net/datagram.h"

namespace eelgrasspost::dispatch {

/** Another entry, as its heartbeats show it. */
struct Peer
{
  EntryRow mRow;
  Heartbeat mLast;
  /** Time of the last heartbeat; the epoch before the first. */
  MonotonicTime mSeenAt{};
  MonotonicTime mRowReadAt{};
};

/** An entry without a heartbeat for so long counts as dead: four intervals. */
inline constexpr auto kPeerTimeout = Milliseconds(1200);
inline constexpr auto kHeartbeatInterval = Milliseconds(300);
/** Least time between two heartbeats: a burst of jobs is told in a few. */
inline constexpr auto kMinHeartbeatInterval = Milliseconds(40);

/** The other entries: found in the control table, followed by heartbeats. */
class Peers
{
public:
  using MakeHeartbeat = std::function<Heartbeat()>;
  using OnHeartbeat = std::function<void(const Heartbeat&)>;

  Peers(net::IoPool& aPool, std::string aName);

  /** Returns the address that heartbeats are taken at. */
  auto Bind(const net::Address& aAddress, OnHeartbeat aOnHeartbeat)
    -> absl::StatusOr<net::Address>;
  /** Sends heartbeats until the process ends. */
  auto Run(MakeHeartbeat aMake) -> net::Task<void>;
  /** Sends the next heartbeat soon: what it says has changed. */
  auto SendSoon() -> void;
  /** Takes a row of the control table in. */
  auto Update(const EntryRow& aRow) -> void;
  auto Remove(const std::string& aName) -> void;
  auto IsAlive(const Peer& aPeer, MonotonicTime aNow) const -> bool;
  auto Find(const std::string& aName) const -> const Peer*;
  auto All() const -> const std::map<std::string, Peer>& { return mPeers; }

private:
  auto Receive(std::string_view aBytes) -> void;

  net::DatagramSocket mSocket;
  OnHeartbeat mOnHeartbeat;
  std::string mName;
  std::map<std::string, Peer> mPeers;
  net::asio::steady_timer mTimer;
  MonotonicTime mSentAt{};
};

} // namespace eelgrasspost::dispatch
