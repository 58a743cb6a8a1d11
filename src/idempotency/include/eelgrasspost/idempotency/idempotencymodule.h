#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/idempotency/iidempotency.h"
#include "eelgrasspost/platform/iobjectstore.h"
#include "eelgrasspost/platform/itable.h"

namespace eelgrasspost::idempotency {

struct IdempotencyOptions
{
  /** How long a key is kept after its row was last written, by wall clocks. */
  base::Milliseconds mRetention{ 24LL * 3600 * 1000 };
  /** Maximum time that a claim waits for the table. */
  base::Milliseconds mClaimTimeout{ 1000 };
  /** Maximum time that a request with a repeated key waits for the first
   * request to end. */
  base::Milliseconds mFirstRequestWait{ 2000 };
  /** Maximum time for which recording an outcome is retried. */
  base::Milliseconds mRecordTimeout{ 30000 };
  /** Minimum time between the starts of two transactions. */
  base::Milliseconds mMinCommitInterval{ 20 };
  /** Timeout of one call to the table or the object store. */
  base::Milliseconds mCallTimeout{ 1000 };
  /** Time between two sweeps; each is one scan and at most one transaction. */
  base::Milliseconds mSweepInterval{ 5000 };
  std::size_t mSweepRowLimit = 100;
  /** Responses above this encoded size are stored in the object store. */
  std::size_t mMaxInlineBytes = 4096;
};

/** All calls to the table and the object store are made on mExecutor. */
struct IdempotencyDependencies
{
  platform::ITable& mTable;
  platform::IObjectStore& mObjects;
  net::asio::any_io_executor mExecutor;
  base::Metrics& mMetrics;
  /** Entry and incarnation; unique to this process. */
  std::string mTokenPrefix;
};

auto MakeIdempotency(IdempotencyDependencies aDependencies,
                     IdempotencyOptions aOptions)
  -> std::unique_ptr<IIdempotency>;

} // namespace eelgrasspost::idempotency
