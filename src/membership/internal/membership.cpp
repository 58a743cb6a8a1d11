#include "membership.h"

#include <algorithm>

#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::membership {

Membership::Membership(MemberIdentity aSelf,
                       MembershipOptions aOptions,
                       SendDatagram aSend)
  : mOptions(aOptions)
  , mSend(std::move(aSend))
  , mView(std::make_shared<const MemberView>())
{
  mOwn.mIdentity = aSelf;
  mList.mSelf = std::move(aSelf);
  Publish();
}

auto Membership::Self() const -> const MemberIdentity&
{
  return mList.mSelf;
}

auto Membership::View() const -> std::shared_ptr<const MemberView>
{
  return mView.Read();
}

auto Membership::AddContacts(const std::vector<net::Address>& aContacts) -> void
{
  for (const auto& it : aContacts) {
    const auto isKnown = std::ranges::find(mContacts, it) != mContacts.end();
    if (!isKnown && it != mList.mSelf.mControl) {
      mContacts.push_back(it);
    }
  }
}

auto Membership::SetLoad(MemberLoad aLoad) -> void
{
  aLoad.mRevision = mOwn.mLoad.mRevision;
  mOwn.mLoad = aLoad;
}

auto Membership::SetRevision(std::uint64_t aRevision) -> void
{
  mOwn.mLoad.mRevision = aRevision;
  Publish();
}

auto Membership::Leave() -> void
{
  mOwn.mState = MemberState::Leaving;
  ++mOwn.mHeartbeat;
  const auto now = base::MonotonicClock::now();
  const auto bytes = net::Encode(MakeHeartbeat(mList, mOwn, mOptions, now));
  for (const auto& it : mList.mMembers) {
    if (it.mMember.mState != MemberState::Dead) {
      mSend(it.mMember.mIdentity.mControl, bytes);
    }
  }
  Publish();
}

auto Membership::AddLeavingWorker(LeavingWorker aWorker) -> void
{
  const auto now = base::MonotonicClock::now();
  if (LearnLeaving(mList, { std::move(aWorker), 0 }, now)) {
    Publish();
  }
}

auto Membership::Receive(std::string_view aBytes) -> void
{
  const auto heartbeat = net::Decode<Heartbeat>(aBytes);
  if (!heartbeat.ok()) {
    return;
  }
  const auto now = base::MonotonicClock::now();
  auto isNews = Learn(mList, heartbeat->mSender, now);
  for (const auto& it : heartbeat->mDigests) {
    isNews |= LearnDigest(mList, it, now);
  }
  for (const auto& it : heartbeat->mOthers) {
    isNews |= Learn(mList, it, now);
  }
  for (const auto& it : heartbeat->mLeavingWorkers) {
    isNews |= LearnLeaving(mList, it, now);
  }
  if (isNews) {
    Publish();
  }
}

auto Membership::ChooseTargets() -> std::vector<net::Address>
{
  std::vector<net::Address> near;
  std::vector<net::Address> far;
  auto unheard = mContacts;
  for (const auto& it : mList.mMembers) {
    const auto& identity = it.mMember.mIdentity;
    if (it.mMember.mState == MemberState::Dead) {
      unheard.push_back(identity.mControl);
      continue;
    }
    std::erase(unheard, identity.mControl);
    const auto isNear = identity.mFailureDomain == mList.mSelf.mFailureDomain;
    (isNear ? near : far).push_back(identity.mControl);
  }
  std::vector<net::Address> out;
  const auto take = [&](const std::vector<net::Address>& aFrom,
                        std::size_t aMost,
                        std::size_t& aNext) {
    for (std::size_t i = 0; i < std::min(aMost, aFrom.size()); ++i) {
      out.push_back(aFrom[aNext++ % aFrom.size()]);
    }
  };
  // One in each interval goes to other failure domains or to those that were
  // not heard of, so that cuts that heal are noticed.
  const auto fanout = std::max<std::size_t>(mOptions.mFanout, 2);
  take(near, fanout - 1, mNextNear);
  const auto isUnheardsTurn =
    mList.mMembers.empty() || mOwn.mHeartbeat % 3 == 0;
  if (isUnheardsTurn && !unheard.empty()) {
    take(unheard, fanout - out.size(), mNextUnheard);
  }
  take(far, fanout - std::min(fanout, out.size()), mNextFar);
  return out;
}

auto Membership::SendHeartbeats() -> void
{
  ++mOwn.mHeartbeat;
  const auto now = base::MonotonicClock::now();
  const auto bytes = net::Encode(MakeHeartbeat(mList, mOwn, mOptions, now));
  for (const auto& it : ChooseTargets()) {
    mSend(it, bytes);
  }
}

auto Membership::Publish() -> void
{
  auto view = std::make_shared<MemberView>();
  view->mMembers.push_back(mOwn);
  for (const auto& it : mList.mMembers) {
    view->mMembers.push_back(it.mMember);
  }
  for (const auto& it : mList.mLeaving) {
    view->mLeavingWorkers.push_back(it.mWorker);
  }
  mView.Publish(std::move(view));
}

auto Membership::Run() -> net::Task<void>
{
  while (true) {
    SendHeartbeats();
    Judge(mList, mOptions, base::MonotonicClock::now());
    Publish();
    co_await net::Sleep(mOptions.mHeartbeatInterval);
  }
}

} // namespace eelgrasspost::membership
