#pragma once

#include <array>
#include <cstdint>
#include <random>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/platform/itable.h"

namespace eelgrasspost::platform {

inline constexpr std::size_t kTableUseCount = kTableUseNames.size();

/** Share of the call rate reserved for a use, in percent of the total. */
struct TableUseShare
{
  TableUse mUse;
  int mPercent;
};

inline constexpr auto kTableUseShares = std::array{
  TableUseShare{ TableUse::ReleaseNote, 15 },
  TableUseShare{ TableUse::Ownership, 30 },
  TableUseShare{ TableUse::IdempotencyKey, 30 },
  TableUseShare{ TableUse::Batch, 20 },
  TableUseShare{ TableUse::Audit, 5 },
};

/** A token bucket; each table call takes one token. */
struct TokenBucket
{
  double mTokens = 0;
  double mPerSecond = 0;
  double mLimit = 0;
};

/**
 * One token bucket per use, and a shared one that receives their overflow. A
 * use spends its reserved tokens first and then shared ones, so a flood of
 * calls for one use never takes the share of another.
 */
struct TableUseBuckets
{
  std::array<TokenBucket, kTableUseCount> mReserved;
  TokenBucket mShared;
  base::MonotonicTime mRefilledAt;
};

/** Makes buckets for the total call rate of all uses; reserved ones start
 * full. */
auto MakeTableUseBuckets(double aCallsPerSecond, base::MonotonicTime aNow)
  -> TableUseBuckets;
/** Changes the total call rate; tokens are kept up to the new limits. */
auto SetRate(TableUseBuckets& aBuckets, double aCallsPerSecond) -> void;
/** Takes a token, on credit if none is left; returns the delay until it is
 * available. */
auto TakeToken(TableUseBuckets& aBuckets,
               TableUse aUse,
               base::MonotonicTime aNow) -> base::Microseconds;
/** Delay that TakeToken would return; takes no token. */
auto TokenDelay(TableUseBuckets& aBuckets,
                TableUse aUse,
                base::MonotonicTime aNow) -> base::Microseconds;

/** Limits retries to a fraction of the successful calls. */
struct RetryBudget
{
  double mTokens = 10;
  double mLimit = 20;
  double mPerSuccess = 0.1;
};

auto OnSuccess(RetryBudget& aBudget) -> void;
auto TakeRetry(RetryBudget& aBudget) -> bool;

struct Backoff
{
  base::Milliseconds mInitial{ 20 };
  base::Milliseconds mMax{ 1000 };
};

/** Exponential backoff with jitter: between half of the step and the step. */
auto BackoffDelay(const Backoff& aBackoff,
                  int aRetry,
                  std::minstd_rand& aRandom) -> base::Milliseconds;

/** Outcome of a commit without a response, derived from rows read back. */
enum class CommitOutcome
{
  Applied,
  /** Not applied so far; a delayed write may still be. */
  NotApplied,
  /** Another write changed a row from its expected version. */
  Conflict,
  Unknown,
};

/** A row as it was read; nullopt if it is absent. */
using FoundRow = std::optional<TableRow>;

/** Classifies writes with a value and an expected version; for any others the
 * outcome is Unknown. Values must identify their writer, since an equal value
 * counts as the own write. */
auto ClassifyCommit(const std::vector<TableWrite>& aWrites,
                    const std::vector<FoundRow>& aRows) -> CommitOutcome;

} // namespace eelgrasspost::platform
