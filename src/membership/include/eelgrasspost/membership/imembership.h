#pragma once

#include <memory>
#include <vector>

#include "eelgrasspost/membership/membershiptypes.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::membership {

/** Group membership of the entries, maintained by gossip heartbeats over UDP.
 */
class IMembership
{
public:
  virtual ~IMembership() = default;

  virtual auto Self() const -> const MemberIdentity& = 0;
  /** Returns the current snapshot without taking a lock. */
  virtual auto View() const -> std::shared_ptr<const MemberView> = 0;

  // The methods below must be called on thread 0.

  /** Adds addresses of entries to contact besides the known members. */
  virtual auto AddSeeds(const std::vector<net::Address>& aSeeds) -> void = 0;
  /** Sets the advertised load, except its revision. */
  virtual auto SetLoad(MemberLoad aLoad) -> void = 0;
  virtual auto SetRevision(std::uint64_t aRevision) -> void = 0;
  /** Announces to the other members that this entry is leaving. */
  virtual auto Leave() -> void = 0;
  virtual auto AddLeavingWorker(LeavingWorker aWorker) -> void = 0;
  /** Handles a received datagram. */
  virtual auto Receive(std::string_view aBytes) -> void = 0;
  /** Sends heartbeats and detects failed members until the process ends. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::membership
