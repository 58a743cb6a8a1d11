#pragma once

#include <memory>

#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/idempotency/iidempotency.h"
#include "eelgrasspost/platform/iobjectstore.h"
#include "eelgrasspost/platform/itable.h"

namespace eelgrasspost::idempotency {

struct IdempotencyOptions
{
  /** How long a key is remembered after its claim, by wall clocks. */
  base::Milliseconds mRetention{ 24LL * 3600 * 1000 };
  /** Longest time that a claim waits for the table. */
  base::Milliseconds mClaimTimeout{ 1000 };
  /** Longest time that a repeated key waits for the first request's end. */
  base::Milliseconds mWaitForFirst{ 2000 };
  /** Longest time for which recording an end is tried again. */
  base::Milliseconds mRecordTimeout{ 30000 };
  /** Least time between the starts of two transactions. */
  base::Milliseconds mGroupInterval{ 20 };
  /** Longest time for one call of the table or the object store. */
  base::Milliseconds mCallTimeout{ 1000 };
  /** Time between two sweeps, each of one scan and one transaction. */
  base::Milliseconds mSweepInterval{ 5000 };
  std::size_t mSweepRows = 100;
  /** Answers above this size go to the object store, in encoded bytes. */
  std::size_t mInlineAnswer = 4096;
};

/** What the module works with; all calls of the stores are made on mHome. */
struct IdempotencyParts
{
  platform::ITable& mTable;
  platform::IObjectStore& mObjects;
  net::asio::any_io_executor mHome;
  base::Metrics& mMetrics;
  /** Entry and incarnation; no other process ever has the same. */
  std::string mTokenPrefix;
};

auto MakeIdempotency(IdempotencyParts aParts, IdempotencyOptions aOptions)
  -> std::unique_ptr<IIdempotency>;

} // namespace eelgrasspost::idempotency
