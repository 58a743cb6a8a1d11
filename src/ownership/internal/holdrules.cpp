#include "holdrules.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::ownership {

namespace {

constexpr char kIncarnationMark = '/';
constexpr auto kFirstHoldDown = base::Milliseconds(500);
constexpr auto kLongestHoldDown = base::Milliseconds(30000);
/** A leaving holder hands over itself; this is for lost messages. */
constexpr auto kLeavingHolderWait = base::Milliseconds(1000);

} // namespace

auto HolderName(const membership::MemberIdentity& aEntry) -> std::string
{
  return base::Cat(aEntry.mId, kIncarnationMark, aEntry.mIncarnation);
}

auto ParseHolder(std::string_view aName) -> Holder
{
  const auto mark = aName.rfind(kIncarnationMark);
  if (mark == std::string_view::npos) {
    return { std::string(aName), 0 };
  }
  const auto incarnation =
    base::ParseNumber<std::uint64_t>(aName.substr(mark + 1));
  return { std::string(aName.substr(0, mark)), incarnation.value_or(0) };
}

auto JudgeHolder(const platform::FencingToken& aHighest,
                 const membership::MemberIdentity& aSelf,
                 const membership::MemberView& aMembers) -> HolderState
{
  if (aHighest.mNumber == 0) {
    return HolderState::Nobody;
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

auto MayClaim(const ClaimSituation& aSituation,
              const OwnershipOptions& aOptions) -> bool
{
  const auto waitsOutLease = [&] {
    return aSituation.mFences ||
           aSituation.mHolderGoneFor >= aOptions.mLease + aOptions.mDriftMargin;
  };
  switch (aSituation.mHolder) {
    case HolderState::Nobody:
    case HolderState::Self:
      return true;
    case HolderState::Present:
      return false;
    case HolderState::Leaving:
      return aSituation.mHolderGoneFor >= kLeavingHolderWait && waitsOutLease();
    case HolderState::Gone:
      return aSituation.mUptime >= aOptions.mStartGrace && waitsOutLease();
  }
  return false;
}

auto MakeHold(const platform::VmRecord& aWorker,
              const platform::FencingToken& aToken,
              const platform::WorkerReport& aReport) -> WorkerHoldPtr
{
  const auto running = static_cast<std::int64_t>(aReport.mRequests.size());
  auto hold = std::make_shared<WorkerHold>(
    aWorker, aToken, aReport.mIncarnation, running);
  for (const auto& it : aReport.mRequests) {
    hold->mLedger.KeepForArrived(it);
  }
  hold->mLeaving = aReport.mLeaving;
  return hold;
}

auto LeaseEnd(base::MonotonicTime aSentAt, const OwnershipOptions& aOptions)
  -> base::MonotonicTime
{
  return aSentAt + aOptions.mLease - aOptions.mDriftMargin;
}

auto PlanFence(const WorkerHold& aHold) -> FencePlan
{
  // The attempts are read first: each was sent under a lower token.
  auto attempts = aHold.mLedger.UnknownAttempts();
  auto token = aHold.Token();
  ++token.mNumber;
  return { std::move(token), std::move(attempts) };
}

auto TakeReport(WorkerHold& aHold, const platform::WorkerReport& aReport)
  -> RenewalOutcome
{
  if (aReport.mIncarnation != aHold.mIncarnation) {
    return RenewalOutcome::WorkerRestarted;
  }
  const auto token = aHold.Token();
  if (!aHold.mWorker.mFences) {
    aHold.mLedger.TakeReport(aReport.mRequests);
    return RenewalOutcome::Renewed;
  }
  if (aReport.mHighestToken.mHolder != token.mHolder) {
    return RenewalOutcome::Fenced;
  }
  if (aReport.mHighestToken != token) {
    return RenewalOutcome::Reclaimed;
  }
  aHold.mLedger.TakeReport(aReport.mRequests);
  return RenewalOutcome::Renewed;
}

auto TakeFence(WorkerHold& aHold,
               const FencePlan& aPlan,
               const platform::WorkerReport& aReport) -> RenewalOutcome
{
  if (aReport.mIncarnation != aHold.mIncarnation) {
    return RenewalOutcome::WorkerRestarted;
  }
  // Another holder may have been between the two tokens; its requests are
  // in the report and in no ledger here.
  if (aReport.mReplacedToken != aHold.Token()) {
    return RenewalOutcome::Reclaimed;
  }
  aHold.mLedger.MarkFenced(aPlan.mAttempts);
  aHold.mTokenNumber = aPlan.mToken.mNumber;
  aHold.mLedger.TakeReport(aReport.mRequests);
  return RenewalOutcome::Renewed;
}

auto AddLoss(HoldDown& aHoldDown,
             base::MonotonicTime aNow,
             std::mt19937_64& aRandom) -> void
{
  constexpr int kMostDoublings = 6;
  const auto doublings = std::min(aHoldDown.mLosses, kMostDoublings);
  ++aHoldDown.mLosses;
  const auto longest =
    std::min(kFirstHoldDown * (1 << doublings), kLongestHoldDown);
  auto jitter = std::uniform_int_distribution<std::int64_t>(longest.count() / 2,
                                                            longest.count());
  aHoldDown.mUntil = aNow + base::Milliseconds(jitter(aRandom));
}

} // namespace eelgrasspost::ownership
