#include "eelgrasspost/platform/storebudget.h"

#include <algorithm>
#include <cmath>

namespace eelgrasspost::platform {

namespace {

constexpr double kPercent = 100.0;
/** A bucket holds the tokens of this time, which limits bursts. */
constexpr double kBurstSeconds = 1.0;
constexpr double kMicrosecondsPerSecond = 1e6;

auto Index(TableUse aUse) -> std::size_t
{
  return static_cast<std::size_t>(aUse);
}

/** Adds the tokens of the elapsed time; returns the overflow. */
auto Refill(TokenBucket& aBucket, double aSeconds) -> double
{
  aBucket.mTokens += aBucket.mPerSecond * aSeconds;
  const auto excess = std::max(0.0, aBucket.mTokens - aBucket.mLimit);
  aBucket.mTokens -= excess;
  return excess;
}

auto RefillAll(TableUseBuckets& aBuckets, base::MonotonicTime aNow) -> void
{
  const auto elapsed =
    std::chrono::duration<double>(aNow - aBuckets.mRefilledAt).count();
  if (elapsed <= 0) {
    return;
  }
  aBuckets.mRefilledAt = aNow;
  double excess = 0;
  for (auto& it : aBuckets.mReserved) {
    excess += Refill(it, elapsed);
  }
  auto& shared = aBuckets.mShared;
  shared.mTokens = std::min(shared.mLimit, shared.mTokens + excess);
}

auto DelayUntilToken(const TokenBucket& aBucket) -> base::Microseconds
{
  if (aBucket.mTokens >= 1.0) {
    return base::Microseconds(0);
  }
  const auto seconds = (1.0 - aBucket.mTokens) / aBucket.mPerSecond;
  return base::Microseconds(
    static_cast<std::int64_t>(std::ceil(seconds * kMicrosecondsPerSecond)));
}

} // namespace

auto SetRate(TableUseBuckets& aBuckets, double aCallsPerSecond) -> void
{
  for (const auto& it : kTableUseShares) {
    auto& bucket = aBuckets.mReserved[Index(it.mUse)];
    bucket.mPerSecond = aCallsPerSecond * it.mPercent / kPercent;
    bucket.mLimit = std::max(1.0, bucket.mPerSecond * kBurstSeconds);
    bucket.mTokens = std::min(bucket.mTokens, bucket.mLimit);
  }
  auto& shared = aBuckets.mShared;
  shared.mLimit = aCallsPerSecond * kBurstSeconds;
  shared.mTokens = std::min(shared.mTokens, shared.mLimit);
}

auto MakeTableUseBuckets(double aCallsPerSecond, base::MonotonicTime aNow)
  -> TableUseBuckets
{
  TableUseBuckets out;
  out.mRefilledAt = aNow;
  SetRate(out, aCallsPerSecond);
  for (auto& it : out.mReserved) {
    it.mTokens = it.mLimit;
  }
  return out;
}

auto TokenDelay(TableUseBuckets& aBuckets,
                TableUse aUse,
                base::MonotonicTime aNow) -> base::Microseconds
{
  RefillAll(aBuckets, aNow);
  if (aBuckets.mShared.mTokens >= 1.0) {
    return base::Microseconds(0);
  }
  return DelayUntilToken(aBuckets.mReserved[Index(aUse)]);
}

auto TakeToken(TableUseBuckets& aBuckets,
               TableUse aUse,
               base::MonotonicTime aNow) -> base::Microseconds
{
  RefillAll(aBuckets, aNow);
  auto& reserved = aBuckets.mReserved[Index(aUse)];
  auto& shared = aBuckets.mShared;
  if (reserved.mTokens < 1.0 && shared.mTokens >= 1.0) {
    shared.mTokens -= 1.0;
    return base::Microseconds(0);
  }
  const auto wait = DelayUntilToken(reserved);
  reserved.mTokens -= 1.0;
  return wait;
}

auto OnSuccess(RetryBudget& aBudget) -> void
{
  aBudget.mTokens =
    std::min(aBudget.mLimit, aBudget.mTokens + aBudget.mPerSuccess);
}

auto TakeRetry(RetryBudget& aBudget) -> bool
{
  if (aBudget.mTokens < 1.0) {
    return false;
  }
  aBudget.mTokens -= 1.0;
  return true;
}

auto BackoffDelay(const Backoff& aBackoff,
                  int aRetry,
                  std::minstd_rand& aRandom) -> base::Milliseconds
{
  constexpr int kMaxDoublings = 16;
  const auto doublings = std::min(aRetry, kMaxDoublings);
  const auto step =
    std::min(aBackoff.mMax.count(), aBackoff.mInitial.count() << doublings);
  auto jitter = std::uniform_int_distribution<std::int64_t>(step / 2, step);
  return base::Milliseconds(jitter(aRandom));
}

auto ClassifyCommit(const std::vector<TableWrite>& aWrites,
                    const std::vector<FoundRow>& aRows) -> CommitOutcome
{
  bool isUndecided = aWrites.size() != aRows.size();
  bool hasApplied = false;
  bool hasUnapplied = false;
  for (std::size_t i = 0; i < aWrites.size() && !isUndecided; ++i) {
    const auto& write = aWrites[i];
    const auto version = aRows[i] ? aRows[i]->mVersion : kAbsent;
    const auto isConditional = write.mExpectedVersion && write.mValue;
    const auto expected = write.mExpectedVersion.value_or(kAbsent);
    if (isConditional && version == expected) {
      hasUnapplied = true;
    } else if (isConditional && version == expected + 1) {
      if (aRows[i]->mValue != *write.mValue) {
        return CommitOutcome::Conflict;
      }
      hasApplied = true;
    } else {
      isUndecided = true;
    }
  }
  if (isUndecided) {
    return CommitOutcome::Unknown;
  }
  if (hasApplied && hasUnapplied) {
    // The rows were read while the write was being applied.
    return CommitOutcome::Unknown;
  }
  return hasApplied ? CommitOutcome::Applied : CommitOutcome::NotApplied;
}

} // namespace eelgrasspost::platform
