#include "eelgrasspost/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace eelgrasspost::admission {

namespace {

/** Estimates of run times may be too long by this factor. */
constexpr double kEstimateError = 2.0;
/** A report of this age says nothing about the room that there is now. */
constexpr auto kMaxReportAge = Milliseconds(1000);
/** While refusing, a key is accepted again once the wait is this part of the
 * longest one. */
constexpr double kResumeShare = 0.75;
/** Part of the submissions of a key that may be refused in a second; the others
 * show whether the estimate still holds. */
constexpr double kMaxRefusedShare = 0.9;
/** With fewer submissions in a second, that part of this number may be refused.
 */
constexpr std::uint32_t kMinAskedForShare = 10;
constexpr auto kSecond = Milliseconds(1000);
/** Time after which the shares of a key have fallen to 1/e. */
constexpr double kShareTimeConstantMs = 10000;
/** Granted shares that differ by less than this count as equal. */
constexpr double kFairDifference = 0.05;
constexpr auto kMinRetryAfter = Milliseconds(1000);
constexpr auto kMaxRetryAfter = Milliseconds(30000);
constexpr auto kMaxUnused = kMaxRetryAfter;

auto RateOf(const CellLoad& aLoad, RoomKind aKind) -> const KindRate&
{
  return aKind == RoomKind::Reserved ? aLoad.mReserved : aLoad.mLeftover;
}

/** Whether a cell starts waiting work before a new job. Jobs that use CPU which
 * others leave over are started by their remaining work. */
auto Precedes(const Backlog& aBacklog, const JobDemand& aDemand) -> bool
{
  if (aBacklog.mKind != aDemand.mKind ||
      aBacklog.mPriority > aDemand.mPriority) {
    return false;
  }
  return aBacklog.mPriority < aDemand.mPriority ||
         aDemand.mKind == RoomKind::Reserved ||
         aBacklog.mSizeClass <= SizeClassOf(aDemand.mCpuMs);
}

/** The highest rate at which a cell may work off its backlog, if the estimates
 * of what waits are too long. Zero if unknown. */
auto DrainRate(const CellLoad& aLoad, RoomKind aKind) -> double
{
  const auto& rate = RateOf(aLoad, aKind);
  // While some tasks wait for a large gap or for few workers, others that fit
  // may find idle cores. CPU that is left over may be of no use to them.
  const auto floor = aKind == RoomKind::Reserved ? rate.mCores : 0.0;
  return kEstimateError *
         std::max(rate.mSaturatedRate.value_or(rate.mCores), floor);
}

auto Decay(Share& aShare, MonotonicTime aNow) -> void
{
  if (aShare.mUpdatedAt != MonotonicTime{}) {
    const auto since =
      std::chrono::duration<double, std::milli>(aNow - aShare.mUpdatedAt);
    const auto factor = std::exp(-since.count() / kShareTimeConstantMs);
    aShare.mAskedCpuMs *= factor;
    aShare.mGrantedCpuMs *= factor;
  }
  aShare.mUpdatedAt = aNow;
  if (aNow - aShare.mSecondStartedAt >= kSecond) {
    aShare.mSecondStartedAt = aNow;
    aShare.mRefused = 0;
    aShare.mAsked = 0;
  }
}

auto GrantedShare(double aGranted, double aAsked) -> double
{
  return aAsked > 0 ? aGranted / aAsked : 1.0;
}

/** Forgets keys without a submission for so long that the refused callers are
 * back, and with them that they were refused. */
auto RemoveUnused(ShareTable& aShares, MonotonicTime aNow) -> void
{
  std::erase_if(aShares, [&](const auto& aItem) {
    return aNow - aItem.second.mAskedAt > kMaxUnused;
  });
}

/** How far the granted share of a key is below that of all keys. */
auto Deficit(const ShareTable& aShares, const Share& aShare) -> double
{
  auto asked = 0.0;
  auto granted = 0.0;
  for (const auto& [key, it] : aShares) {
    asked += it.mAskedCpuMs;
    granted += it.mGrantedCpuMs;
  }
  return GrantedShare(granted, asked) -
         GrantedShare(aShare.mGrantedCpuMs, aShare.mAskedCpuMs);
}

/** The duration of a job's chain, if its estimates may be too long. */
auto ShortestChain(const JobDemand& aDemand) -> Milliseconds
{
  return Milliseconds(static_cast<std::int64_t>(
    static_cast<double>(aDemand.mChain.count()) / kEstimateError));
}

/** The longest wait after which a chain ends in the given time. A key that has
 * been granted less than others gets up to an objective more. */
auto MaxWait(const JobDemand& aDemand, Milliseconds aEnd, double aDeficit)
  -> Milliseconds
{
  const auto favour =
    aDeficit > kFairDifference ? aDemand.mObjective : Milliseconds(0);
  return std::max(Milliseconds(0), aEnd - ShortestChain(aDemand)) + favour;
}

/** A part of the time until return that depends on the job, from 0 to 1. */
auto SpreadOf(std::string_view aJob) -> double
{
  constexpr std::size_t kSteps = 1000;
  return static_cast<double>(std::hash<std::string_view>{}(aJob) % kSteps) /
         static_cast<double>(kSteps);
}

auto RetryAfter(Milliseconds aWait,
                Milliseconds aMaxWait,
                std::string_view aJob) -> Milliseconds
{
  const auto excess = std::max(Milliseconds(0), aWait - aMaxWait);
  const auto base = std::max(kMinRetryAfter, excess);
  const auto spread = static_cast<std::int64_t>(
    static_cast<double>(base.count()) * SpreadOf(aJob));
  return std::min(kMaxRetryAfter, base + Milliseconds(spread));
}

} // namespace

