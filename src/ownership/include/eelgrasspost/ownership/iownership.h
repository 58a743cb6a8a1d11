#pragma once

#include <memory>

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
};

} // namespace eelgrasspost::ownership
