#pragma once

#include <array>
#include <cstdint>
#include <random>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/platform/itable.h"

namespace eelgrasspost::platform {

inline constexpr std::size_t kTableUses = kTableUseNames.size();

/** Share of the table that a use has for itself, in percent of the whole. */
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

/** A token bucket; tokens are calls of the table. */
struct TokenBucket
{
  double mTokens = 0;
  double mPerSecond = 0;
  double mLimit = 0;
};

/**
 * Token buckets, one for each use, and one that takes what they leave over.
 * A use spends its own tokens first and then those left over, so a flood of
 * one use never takes another's share.
 */
struct UseBuckets
{
  std::array<TokenBucket, kTableUses> mOwn;
  TokenBucket mLeftOver;
  base::MonotonicTime mFilledAt;
};

/** Buckets that allow a rate of all uses together; they start full. */
auto MakeUseBuckets(double aCallsPerSecond, base::MonotonicTime aNow)
  -> UseBuckets;
/** Changes the rate and keeps the tokens. */
auto SetRate(UseBuckets& aBuckets, double aCallsPerSecond) -> void;
/** Takes a token, which may be owed; gives the wait until it is there. */
auto TakeToken(UseBuckets& aBuckets, TableUse aUse, base::MonotonicTime aNow)
  -> base::Microseconds;
/** Wait that TakeToken would give; takes nothing. */
auto WaitForToken(UseBuckets& aBuckets, TableUse aUse, base::MonotonicTime aNow)
  -> base::Microseconds;

/** Lets retries be a share of the calls that succeeded. */
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
  base::Milliseconds mFirst{ 20 };
  base::Milliseconds mLongest{ 1000 };
};

/** Exponential with full jitter: between half and the whole of the step. */
auto BackoffTime(const Backoff& aBackoff, int aRetry, std::minstd_rand& aRandom)
  -> base::Milliseconds;

/** What rows that were read back say of a commit without an answer. */
enum class CommitVerdict
{
  Applied,
  NotYet,
  /** Another write took a row's expected version. */
  Lost,
  Unknown,
};

/** A row as it was found; nothing when it is absent. */
using FoundRow = std::optional<TableRow>;

/** Judges writes with expected versions; of any other writes the verdict is
 * Unknown. Rows must name their writer, as equal bytes count as one's own. */
auto JudgeCommit(const std::vector<TableWrite>& aWrites,
                 const std::vector<FoundRow>& aRows) -> CommitVerdict;

} // namespace eelgrasspost::platform
