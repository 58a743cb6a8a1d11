#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/ownership/ownershiplogevents.h"
#include "ownership.h"
#include "parallel.h"

namespace eelgrasspost::ownership {

namespace {

constexpr auto kMessageTimeout = base::Milliseconds(1000);
/** Wait before a worker that its next owner did not take is offered again. */
constexpr auto kOfferRetry = base::Milliseconds(300);
constexpr auto kStopRetry = base::Milliseconds(50);
constexpr std::size_t kWorkersPerOffer = 64;

/** The members without one entry. */
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
  std::map<std::string, TenderList> offers;
  for (const auto& it : HeldTenders()) {
    const auto* next = FindAssignmentIn(mAssignments, it->mWorker.mId);
    const auto isOffered = !it->mIsBusy && now >= it->mHandOverNotBefore &&
                           next != nullptr && !next->mEntry.empty() &&
                           next->mEntry != mParts.mMembership.Self().mId;
    if (isOffered && offers[next->mEntry].size() < kWorkersPerOffer) {
      it->mIsBusy = true;
      offers[next->mEntry].push_back(it);
    }
  }
  for (auto& [entry, tenders] : offers) {
    net::SpawnTask(executor, HandTo(entry, std::move(tenders)));
  }
}

auto Ownership::HandTo(std::string aEntry, TenderList aTenders)
  -> net::Task<void>
{
  HandOverRequest request;
  request.mFrom = mParts.mMembership.Self().mId;
  request.mIsStopping = mIsStopping;
  for (const auto& it : aTenders) {
    it->mMachine.Process(HoldEvent::HandOverSent);
    request.mWorkers.push_back(it->mWorker.mId);
  }
  const auto members = mParts.mMembership.View();
  const auto* next = members->Find(aEntry);
  net::TypedReply<HandOverReply> reply;
  if (next != nullptr) {
    reply = co_await net::CallTyped<HandOverReply>(mParts.mMessages,
                                                   next->mIdentity.mControl,
                                                   net::MessageKind::HandOver,
                                                   std::move(request),
                                                   base::MonotonicClock::now() +
                                                     kMessageTimeout);
  }
  const auto now = base::MonotonicClock::now();
  for (const auto& it : aTenders) {
    const auto& taken = reply.mReply.mTaken;
    if (std::ranges::find(taken, it->mWorker.mId) != taken.end()) {
      mMetrics.mHandOvers.Add();
      base::Log(kWorkerHandedOver, base::Cat(it->mWorker.mId, " to ", aEntry));
      Drop(*it, HoldEvent::HandedOver);
    } else {
      it->mMachine.Process(HoldEvent::HandOverFailed);
      it->mHandOverNotBefore = now + kOfferRetry;
    }
    it->mIsBusy = false;
  }
  Publish();
}

auto Ownership::HandOverStep(base::MonotonicTime aDeadline) -> net::Task<void>
{
  const auto& self = mParts.mMembership.Self().mId;
  const auto members = Without(*mParts.mMembership.View(), self);
  const auto assignments = AssignWorkers(mWorkers, members);
  std::map<std::string, TenderList> offers;
  for (const auto& it : HeldTenders()) {
    const auto* next = FindAssignmentIn(assignments, it->mWorker.mId);
    if (!it->mIsBusy && next != nullptr && !next->mEntry.empty()) {
      it->mIsBusy = true;
      offers[next->mEntry].push_back(it);
    }
  }
  std::vector<std::pair<std::string, TenderList>> list(offers.begin(),
                                                       offers.end());
  if (!list.empty() && base::MonotonicClock::now() < aDeadline) {
    co_await RunEach(
      list.size(), list.size(), [&](std::size_t aIndex) -> net::Task<void> {
        co_await HandTo(list[aIndex].first, list[aIndex].second);
      });
  }
}

auto Ownership::HandOver(base::MonotonicTime aDeadline) -> net::Task<void>
{
  mIsStopping = true;
  mAudit.NotePlannedStop();
  co_await OfferAll(aDeadline);
  // The others own the workers by now; this waits for the table at most.
  co_await mAudit.FlushAll(aDeadline);
}

auto Ownership::OfferAll(base::MonotonicTime aDeadline) -> net::Task<void>
{
  while (base::MonotonicClock::now() < aDeadline) {
    co_await HandOverStep(aDeadline);
    if (HeldTenders().empty()) {
      co_return;
    }
    const auto& members = mParts.mMembership.View()->mMembers;
    const auto isAlone =
      std::ranges::none_of(members, [&](const membership::Member& aMember) {
        const auto& self = mParts.mMembership.Self();
        return MayOwn(aMember) && aMember.mIdentity.mId != self.mId &&
               aMember.mIdentity.mFailureDomain == self.mFailureDomain;
      });
    if (isAlone) {
      break;
    }
    co_await net::Sleep(kStopRetry);
  }
  base::Log(kHandOverIncomplete, base::Cat(HeldTenders().size(), " left"));
}

auto Ownership::TakeOver(HandOverRequest aRequest) -> net::Task<HandOverReply>
{
  co_return co_await net::asio::co_spawn(mParts.mControl,
                                         TakeOverHere(std::move(aRequest)),
                                         net::asio::use_awaitable);
}

auto Ownership::TakeOverHere(HandOverRequest aRequest)
  -> net::Task<HandOverReply>
{
  HandOverReply out;
  RefreshAssignments();
  co_await RunEach(aRequest.mWorkers.size(),
                   mOptions.mCallsAtOnce,
                   [&](std::size_t aIndex) -> net::Task<void> {
                     const auto& worker = aRequest.mWorkers[aIndex];
                     if (co_await TakeOne(aRequest, worker)) {
                       out.mTaken.push_back(worker);
                     }
                   });
  Publish();
  co_return out;
}

auto Ownership::TakeOne(const HandOverRequest& aRequest, std::string aWorker)
  -> net::Task<bool>
{
  const auto found = mTenders.find(aWorker);
  if (found == mTenders.end() || mIsStopping) {
    co_return false;
  }
  const auto tender = found->second;
  // Otherwise it would go back as soon as the views agree.
  const auto isWanted = aRequest.mIsStopping || IsOurs(*tender);
  if (tender->mIsBusy || !isWanted) {
    co_return false;
  }
  tender->mIsBusy = true;
  if (tender->mHold) {
    // The offering entry has claimed it since: this hold is likely fenced.
    co_await Renew(Context(), *tender);
  }
  if (tender->mHold) {
    tender->mIsBusy = false;
    co_return true;
  }
  const auto isTaken =
    co_await TryClaim(Context(), *tender, ClaimCause::HandedOver);
  tender->mIsBusy = false;
  co_return isTaken;
}

} // namespace eelgrasspost::ownership