auto WaitAtRate(const CellLoad& aLoad, const JobDemand& aDemand, double aRate)
  -> ExpectedWait
{
  auto ahead = 0.0;
  auto late = 0.0;
  for (const auto& it : aLoad.mBacklogs) {
    if (it.mKind == aDemand.mKind && it.mPriority <= aDemand.mPriority) {
      ahead += Precedes(it, aDemand) ? it.mWaitingCpuMs : 0.0;
      late += it.mWaitingCpuMs + it.mLateCpuMs;
    }
  }
  return { Milliseconds(static_cast<std::int64_t>(ahead / aRate)),
           Milliseconds(static_cast<std::int64_t>(late / aRate)) };
}

auto WaitIn(const KnownLoad& aCell, const JobDemand& aDemand) -> ExpectedWait
{
  const auto rate = DrainRate(aCell.mLoad, aDemand.mKind);
  if (!aCell.mIsActive || aCell.mAge > kMaxReportAge || rate <= 0) {
    return {};
  }
  return WaitAtRate(aCell.mLoad, aDemand, rate);
}

auto SizeClassOf(double aCpuMs) -> std::uint32_t
{
  constexpr double kSmallestCpuMs = 1000;
  constexpr double kClassFactor = 8;
  constexpr double kLargestClass = 3;
  const auto size = std::max(1.0, aCpuMs / kSmallestCpuMs);
  return static_cast<std::uint32_t>(std::min(
    kLargestClass, std::floor(std::log(size) / std::log(kClassFactor))));
}

auto Decide(const std::vector<KnownLoad>& aCells,
            const JobDemand& aDemand,
            const ShareKey& aKey,
            std::string_view aJob,
            ShareTable& aShares,
            MonotonicTime aNow) -> Decision
{
  RemoveUnused(aShares, aNow);
  auto& share = aShares[aKey];
  share.mAskedAt = aNow;
  for (auto& [key, it] : aShares) {
    Decay(it, aNow);
  }
  const auto deficit = Deficit(aShares, share);
  Decision out;
  out.mMaxWait = MaxWait(aDemand, aDemand.mObjective, deficit);
  out.mMaxLateWait = MaxWait(aDemand, aDemand.mLatestUse, deficit);
  const auto bound = [&](Milliseconds aWait) {
    return share.mIsRefusing
             ? Milliseconds(static_cast<std::int64_t>(
                 static_cast<double>(aWait.count()) * kResumeShare))
             : aWait;
  };
  auto isKnown = false;
  auto canBeDone = false;
  for (const auto& it : aCells) {
    const auto wait = WaitIn(it, aDemand);
    canBeDone = canBeDone || wait.mInTime <= bound(out.mMaxWait) ||
                wait.mLate <= bound(out.mMaxLateWait);
    out.mWait = isKnown ? std::min(out.mWait, wait.mInTime) : wait.mInTime;
    out.mLateWait = isKnown ? std::min(out.mLateWait, wait.mLate) : wait.mLate;
    isKnown = true;
  }
  ++share.mAsked;
  share.mAskedCpuMs += aDemand.mCpuMs;
  const auto mayRefuse =
    share.mRefused + 1 <=
    kMaxRefusedShare * std::max(share.mAsked, kMinAskedForShare);
  share.mIsRefusing = isKnown && !canBeDone;
  if (!share.mIsRefusing || !mayRefuse) {
    share.mGrantedCpuMs += aDemand.mCpuMs;
    return out;
  }
  ++share.mRefused;
  out.mVerdict = Verdict::TooLate;
  out.mRetryAfter = RetryAfter(out.mWait, out.mMaxWait, aJob);
  return out;
}

auto AddDone(RateMeter& aMeter, double aCpuMs) -> void
{
  aMeter.mDoneCpuMs += aCpuMs;
}

auto UpdateRate(RateMeter& aMeter,
                bool aIsSaturated,
                Milliseconds aRunTime,
                MonotonicTime aNow) -> void
{
  constexpr auto kMinPeriod = Milliseconds(1000);
  constexpr int kRunsPerPeriod = 2;
  constexpr double kWeight = 0.5;
  if (!aIsSaturated || aMeter.mSince == MonotonicTime{}) {
    aMeter = { 0, aNow, std::nullopt };
    return;
  }
  const auto period =
    std::chrono::duration<double, std::milli>(aNow - aMeter.mSince);
  if (aNow - aMeter.mSince < std::max(kMinPeriod, kRunsPerPeriod * aRunTime)) {
    return;
  }
  const auto rate = aMeter.mDoneCpuMs / period.count();
  aMeter.mRate =
    aMeter.mRate ? *aMeter.mRate + kWeight * (rate - *aMeter.mRate) : rate;
  aMeter.mDoneCpuMs = 0;
  aMeter.mSince = aNow;
}

} // namespace eelgrasspost::admission
