#pragma once

#include <memory>
#include <string_view>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/ownership/ownershiptypes.h"

namespace eelgrasspost::ownership {

/**
 * The workers that this entry owns. Each is held under a lease with a fencing
 * token; the worker itself orders the tokens and refuses lower ones.
 */
class IOwnership
{
public:
  virtual ~IOwnership() = default;

  /** Returns the current snapshot without taking a lock. */
  virtual auto View() const -> std::shared_ptr<const OwnershipView> = 0;
  /** Polls the VM list, claims workers and renews leases until the process
   * ends. Runs on thread 0. */
  virtual auto Run() -> net::Task<void> = 0;
  /**
   * Hands over each held worker to the entry that should own it next, and
   * stops claiming workers. Returns when all are accepted, when no other entry
   * of the failure domain is alive, or at the deadline; workers that were not
   * accepted stay held. Runs on thread 0.
   */
  virtual auto HandOverAll(base::MonotonicTime aDeadline)
    -> net::Task<void> = 0;
  /** Announces to all entries that a worker is leaving, as its endpoint
   * reported. The worker gets no new work until it reports a new incarnation.
   * Thread-safe. */
  virtual auto ReportLeaving(std::string_view aWorker) -> void = 0;
  /** Claims workers that their holder hands over to this entry. Thread-safe. */
  virtual auto AcceptHandOver(HandOverRequest aRequest)
    -> net::Task<HandOverReply> = 0;
};

} // namespace eelgrasspost::ownership
