#pragma once

#include <memory>
#include <string_view>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/ownership/ownershiptypes.h"

namespace eelgrasspost::ownership {

/** The workers that this entry owns, under fencing tokens that the workers
 * order. */
class IOwnership
{
public:
  virtual ~IOwnership() = default;

  /** Takes no lock. */
  virtual auto View() const -> std::shared_ptr<const OwnershipView> = 0;
  /** Reads the VM list, claims and renews until the process ends; belongs to
   * thread 0. */
  virtual auto Run() -> net::Task<void> = 0;
  /**
   * Hands every held worker on to the entry that should own it next, and
   * claims none any more. Ends when all are taken or the deadline has passed;
   * what nobody took stays held. Belongs to thread 0.
   */
  virtual auto HandOverAll(base::MonotonicTime aDeadline)
    -> net::Task<void> = 0;
  /** Tells all entries that a worker leaves, as its endpoint said; from any
   * thread. It gets nothing new until it shows a newer incarnation. */
  virtual auto ReportLeaving(std::string_view aWorker) -> void = 0;
  /** Claims workers that their holder hands on; from any thread. */
  virtual auto AcceptHandOver(HandOverRequest aRequest)
    -> net::Task<HandOverReply> = 0;
};

} // namespace eelgrasspost::ownership
