#pragma once

#include "eelgrasspost/idempotency/idempotencytypes.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::idempotency {

/**
 * Lets a request run at most once under its idempotency key, through whatever
 * entry it comes. Claims and ends are kept in the platform's table.
 */
class IIdempotency
{
public:
  virtual ~IIdempotency() = default;

  /** Claims a key before its request is dispatched; from any pool thread. */
  virtual auto Claim(KeyClaim aClaim) -> net::Task<ClaimResult> = 0;
  /** Records in the background how a claimed request ended; from any thread.
   * After NotRun a later caller may claim the key anew. */
  virtual auto Finish(ClaimTicket aTicket,
                      RunEnd aEnd,
                      net::HttpResponse aAnswer) -> void = 0;
  /** Ends that are not recorded yet. */
  virtual auto Recording() const -> std::size_t = 0;
  /** Removes expired keys until the process ends; belongs to thread 0. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::idempotency
