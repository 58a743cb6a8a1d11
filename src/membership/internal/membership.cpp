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
  SendHeartbeats();
  Publish();
}

auto Membership::AddLeavingWorker(LeavingWorker aWorker) -> void
{
  auto& known = mList.mLeavingWorkers;
  if (std::ranges::find(known, aWorker) == known.end()) {
    known.push_back(std::move(aWorker));
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
  Learn(mList, heartbeat->mSender, now);
  for (const auto& it : heartbeat->mOthers) {
    Learn(mList, it, now);
  }
  for (const auto& it : heartbeat->mLeavingWorkers) {
    AddLeavingWorker(it);
  }
  Publish();
}

auto Membership::SendHeartbeats() -> void
{
  ++mOwn.mHeartbeat;
  auto heartbeat = Heartbeat{ mOwn, {}, mList.mLeavingWorkers };
  for (const auto& it : mList.mMembers) {
    if (it.mMember.mState != MemberState::Dead) {
      heartbeat.mOthers.push_back(it.mMember);
    }
  }
  const auto bytes = net::Encode(heartbeat);
  auto targets = mContacts;
  for (const auto& it : mList.mMembers) {
    const auto& address = it.mMember.mIdentity.mControl;
    if (std::ranges::find(targets, address) == targets.end()) {
      targets.push_back(address);
    }
  }
  for (const auto& it : targets) {
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
  view->mLeavingWorkers = mList.mLeavingWorkers;
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
