#include "ownership.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::ownership {

namespace {

constexpr auto kTick = base::Milliseconds(50);

auto SeedOf(const OwnershipOptions& aOptions) -> std::uint64_t
{
  return aOptions.mSeed != 0 ? aOptions.mSeed : std::random_device{}();
}

/** What an assignment depends on, as text. */
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

Ownership::Ownership(OwnershipParts aParts, OwnershipOptions aOptions)
  : mParts(std::move(aParts))
  , mOptions(aOptions)
  , mMetrics(mParts.mMetrics)
  , mAudit(mParts.mTable, mParts.mMembership.Self().mId)
  , mRandom(SeedOf(aOptions))
  , mStartedAt(base::MonotonicClock::now())
  , mView(std::make_shared<const OwnershipView>())
{
}

auto Ownership::View() const -> std::shared_ptr<const OwnershipView>
{
  return mView.Read();
}

auto Ownership::Context() -> TenderContext
{
  return { mParts.mWorker, mParts.mMembership, mOptions, mMetrics,
           mRandom,        mStartedAt };
}

auto Ownership::PollVmList() -> net::Task<void>
{
  while (true) {
    const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
    const auto vms = co_await mParts.mVmList.List(deadline);
    if (vms.ok()) {
      TakeVmList(*vms);
    }
    co_await net::Sleep(mOptions.mVmListInterval);
  }
}

auto Ownership::TakeVmList(const std::vector<platform::VmRecord>& aVms) -> void
{
  std::vector<net::Address> contacts;
  std::vector<platform::VmRecord> workers;
  for (const auto& it : aVms) {
    if (it.mKind == platform::VmKind::Worker) {
      workers.push_back(it);
    } else {
      contacts.push_back(it.mControl);
    }
  }
  mParts.mMembership.AddContacts(contacts);
  if (!SameWorkers(workers, mWorkers)) {
    mWorkers = std::move(workers);
    ++mWorkersVersion;
    RefreshTenders();
  }
}

auto Ownership::RefreshTenders() -> void
{
  const auto& domain = mParts.mMembership.Self().mFailureDomain;
  std::map<std::string, TenderPtr, std::less<>> next;
  for (const auto& it : mWorkers) {
    if (it.mFailureDomain != domain) {
      continue;
    }
    const auto known = mTenders.find(it.mId);
    auto tender =
      known == mTenders.end() ? std::make_shared<Tender>() : known->second;
    tender->mWorker = it;
    next.emplace(it.mId, std::move(tender));
  }
  // A worker that the lagging list dropped is kept while its hold lasts.
  const auto now = base::MonotonicClock::now();
  for (const auto& [id, tender] : mTenders) {
    if (tender->mIsBusy ||
        (tender->mHold && now < tender->mHold->mLeaseUntil.load())) {
      next.emplace(id, tender);
    }
  }
  mTenders = std::move(next);
}

auto Ownership::RefreshAssignments() -> void
{
  const auto members = mParts.mMembership.View();
  auto key = AssignmentKey(*members, mWorkersVersion);
  if (key == mAssignedFor) {
    return;
  }
  mAssignments = AssignWorkers(mWorkers, *members);
  mAssignedFor = std::move(key);
  Publish();
}

auto Ownership::IsOurs(const Tender& aTender) const -> bool
{
  const auto* assignment = FindAssignmentIn(mAssignments, aTender.mWorker.mId);
  return assignment != nullptr &&
         assignment->mEntry == mParts.mMembership.Self().mId;
}

auto Ownership::HeldTenders() const -> TenderList
{
  TenderList out;
  for (const auto& [id, tender] : mTenders) {
    if (tender->mHold) {
      out.push_back(tender);
    }
  }
  return out;
}

auto Ownership::NextDue(const Tender& aTender) const -> base::Milliseconds
{
  if (!aTender.mHold->mLedger.UnknownAttempts().empty()) {
    return mOptions.mQuickInterval;
  }
  const auto held = static_cast<std::int64_t>(mView.Read()->mHeld.size());
  const auto perSecond = static_cast<std::int64_t>(mOptions.mRenewalsPerSecond);
  const auto paced = base::Milliseconds(held * 1000 / perSecond);
  return std::clamp(paced, mOptions.mRenewInterval, mOptions.mLease / 3);
}

auto Ownership::Run() -> net::Task<void>
{
  const auto executor = co_await net::asio::this_coro::executor;
  net::SpawnTask(executor, PollVmList());
  net::SpawnTask(executor, mAudit.Run());
  while (true) {
    RefreshAssignments();
    SpreadLeaving();
    co_await TendAll();
    if (!mIsStopping) {
      co_await StartHandOvers();
    }
    co_await net::Sleep(kTick);
  }
}

auto Ownership::TendAll() -> net::Task<void>
{
  const auto executor = co_await net::asio::this_coro::executor;
  const auto now = base::MonotonicClock::now();
  for (const auto& [id, tender] : mTenders) {
    if (mCallsUnderWay >= mOptions.mCallsAtOnce) {
      break;
    }
    auto dueAt = tender->mDueAt;
    if (tender->mHold && tender->mHold->mLedger.HasUnfenced()) {
      dueAt = std::min(dueAt, tender->mFenceNotBefore);
    }
    const auto mayTend = tender->mHold || (!mIsStopping && IsOurs(*tender));
    if (tender->mIsBusy || now < dueAt || !mayTend) {
      continue;
    }
    tender->mIsBusy = true;
    ++mCallsUnderWay;
    net::SpawnTask(executor, Tend(tender));
  }
}

auto Ownership::Tend(TenderPtr aTender) -> net::Task<void>
{
  const auto heldBefore = aTender->mHold;
  if (aTender->mHold) {
    co_await Renew(Context(), *aTender);
  } else {
    aTender->mMachine.Process(HoldEvent::HoldDownOver);
    co_await TryClaim(Context(), *aTender, ClaimCause::Assigned);
  }
  if (aTender->mHold) {
    aTender->mDueAt = base::MonotonicClock::now() + NextDue(*aTender);
  }
  aTender->mIsBusy = false;
  --mCallsUnderWay;
  if (aTender->mHold != heldBefore) {
    Publish();
  }
}

auto Ownership::IsListedLeaving(const WorkerHold& aHold) -> bool
{
  const auto found = mTenders.find(aHold.mWorker.mId);
  const auto isListed =
    found != mTenders.end() &&
    found->second->mWorker.mState == platform::VmState::Leaving;
  if (!isListed) {
    mListedLeaving.erase(aHold.mWorker.mId);
    return false;
  }
  const auto listed =
    mListedLeaving.try_emplace(aHold.mWorker.mId, aHold.mIncarnation);
  return listed.first->second == aHold.mIncarnation;
}

auto Ownership::SpreadLeaving() -> void
{
  const auto members = mParts.mMembership.View();
  for (const auto& it : HeldTenders()) {
    const auto& hold = *it->mHold;
    const auto worker =
      membership::LeavingWorker{ hold.mWorker.mId, hold.mIncarnation };
    const auto isKnown = members->IsLeaving(worker);
    const auto isListed = IsListedLeaving(hold);
    if (isKnown || isListed) {
      it->mHold->mLeaving = true;
    }
    if (it->mHold->mLeaving.load() && !isKnown) {
      mParts.mMembership.AddLeavingWorker(worker);
    }
  }
}

auto Ownership::ReportLeaving(std::string_view aWorker) -> void
{
  const auto hold = mView.Read()->FindHeld(aWorker);
  if (!hold || hold->mLeaving.exchange(true)) {
    return;
  }
  net::asio::post(mParts.mControl, [this, hold] {
    mParts.mMembership.AddLeavingWorker(
      { hold->mWorker.mId, hold->mIncarnation });
  });
}

auto Ownership::Publish() -> void
{
  auto view = std::make_shared<OwnershipView>();
  for (const auto& it : HeldTenders()) {
    view->mHeld.push_back(it->mHold);
  }
  view->mAssignments = mAssignments;
  mMetrics.mHeld.Set(static_cast<std::int64_t>(view->mHeld.size()));
  mAudit.NoteChanges(*mView.Read(), *view);
  mView.Publish(std::move(view));
}

} // namespace eelgrasspost::ownership
