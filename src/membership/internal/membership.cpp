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
  mSelf.mIdentity = aSelf;
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

auto Membership::AddSeeds(const std::vector<net::Address>& aSeeds) -> void
{
  for (const auto& it : aSeeds) {
    const auto isKnown = std::ranges::find(mSeeds, it) != mSeeds.end();
    if (!isKnown && it != mList.mSelf.mControl) {
      mSeeds.push_back(it);
    }
  }
}

auto Membership::SetLoad(MemberLoad aLoad) -> void
{
  aLoad.mRevision = mSelf.mLoad.mRevision;
  mSelf.mLoad = aLoad;
}

auto Membership::SetRevision(std::uint64_t aRevision) -> void
{
  mSelf.mLoad.mRevision = aRevision;
  Publish();
}

auto Membership::Leave() -> void
{
  mSelf.mState = MemberState::Leaving;
  ++mSelf.mHeartbeat;
  const auto now = base::MonotonicClock::now();
  const auto bytes = net::Encode(MakeHeartbeat(mList, mSelf, mOptions, now));
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
  if (MergeLeavingWorker(mList, { std::move(aWorker), 0 }, now)) {
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
  auto hasChanged = MergeMember(mList, heartbeat->mSender, now);
  for (const auto& it : heartbeat->mDigests) {
    hasChanged |= MergeDigest(mList, it, now);
  }
  for (const auto& it : heartbeat->mFullMembers) {
    hasChanged |= MergeMember(mList, it, now);
  }
  for (const auto& it : heartbeat->mLeavingWorkers) {
    hasChanged |= MergeLeavingWorker(mList, it, now);
  }
  if (hasChanged) {
    Publish();
  }
}

auto Membership::ChooseTargets() -> std::vector<net::Address>
{
  std::vector<net::Address> sameDomain;
  std::vector<net::Address> otherDomain;
  auto unreached = mSeeds;
  for (const auto& it : mList.mMembers) {
    const auto& identity = it.mMember.mIdentity;
    if (it.mMember.mState == MemberState::Dead) {
      unreached.push_back(identity.mControl);
      continue;
    }
    std::erase(unreached, identity.mControl);
    const auto isSameDomain =
      identity.mFailureDomain == mList.mSelf.mFailureDomain;
    (isSameDomain ? sameDomain : otherDomain).push_back(identity.mControl);
  }
  std::vector<net::Address> out;
  const auto append = [&](const std::vector<net::Address>& aFrom,
                          std::size_t aMax,
                          std::size_t& aNext) {
    for (std::size_t i = 0; i < std::min(aMax, aFrom.size()); ++i) {
      out.push_back(aFrom[aNext++ % aFrom.size()]);
    }
  };
  // One heartbeat per interval goes to another failure domain or to an address
  // from which nothing is heard, so that the end of a network partition is
  // noticed.
  const auto fanout = std::max<std::size_t>(mOptions.mFanout, 2);
  append(sameDomain, fanout - 1, mNextSameDomain);
  const auto includesUnreached =
    mList.mMembers.empty() || mSelf.mHeartbeat % 3 == 0;
  if (includesUnreached && !unreached.empty()) {
    append(unreached, fanout - out.size(), mNextUnreached);
  }
  append(otherDomain, fanout - std::min(fanout, out.size()), mNextOtherDomain);
  return out;
}

auto Membership::SendHeartbeats() -> void
{
  ++mSelf.mHeartbeat;
  const auto now = base::MonotonicClock::now();
  const auto bytes = net::Encode(MakeHeartbeat(mList, mSelf, mOptions, now));
  for (const auto& it : ChooseTargets()) {
    mSend(it, bytes);
  }
}

auto Membership::Publish() -> void
{
  auto view = std::make_shared<MemberView>();
  view->mMembers.push_back(mSelf);
  for (const auto& it : mList.mMembers) {
    view->mMembers.push_back(it.mMember);
  }
  for (const auto& it : mList.mLeavingWorkers) {
    view->mLeavingWorkers.push_back(it.mWorker);
  }
  mView.Publish(std::move(view));
}

auto Membership::Run() -> net::Task<void>
{
  while (true) {
    SendHeartbeats();
    DetectFailures(mList, mOptions, base::MonotonicClock::now());
    Publish();
    co_await net::Sleep(mOptions.mHeartbeatInterval);
  }
}

} // namespace eelgrasspost::membership
