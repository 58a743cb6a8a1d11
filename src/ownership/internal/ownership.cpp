#include "ownership.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/ownership/assignment.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::ownership {

Ownership::Ownership(OwnershipParts aParts, OwnershipOptions aOptions)
  : mParts(std::move(aParts))
  , mOptions(aOptions)
  , mView(std::make_shared<const OwnershipView>())
{
}

auto Ownership::View() const -> std::shared_ptr<const OwnershipView>
{
  return mView.Read();
}

auto Ownership::PollVmList() -> net::Task<void>
{
  while (true) {
    const auto deadline = base::MonotonicClock::now() + mOptions.mCallTimeout;
    const auto vms = co_await mParts.mVmList.List(deadline);
    if (vms.ok()) {
      std::vector<net::Address> contacts;
      mWorkers.clear();
      for (const auto& it : *vms) {
        if (it.mKind == platform::VmKind::Worker) {
          mWorkers.push_back(it);
        } else {
          contacts.push_back(it.mControl);
        }
      }
      mParts.mMembership.AddContacts(contacts);
    }
    co_await net::Sleep(mOptions.mVmListInterval);
  }
}

auto Ownership::Run() -> net::Task<void>
{
  const auto executor = co_await net::asio::this_coro::executor;
  net::SpawnTask(executor, PollVmList());
  while (!mIsStopping) {
    const auto members = mParts.mMembership.View();
    const auto& self = mParts.mMembership.Self().mId;
    const auto assignments = AssignWorkers(mWorkers, *members);
    DropReassigned(assignments);
    for (const auto& it : assignments) {
      if (it.mEntry == self && mBusy.insert(it.mWorker.mId).second) {
        net::SpawnTask(executor, Tend(it.mWorker));
      }
    }
    Publish();
    co_await net::Sleep(mOptions.mRenewInterval);
  }
}

auto Ownership::DropReassigned(
  const std::vector<WorkerAssignment>& aAssignments) -> void
{
  const auto& self = mParts.mMembership.Self().mId;
  for (const auto& it : aAssignments) {
    const auto hold = mView.Read()->FindHeld(it.mWorker.mId);
    if (hold && it.mEntry != self) {
      Drop(hold);
    }
  }
}

auto Ownership::Tend(platform::VmRecord aWorker) -> net::Task<void>
{
  const auto held = mView.Read()->FindHeld(aWorker.mId);
  if (held) {
    co_await Renew(held);
  } else {
    co_await Claim(aWorker);
  }
  mBusy.erase(aWorker.mId);
}

auto Ownership::Claim(platform::VmRecord aWorker) -> net::Task<void>
{
  const auto sentAt = base::MonotonicClock::now();
  const auto deadline = sentAt + mOptions.mCallTimeout;
  const auto before =
    co_await mParts.mWorker.Report(aWorker.mControl, deadline);
  if (!before.ok()) {
    co_return;
  }
  const auto token = platform::FencingToken{ before->mHighestToken.mNumber + 1,
                                             mParts.mMembership.Self().mId };
  const auto after =
    co_await mParts.mWorker.Claim(aWorker.mControl, token, deadline);
  if (!after.ok()) {
    co_return;
  }
  const auto running = static_cast<std::int64_t>(after->mRequests.size());
  auto hold =
    std::make_shared<WorkerHold>(aWorker, token, after->mIncarnation, running);
  for (const auto& it : after->mRequests) {
    hold->mLedger.KeepForUnknown(it);
  }
  hold->mLeaving = after->mLeaving;
  hold->mLeaseUntil = sentAt + mOptions.mLease;
  mHeld.push_back(std::move(hold));
  Publish();
}

auto Ownership::Renew(WorkerHoldPtr aHold) -> net::Task<void>
{
  const auto sentAt = base::MonotonicClock::now();
  const auto report = co_await mParts.mWorker.Claim(
    aHold->mWorker.mControl, aHold->Token(), sentAt + mOptions.mCallTimeout);
  if (base::IsKind(report.status(), platform::kFenced)) {
    Drop(aHold);
    co_return;
  }
  if (!report.ok()) {
    co_return;
  }
  if (report->mIncarnation != aHold->mIncarnation) {
    Drop(aHold);
    co_return;
  }
  aHold->mLeaseUntil = sentAt + mOptions.mLease;
  TakeReport(aHold, *report);
}

auto Ownership::HandOver(base::MonotonicTime /*aDeadline*/) -> net::Task<void>
{
  mIsStopping = true;
  const auto held = mHeld;
  for (const auto& it : held) {
    Drop(it);
  }
  co_return;
}

auto Ownership::TakeOver(HandOverRequest /*aRequest*/)
  -> net::Task<HandOverReply>
{
  co_return HandOverReply{};
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

auto Ownership::TakeReport(const WorkerHoldPtr& aHold,
                           const platform::WorkerReport& aReport) -> void
{
  if (aReport.mLeaving) {
    ReportLeaving(aHold->mWorker.mId);
  }
  for (const auto& it : aHold->mLedger.UnknownAttempts()) {
    if (std::ranges::find(aReport.mRequests, it) == aReport.mRequests.end()) {
      aHold->mLedger.ForgetUnknown(it);
    }
  }
}

auto Ownership::Drop(const WorkerHoldPtr& aHold) -> void
{
  aHold->mLedger.Close();
  aHold->mLeaseUntil = base::MonotonicTime();
  std::erase(mHeld, aHold);
  Publish();
}

auto Ownership::Publish() -> void
{
  auto view = std::make_shared<OwnershipView>();
  view->mHeld = mHeld;
  view->mAssignments = AssignWorkers(mWorkers, *mParts.mMembership.View());
  mView.Publish(std::move(view));
}

} // namespace eelgrasspost::ownership
