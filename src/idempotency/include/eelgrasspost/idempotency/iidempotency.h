#pragma once

#include "eelgrasspost/idempotency/idempotencytypes.h"
#include "eelgrasspost/net/asio.h"

namespace eelgrasspost::idempotency {

/**
 * Runs a request at most once per idempotency key, whichever entries receive
 * it. Claims and outcomes are stored in the platform's table.
 */
class IIdempotency
{
public:
  virtual ~IIdempotency() = default;

  /** Claims a key before its request is dispatched. Callable from any pool
   * thread. */
  virtual auto Claim(ClaimRequest aRequest) -> net::Task<ClaimResult> = 0;
  /** Records the outcome of a claimed request in the background. Callable from
   * any thread. After NotRun, a later caller can claim the key again. */
  virtual auto Finish(ClaimHandle aHandle,
                      RequestOutcome aOutcome,
                      net::HttpResponse aResponse) -> void = 0;
  /** Number of outcomes that are not recorded yet. */
  virtual auto PendingRecordCount() const -> std::size_t = 0;
  /** Removes expired keys until the process ends. Must run on thread 0. */
  virtual auto Run() -> net::Task<void> = 0;
};

} // namespace eelgrasspost::idempotency
