#include "ownership.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::ownership {

namespace {

constexpr auto kCheckInterval = base::Milliseconds(50);

auto SeedOf(const OwnershipOptions& aOptions) -> std::uint64_t
{
  return aOptions.mSeed != 0 ? aOptions.mSeed : std::random_device{}();
}

/** Text of all inputs on which the assignment depends. */
auto AssignmentKey(const membership::MemberView& aMembers,
                   std::uint64_t aWorkersVersion) -> std::string
{
  auto out = base::Cat(aWorkersVersion);
  for (const auto& it : aMembers.mMembers) {
    if (MayOwn(it)) {
      base::Append(out, "\n", it.mIdentity.mId);
    }
  }
  return out;
}

auto SameWorkers(const std::vector<platform::VmRecord>& aLeft,
                 const std::vector<platform::VmRecord>& aRight) -> bool
{
  return std::ranges::equal(
    aLeft,
    aRight,
    [](const platform::VmRecord& aOne, const platform::VmRecord& aOther) {
      return aOne.mId == aOther.mId && aOne.mControl == aOther.mControl &&
             aOne.mState == aOther.mState && aOne.mSlots == aOther.mSlots;
    });
}

} // namespace

Ownership::Ownership(OwnershipDependencies aDependencies,
                     OwnershipOptions aOptions)
  : mDependencies(std::move(aDependencies))
  , mOptions(aOptions)
  , mMetrics(mDependencies.mMetrics)
  , mAudit(mDependencies.mTable, mDependencies.mMembership.Self().mId)
  , mRandom(SeedOf(aOptions))
  , mStartedAt(base::MonotonicClock::now())
  , mView(std::make_shared<const OwnershipView>())
{
}

auto Ownership::View() const -> std::shared_ptr<const OwnershipView>
{
  return mView.Read();
}

auto Ownership::Context() -> LeasingContext
{
  return { mDependencies.mWorker,
           mDependencies.mMembership,
           mOptions,
           mMetrics,
           mRandom,
           mStartedAt };
}

auto Ownership::PollVmList() -> net::Task<void>
{
  while (true) {
    const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
    const auto vms = co_await mDependencies.mVmList.List(deadline);
    if (vms.ok()) {
      ApplyVmList(*vms);
    }
    co_await net::Sleep(mOptions.mVmListInterval);
  }
}

auto Ownership::ApplyVmList(const std::vector<platform::VmRecord>& aVms) -> void
{
  std::vector<net::Address> seeds;
  std::vector<platform::VmRecord> workers;
  for (const auto& it : aVms) {
    if (it.mKind == platform::VmKind::Worker) {
      workers.push_back(it);
    } else {
      seeds.push_back(it.mControl);
    }
  }
  mDependencies.mMembership.AddSeeds(seeds);
  if (!SameWorkers(workers, mWorkers)) {
    mWorkers = std::move(workers);
    ++mWorkersVersion;
    UpdateTrackedWorkers();
  }
}

auto Ownership::UpdateTrackedWorkers() -> void
{
  const auto& domain = mDependencies.mMembership.Self().mFailureDomain;
  std::map<std::string, TrackedWorkerPtr, std::less<>> next;
  for (const auto& it : mWorkers) {
    if (it.mFailureDomain != domain) {
      continue;
    }
    const auto known = mTrackedWorkers.find(it.mId);
    auto tracked = known == mTrackedWorkers.end()
                     ? std::make_shared<TrackedWorker>()
                     : known->second;
    tracked->mWorker = it;
    next.emplace(it.mId, std::move(tracked));
  }
  // The VM list may lag behind: a worker that is missing from it stays tracked
  // until its lease expires.
  const auto now = base::MonotonicClock::now();
  for (const auto& [id, tracked] : mTrackedWorkers) {
    if (tracked->mIsBusy ||
        (tracked->mLease && now < tracked->mLease->mExpiresAt.load())) {
      next.emplace(id, tracked);
    }
  }
  mTrackedWorkers = std::move(next);
}

auto Ownership::UpdateAssignments() -> void
{
  const auto members = mDependencies.mMembership.View();
  auto key = AssignmentKey(*members, mWorkersVersion);
  if (key == mAssignmentKey) {
    return;
  }
  mAssignments = AssignWorkers(mWorkers, *members);
  mAssignmentKey = std::move(key);
  Publish();
}

auto Ownership::IsAssignedToSelf(const TrackedWorker& aTracked) const -> bool
{
  const auto* assignment = FindAssignmentIn(mAssignments, aTracked.mWorker.mId);
  return assignment != nullptr &&
         assignment->mEntry == mDependencies.mMembership.Self().mId;
}

auto Ownership::HeldWorkers() const -> TrackedWorkerList
{
  TrackedWorkerList out;
  for (const auto& [id, tracked] : mTrackedWorkers) {
    if (tracked->mLease) {
      out.push_back(tracked);
    }
  }
  return out;
}

