#include "eelgrasspost/platform/storebudget.h"

#include <algorithm>
#include <cmath>

namespace eelgrasspost::platform {

namespace {

constexpr double kPercent = 100.0;
/** A bucket holds what its use may do in this time at once. */
constexpr double kBurstSeconds = 1.0;
constexpr double kMicrosecondsPerSecond = 1e6;

auto Index(TableUse aUse) -> std::size_t
{
  return static_cast<std::size_t>(aUse);
}

/** Adds the tokens of a time; gives those that do not fit. */
auto Fill(TokenBucket& aBucket, double aSeconds) -> double
{
  aBucket.mTokens += aBucket.mPerSecond * aSeconds;
  const auto spare = std::max(0.0, aBucket.mTokens - aBucket.mLimit);
  aBucket.mTokens -= spare;
  return spare;
}

auto FillAll(UseBuckets& aBuckets, base::MonotonicTime aNow) -> void
{
  const auto elapsed =
    std::chrono::duration<double>(aNow - aBuckets.mFilledAt).count();
  if (elapsed <= 0) {
    return;
  }
  aBuckets.mFilledAt = aNow;
  double spare = 0;
  for (auto& it : aBuckets.mOwn) {
    spare += Fill(it, elapsed);
  }
  auto& left = aBuckets.mLeftOver;
  left.mTokens = std::min(left.mLimit, left.mTokens + spare);
}

auto WaitOf(const TokenBucket& aBucket) -> base::Microseconds
{
  if (aBucket.mTokens >= 1.0) {
    return base::Microseconds(0);
  }
  const auto seconds = (1.0 - aBucket.mTokens) / aBucket.mPerSecond;
  return base::Microseconds(
    static_cast<std::int64_t>(std::ceil(seconds * kMicrosecondsPerSecond)));
}

} // namespace

auto SetRate(UseBuckets& aBuckets, double aCallsPerSecond) -> void
{
  for (const auto& it : kTableUseShares) {
    auto& bucket = aBuckets.mOwn[Index(it.mUse)];
    bucket.mPerSecond = aCallsPerSecond * it.mPercent / kPercent;
    bucket.mLimit = std::max(1.0, bucket.mPerSecond * kBurstSeconds);
    bucket.mTokens = std::min(bucket.mTokens, bucket.mLimit);
  }
  auto& left = aBuckets.mLeftOver;
  left.mLimit = aCallsPerSecond * kBurstSeconds;
  left.mTokens = std::min(left.mTokens, left.mLimit);
}

auto MakeUseBuckets(double aCallsPerSecond, base::MonotonicTime aNow)
  -> UseBuckets
{
  UseBuckets out;
  out.mFilledAt = aNow;
  SetRate(out, aCallsPerSecond);
  for (auto& it : out.mOwn) {
    it.mTokens = it.mLimit;
  }
  return out;
}

auto WaitForToken(UseBuckets& aBuckets, TableUse aUse, base::MonotonicTime aNow)
  -> base::Microseconds
{
  FillAll(aBuckets, aNow);
  if (aBuckets.mLeftOver.mTokens >= 1.0) {
    return base::Microseconds(0);
  }
  return WaitOf(aBuckets.mOwn[Index(aUse)]);
}

auto TakeToken(UseBuckets& aBuckets, TableUse aUse, base::MonotonicTime aNow)
  -> base::Microseconds
{
  FillAll(aBuckets, aNow);
  auto& own = aBuckets.mOwn[Index(aUse)];
  auto& left = aBuckets.mLeftOver;
  if (own.mTokens < 1.0 && left.mTokens >= 1.0) {
    left.mTokens -= 1.0;
    return base::Microseconds(0);
  }
  const auto wait = WaitOf(own);
  own.mTokens -= 1.0;
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

auto BackoffTime(const Backoff& aBackoff, int aRetry, std::minstd_rand& aRandom)
  -> base::Milliseconds
{
  constexpr int kMostDoublings = 16;
  const auto doublings = std::min(aRetry, kMostDoublings);
  const auto step =
    std::min(aBackoff.mLongest.count(), aBackoff.mFirst.count() << doublings);
  auto jitter = std::uniform_int_distribution<std::int64_t>(step / 2, step);
  return base::Milliseconds(jitter(aRandom));
}

auto JudgeCommit(const std::vector<TableWrite>& aWrites,
                 const std::vector<FoundRow>& aRows) -> CommitVerdict
{
  bool isUnclear = aWrites.size() != aRows.size();
  bool hasOwn = false;
  bool hasOld = false;
  for (std::size_t i = 0; i < aWrites.size() && !isUnclear; ++i) {
    const auto& write = aWrites[i];
    const auto version = aRows[i] ? aRows[i]->mVersion : kAbsent;
    const auto isConditional = write.mExpectedVersion && write.mValue;
    const auto expected = write.mExpectedVersion.value_or(kAbsent);
    if (isConditional && version == expected) {
      hasOld = true;
    } else if (isConditional && version == expected + 1) {
      if (aRows[i]->mValue != *write.mValue) {
        return CommitVerdict::Lost;
      }
      hasOwn = true;
    } else {
      isUnclear = true;
    }
  }
  if (isUnclear) {
    return CommitVerdict::Unknown;
  }
  if (hasOwn && hasOld) {
    // The rows were read while the write took effect.
    return CommitVerdict::Unknown;
  }
  return hasOwn ? CommitVerdict::Applied : CommitVerdict::NotYet;
}

} // namespace eelgrasspost::platform
