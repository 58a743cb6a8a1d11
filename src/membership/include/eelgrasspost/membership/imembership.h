#pragma once

#include <memory>
#include <vector>

#include "eelgrasspost/membership/membershiptypes.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::membership {

/** The entries that are alive, learned from heartbeats over UDP. */
class IMembership
{
public:
  virtual ~IMembership() = default;

  virtual auto Self() const -> const MemberIdentity& = 0;
  /** Takes no lock. */
  virtual auto View() const -> std::shared_ptr<const MemberView> = 0;

  // The calls below belong to thread 0.

  /** Entries to send heartbeats to, beside those already known. */
  virtual auto AddSeeds(const std::vector<net::Address>& aSeeds) -> void = 0;
  /** Leaves the revision as it is. */
  virtual auto SetLoad(MemberLoad aLoad) -> void = 0;
  virtual auto SetRevision(std::uint64_t aRevision) -> void = 0;
  /** Says to the others that this entry leaves. */
  virtual auto Leave() -> void = 0;
  virtual auto AddLeavingWorker(LeavingWorker aWorker) -> void = 0;
  /** Handles a datagram that came in. */
  virtual auto Receive(std::string_view aBytes) -> void = 0;
  /** Sends heartbeats and judges the others until the process ends. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::membership
