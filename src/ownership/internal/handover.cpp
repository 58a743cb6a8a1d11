#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/ownership/ownershiplogevents.h"
#include "foreachconcurrently.h"
#include "ownership.h"

namespace eelgrasspost::ownership {

namespace {

constexpr auto kMessageTimeout = base::Milliseconds(1000);
/** Delay before a worker that was not accepted is handed over again. */
constexpr auto kHandOverRetry = base::Milliseconds(300);
constexpr auto kStoppingHandOverRetry = base::Milliseconds(50);
constexpr std::size_t kMaxWorkersPerHandOver = 64;

/** Copy of the view without one entry. */
auto Without(const membership::MemberView& aMembers, const std::string& aEntry)
  -> membership::MemberView
{
  auto out = aMembers;
  std::erase_if(out.mMembers, [&](const membership::Member& aMember) {
    return aMember.mIdentity.mId == aEntry;
  });
  return out;
}

} // namespace

auto Ownership::StartHandOvers() -> net::Task<void>
{
  const auto executor = co_await net::asio::this_coro::executor;
  const auto now = base::MonotonicClock::now();
  std::map<std::string, TrackedWorkerList> batches;
  for (const auto& it : HeldWorkers()) {
    const auto* next = FindAssignmentIn(mAssignments, it->mWorker.mId);
    const auto mustHandOver =
      !it->mIsBusy && now >= it->mHandOverNotBefore && next != nullptr &&
      !next->mEntry.empty() &&
      next->mEntry != mDependencies.mMembership.Self().mId;
    if (mustHandOver && batches[next->mEntry].size() < kMaxWorkersPerHandOver) {
      it->mIsBusy = true;
      batches[next->mEntry].push_back(it);
    }
  }
  for (auto& [entry, workers] : batches) {
    net::SpawnTask(executor, HandOverTo(entry, std::move(workers)));
  }
}

auto Ownership::HandOverTo(std::string aEntry, TrackedWorkerList aWorkers)
  -> net::Task<void>
{
  HandOverRequest request;
  request.mFrom = mDependencies.mMembership.Self().mId;
  request.mIsStopping = mIsStopping;
  for (const auto& it : aWorkers) {
    it->mMachine.Process(LeaseEvent::HandOverSent);
    request.mWorkers.push_back(it->mWorker.mId);
  }
  const auto members = mDependencies.mMembership.View();
  const auto* next = members->Find(aEntry);
  net::TypedReply<HandOverReply> reply;
  if (next != nullptr) {
    reply = co_await net::CallTyped<HandOverReply>(mDependencies.mMessages,
                                                   next->mIdentity.mControl,
                                                   net::MessageKind::HandOver,
                                                   std::move(request),
                                                   base::MonotonicClock::now() +
                                                     kMessageTimeout);
  }
  const auto now = base::MonotonicClock::now();
  for (const auto& it : aWorkers) {
    const auto& accepted = reply.mReply.mAccepted;
    if (std::ranges::find(accepted, it->mWorker.mId) != accepted.end()) {
      mMetrics.mHandOvers.Add();
      base::Log(kWorkerHandedOver, base::Cat(it->mWorker.mId, " to ", aEntry));
      ReleaseLease(*it, LeaseEvent::HandedOver);
    } else {
      it->mMachine.Process(LeaseEvent::HandOverFailed);
      it->mHandOverNotBefore = now + kHandOverRetry;
    }
    it->mIsBusy = false;
  }
  Publish();
}

auto Ownership::HandOverOnce(base::MonotonicTime aDeadline) -> net::Task<void>
{
  const auto& self = mDependencies.mMembership.Self().mId;
  const auto members = Without(*mDependencies.mMembership.View(), self);
  const auto assignments = AssignWorkers(mWorkers, members);
  std::map<std::string, TrackedWorkerList> batches;
  for (const auto& it : HeldWorkers()) {
    const auto* next = FindAssignmentIn(assignments, it->mWorker.mId);
    if (!it->mIsBusy && next != nullptr && !next->mEntry.empty()) {
      it->mIsBusy = true;
      batches[next->mEntry].push_back(it);
    }
  }
  std::vector<std::pair<std::string, TrackedWorkerList>> list(batches.begin(),
                                                              batches.end());
  if (!list.empty() && base::MonotonicClock::now() < aDeadline) {
    co_await ForEachConcurrently(
      list.size(), list.size(), [&](std::size_t aIndex) -> net::Task<void> {
        co_await HandOverTo(list[aIndex].first, list[aIndex].second);
      });
  }
}

auto Ownership::HandOverAll(base::MonotonicTime aDeadline) -> net::Task<void>
{
  mIsStopping = true;
  mAudit.RecordPlannedStop();
  co_await HandOverWithRetries(aDeadline);
  // The workers are handed over at this point, so that an unreachable table
  // delays only this entry's own stop.
  co_await mAudit.FlushAll(aDeadline);
}

auto Ownership::HandOverWithRetries(base::MonotonicTime aDeadline)
  -> net::Task<void>
{
  while (base::MonotonicClock::now() < aDeadline) {
    co_await HandOverOnce(aDeadline);
    if (HeldWorkers().empty()) {
      co_return;
    }
    const auto& members = mDependencies.mMembership.View()->mMembers;
    const auto isAlone =
      std::ranges::none_of(members, [&](const membership::Member& aMember) {
        const auto& self = mDependencies.mMembership.Self();
        return MayOwn(aMember) && aMember.mIdentity.mId != self.mId &&
               aMember.mIdentity.mFailureDomain == self.mFailureDomain;
      });
    if (isAlone) {
      break;
    }
    co_await net::Sleep(kStoppingHandOverRetry);
  }
  base::Log(kHandOverIncomplete, base::Cat(HeldWorkers().size(), " left"));
}

auto Ownership::AcceptHandOver(HandOverRequest aRequest)
  -> net::Task<HandOverReply>
{
  co_return co_await net::asio::co_spawn(
    mDependencies.mExecutor,
    AcceptOnControlThread(std::move(aRequest)),
    net::asio::use_awaitable);
}

auto Ownership::AcceptOnControlThread(HandOverRequest aRequest)
  -> net::Task<HandOverReply>
{
  HandOverReply out;
  UpdateAssignments();
  co_await ForEachConcurrently(aRequest.mWorkers.size(),
                               mOptions.mMaxConcurrentCalls,
                               [&](std::size_t aIndex) -> net::Task<void> {
                                 const auto& worker = aRequest.mWorkers[aIndex];
                                 if (co_await AcceptWorker(aRequest, worker)) {
                                   out.mAccepted.push_back(worker);
                                 }
                               });
  Publish();
  co_return out;
}

auto Ownership::AcceptWorker(const HandOverRequest& aRequest,
                             std::string aWorker) -> net::Task<bool>
{
  const auto found = mTrackedWorkers.find(aWorker);
  if (found == mTrackedWorkers.end() || mIsStopping) {
    co_return false;
  }
  const auto tracked = found->second;
  // A worker that is assigned elsewhere would be handed back as soon as the
  // views agree.
  const auto mayAccept = aRequest.mIsStopping || IsAssignedToSelf(*tracked);
  if (tracked->mIsBusy || !mayAccept) {
    co_return false;
  }
  tracked->mIsBusy = true;
  if (tracked->mLease) {
    // The sender has claimed the worker since, so that this lease is probably
    // fenced.
    co_await Renew(Context(), *tracked);
  }
  if (tracked->mLease) {
    tracked->mIsBusy = false;
    co_return true;
  }
  const auto isAccepted =
    co_await TryClaim(Context(), *tracked, ClaimCause::HandedOver);
  tracked->mIsBusy = false;
  co_return isAccepted;
}

} // namespace eelgrasspost::ownership
