#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/platform/storebudget.h"

namespace eelgrasspost::platform {

struct StoreClientOptions
{
  /** Maximum call rates of all entries together. */
  double mReadsPerSecond = 2000;
  double mWritesPerSecond = 400;
  /** Timeout of one attempt; the call's deadline may be earlier. */
  base::Milliseconds mAttemptTimeout{ 2000 };
  Backoff mBackoff;
  std::uint32_t mSeed = 1;
};

/**
 * Rate-limits and retries calls to the platform's table. Calls of each use wait
 * for their tokens, failed calls share one retry budget, and the outcome of a
 * commit without a response is resolved by reading its rows back. Such a commit
 * is repeated only if its expected versions let at most one of the two apply.
 */
class IStoreClient : public ITable
{
public:
  /** Number of entries that share the table's call rates. */
  virtual auto SetEntryCount(std::size_t aCount) -> void = 0;
};

/** The table must outlive the client. Callable from any thread. */
auto MakeStoreClient(ITable& aTable,
                     base::Metrics& aMetrics,
                     StoreClientOptions aOptions)
  -> std::unique_ptr<IStoreClient>;

} // namespace eelgrasspost::platform
