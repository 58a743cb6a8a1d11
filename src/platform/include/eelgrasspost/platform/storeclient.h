#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/platform/itable.h"
#include "eelgrasspost/platform/storebudget.h"

namespace eelgrasspost::platform {

struct StoreClientOptions
{
  /** What all entries together may ask of the table in a second. */
  double mReadsPerSecond = 2000;
  double mWritesPerSecond = 400;
  /** Longest time for one attempt; a call's deadline may be sooner. */
  base::Milliseconds mAttemptTimeout{ 2000 };
  Backoff mBackoff;
  std::uint32_t mSeed = 1;
};

/**
 * A table that keeps to the process's share of the platform's: calls of each
 * use wait for their tokens, failed ones are retried under one budget, and a
 * commit without an answer is settled by reading back. It is never repeated
 * unless its expected versions allow only one of the two to take effect.
 */
class IStoreClient : public ITable
{
public:
  /** Entries among which the table's rates are divided. */
  virtual auto SetEntries(std::size_t aCount) -> void = 0;
};

/** The table must outlive the client. Callable from any thread. */
auto MakeStoreClient(ITable& aTable,
                     base::Metrics& aMetrics,
                     StoreClientOptions aOptions)
  -> std::unique_ptr<IStoreClient>;

} // namespace eelgrasspost::platform