auto Ownership::NextCheckDelay(const TrackedWorker& aTracked) const
  -> base::Milliseconds
{
  if (!aTracked.mLease->mLedger.UnknownAttempts().empty()) {
    return mOptions.mFastRenewInterval;
  }
  const auto held = static_cast<std::int64_t>(mView.Read()->mLeases.size());
  const auto perSecond =
    static_cast<std::int64_t>(mOptions.mMaxRenewalsPerSecond);
  const auto paced = base::Milliseconds(held * 1000 / perSecond);
  return std::clamp(
    paced, mOptions.mRenewInterval, mOptions.mLeaseDuration / 3);
}

auto Ownership::Run() -> net::Task<void>
{
  const auto executor = co_await net::asio::this_coro::executor;
  net::SpawnTask(executor, PollVmList());
  net::SpawnTask(executor, mAudit.Run());
  while (true) {
    UpdateAssignments();
    PropagateLeavingWorkers();
    co_await CheckDueWorkers();
    if (!mIsStopping) {
      co_await StartHandOvers();
    }
    co_await net::Sleep(kCheckInterval);
  }
}

auto Ownership::CheckDueWorkers() -> net::Task<void>
{
  const auto executor = co_await net::asio::this_coro::executor;
  const auto now = base::MonotonicClock::now();
  for (const auto& [id, tracked] : mTrackedWorkers) {
    if (mCallsInFlight >= mOptions.mMaxConcurrentCalls) {
      break;
    }
    auto checkAt = tracked->mNextCheckAt;
    if (tracked->mLease && tracked->mLease->mLedger.HasUnfencedAttempts()) {
      checkAt = std::min(checkAt, tracked->mFenceNotBefore);
    }
    const auto mayCheck =
      tracked->mLease || (!mIsStopping && IsAssignedToSelf(*tracked));
    if (tracked->mIsBusy || now < checkAt || !mayCheck) {
      continue;
    }
    tracked->mIsBusy = true;
    ++mCallsInFlight;
    net::SpawnTask(executor, CheckWorker(tracked));
  }
}

auto Ownership::CheckWorker(TrackedWorkerPtr aTracked) -> net::Task<void>
{
  const auto leaseBefore = aTracked->mLease;
  if (aTracked->mLease) {
    co_await Renew(Context(), *aTracked);
  } else {
    aTracked->mMachine.Process(LeaseEvent::BackoffOver);
    co_await TryClaim(Context(), *aTracked, ClaimCause::Assigned);
  }
  if (aTracked->mLease) {
    aTracked->mNextCheckAt =
      base::MonotonicClock::now() + NextCheckDelay(*aTracked);
  }
  aTracked->mIsBusy = false;
  --mCallsInFlight;
  if (aTracked->mLease != leaseBefore) {
    Publish();
  }
}

auto Ownership::IsListedLeaving(const WorkerLease& aLease) -> bool
{
  const auto found = mTrackedWorkers.find(aLease.mWorker.mId);
  const auto isListed =
    found != mTrackedWorkers.end() &&
    found->second->mWorker.mState == platform::VmState::Leaving;
  if (!isListed) {
    mListedLeavingIncarnations.erase(aLease.mWorker.mId);
    return false;
  }
  const auto listed = mListedLeavingIncarnations.try_emplace(
    aLease.mWorker.mId, aLease.mIncarnation);
  return listed.first->second == aLease.mIncarnation;
}

auto Ownership::PropagateLeavingWorkers() -> void
{
  const auto members = mDependencies.mMembership.View();
  for (const auto& it : HeldWorkers()) {
    const auto& lease = *it->mLease;
    const auto worker =
      membership::LeavingWorker{ lease.mWorker.mId, lease.mIncarnation };
    const auto isKnown = members->IsLeaving(worker);
    const auto isListed = IsListedLeaving(lease);
    if (isKnown || isListed) {
      it->mLease->mIsLeaving = true;
    }
    if (it->mLease->mIsLeaving.load() && !isKnown) {
      mDependencies.mMembership.AddLeavingWorker(worker);
    }
  }
}

auto Ownership::ReportLeaving(std::string_view aWorker) -> void
{
  const auto lease = mView.Read()->FindLease(aWorker);
  if (!lease || lease->mIsLeaving.exchange(true)) {
    return;
  }
  net::asio::post(mDependencies.mExecutor, [this, lease] {
    mDependencies.mMembership.AddLeavingWorker(
      { lease->mWorker.mId, lease->mIncarnation });
  });
}

auto Ownership::Publish() -> void
{
  auto view = std::make_shared<OwnershipView>();
  for (const auto& it : HeldWorkers()) {
    view->mLeases.push_back(it->mLease);
  }
  view->mAssignments = mAssignments;
  mMetrics.mHeldWorkers.Set(static_cast<std::int64_t>(view->mLeases.size()));
  mAudit.RecordChanges(*mView.Read(), *view);
  mView.Publish(std::move(view));
}

} // namespace eelgrasspost::ownership
