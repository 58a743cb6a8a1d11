#include "leaserules.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::ownership {

namespace {

constexpr char kIncarnationSeparator = '/';
constexpr auto kInitialClaimBackoff = base::Milliseconds(500);
constexpr auto kMaxClaimBackoff = base::Milliseconds(30000);
constexpr auto kPresentHolderWait = base::Milliseconds(10000);
constexpr int kMaxWaitDoublings = 5;
/** A leaving holder hands its workers over by itself. Claiming them after this
 * time covers lost messages. */
constexpr auto kLeavingHolderWait = base::Milliseconds(1000);

} // namespace

auto HolderName(const membership::MemberIdentity& aEntry) -> std::string
{
  return base::Cat(aEntry.mId, kIncarnationSeparator, aEntry.mIncarnation);
}

auto ParseHolder(std::string_view aName) -> Holder
{
  const auto separator = aName.rfind(kIncarnationSeparator);
  if (separator == std::string_view::npos) {
    return { std::string(aName), 0 };
  }
  const auto incarnation =
    base::ParseNumber<std::uint64_t>(aName.substr(separator + 1));
  return { std::string(aName.substr(0, separator)), incarnation.value_or(0) };
}

auto ClassifyHolder(const platform::FencingToken& aHighest,
                    const membership::MemberIdentity& aSelf,
                    const membership::MemberView& aMembers) -> HolderState
{
  if (aHighest.mNumber == 0) {
    return HolderState::None;
  }
  const auto holder = ParseHolder(aHighest.mHolder);
  if (holder.mEntry == aSelf.mId) {
    return holder.mIncarnation == aSelf.mIncarnation ? HolderState::Self
                                                     : HolderState::Gone;
  }
  const auto* member = aMembers.Find(holder.mEntry);
  if (member == nullptr || member->mState == membership::MemberState::Dead ||
      member->mIdentity.mIncarnation > holder.mIncarnation) {
    return HolderState::Gone;
  }
  return member->mState == membership::MemberState::Leaving
           ? HolderState::Leaving
           : HolderState::Present;
}

auto MayClaim(const ClaimConditions& aConditions,
              const OwnershipOptions& aOptions) -> bool
{
  const auto canFenceOrIsExpired = [&] {
    return aConditions.mSupportsFencing ||
           aConditions.mHolderGoneFor >=
             aOptions.mLeaseDuration + aOptions.mClockDriftMargin;
  };
  switch (aConditions.mHolder) {
    case HolderState::None:
    case HolderState::Self:
      return true;
    case HolderState::Present:
      return aConditions.mSupportsFencing &&
             aConditions.mHolderPresentFor >=
               kPresentHolderWait *
                 (1 << std::min(aConditions.mLosses, kMaxWaitDoublings));
    case HolderState::Leaving:
      return aConditions.mHolderGoneFor >= kLeavingHolderWait &&
             canFenceOrIsExpired();
    case HolderState::Gone:
      return aConditions.mUptime >= aOptions.mStartupGrace &&
             canFenceOrIsExpired();
  }
  return false;
}

auto MakeLease(const platform::VmRecord& aWorker,
               const platform::FencingToken& aToken,
               const platform::WorkerReport& aReport) -> WorkerLeasePtr
{
  const auto running = static_cast<std::int64_t>(aReport.mRequests.size());
  auto lease = std::make_shared<WorkerLease>(
    aWorker, aToken, aReport.mIncarnation, running);
  for (const auto& it : aReport.mRequests) {
    lease->mLedger.AddReportedAttempt(it);
  }
  lease->mIsLeaving = aReport.mLeaving;
  return lease;
}

auto LeaseExpiry(base::MonotonicTime aSentAt, const OwnershipOptions& aOptions)
  -> base::MonotonicTime
{
  return aSentAt + aOptions.mLeaseDuration - aOptions.mClockDriftMargin;
}

auto PlanFence(const WorkerLease& aLease) -> FencePlan
{
  // The attempts are read before the token, so that each of them was sent under
  // a token lower than the new one.
  auto attempts = aLease.mLedger.UnknownAttempts();
  auto token = aLease.Token();
  ++token.mNumber;
  return { std::move(token), std::move(attempts) };
}

auto ApplyReport(WorkerLease& aLease, const platform::WorkerReport& aReport)
  -> RenewalOutcome
{
  if (aReport.mIncarnation != aLease.mIncarnation) {
    return RenewalOutcome::WorkerRestarted;
  }
  const auto token = aLease.Token();
  if (!aLease.mWorker.mFences) {
    aLease.mLedger.ReconcileWithReport(aReport.mRequests);
    return RenewalOutcome::Renewed;
  }
  if (aReport.mHighestToken.mHolder != token.mHolder) {
    return RenewalOutcome::Fenced;
  }
  if (aReport.mHighestToken != token) {
    return RenewalOutcome::Reclaimed;
  }
  aLease.mLedger.ReconcileWithReport(aReport.mRequests);
  return RenewalOutcome::Renewed;
}

auto ApplyFenceReport(WorkerLease& aLease,
                      const FencePlan& aPlan,
                      const platform::WorkerReport& aReport) -> RenewalOutcome
{
  if (aReport.mIncarnation != aLease.mIncarnation) {
    return RenewalOutcome::WorkerRestarted;
  }
  // Another holder may have claimed the worker in between. Its requests are in
  // the report but not in this ledger.
  if (aReport.mReplacedToken != aLease.Token()) {
    return RenewalOutcome::Reclaimed;
  }
  aLease.mLedger.MarkFenced(aPlan.mAttempts);
  aLease.mTokenNumber = aPlan.mToken.mNumber;
  aLease.mLedger.ReconcileWithReport(aReport.mRequests);
  return RenewalOutcome::Renewed;
}

auto AddLoss(ClaimBackoff& aBackoff,
             base::MonotonicTime aNow,
             std::mt19937_64& aRandom) -> void
{
  constexpr int kMaxDoublings = 6;
  const auto doublings = std::min(aBackoff.mLosses, kMaxDoublings);
  ++aBackoff.mLosses;
  const auto maxDelay =
    std::min(kInitialClaimBackoff * (1 << doublings), kMaxClaimBackoff);
  auto jitter = std::uniform_int_distribution<std::int64_t>(
    maxDelay.count() / 2, maxDelay.count());
  aBackoff.mUntil = aNow + base::Milliseconds(jitter(aRandom));
}

} // namespace eelgrasspost::ownership
