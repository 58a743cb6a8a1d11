#include <future>
#include <iostream>

#include <eelgrasspost/membership/membershipmodule.h>
#include <eelgrasspost/net/datagram.h>
#include <eelgrasspost/ownership/ownershipmodule.h>
#include <eelgrasspost/releasenote/releasenotemodule.h>

#include "memoryplatform.h"

namespace {

using namespace eelgrasspost;

/** The platform that both members use. */
struct Platform
{
  embedding::MemoryTable mTable;
  embedding::MemoryObjects mObjects;
  embedding::FixedVmList mVms;
  embedding::FencingWorker mWorker;
};

/** One member: heartbeats, leases on workers and release notes. */
struct Node
{
  Node(net::IoPool& aPool, Platform& aPlatform, const std::string& aId)
    : mPool(aPool)
    , mMessages(1, "")
    , mServer(aPool)
    , mDatagrams(aPool)
  {
    membership::MemberIdentity self;
    self.mId = aId;
    self.mIncarnation = 1;
    self.mFailureDomain = "domain-1";
    self.mControl = mServer.Listen({ "127.0.0.1", 0 }).value();
    mMembership = membership::MakeMembership(
      self, {}, [this](const net::Address& aTo, std::string_view aBytes) {
        mDatagrams.Send(aTo, aBytes);
      });
    mDatagrams
      .Bind(self.mControl,
            [this](std::string_view aBytes) { mMembership->Receive(aBytes); })
      .value();
    mNotes = releasenote::MakeReleaseNotes({ aPlatform.mTable,
                                             aPlatform.mObjects,
                                             *mMembership,
                                             mMessages,
                                             mMetrics },
                                           {});
    releasenote::RegisterPullHandler(mServer, aPool.Executor(0), *mNotes);
    mOwnership = ownership::MakeOwnership({ aPlatform.mVms,
                                            aPlatform.mWorker,
                                            aPlatform.mTable,
                                            *mMembership,
                                            mMessages,
                                            mMetrics,
                                            aPool.Executor(0) },
                                          {});
    ownership::RegisterHandOverHandler(mServer, *mOwnership);
  }

  auto Start() -> void
  {
    mPool.Spawn(mPool.Executor(0), mMembership->Run());
    mPool.Spawn(mPool.Executor(0), mNotes->Run());
    mPool.Spawn(mPool.Executor(0), mOwnership->Run());
  }

  net::IoPool& mPool;
  base::Metrics mMetrics;
  net::MessageClient mMessages;
  net::MessageServer mServer;
  net::DatagramSocket mDatagrams;
  std::unique_ptr<membership::IMembership> mMembership;
  std::unique_ptr<releasenote::IReleaseNotes> mNotes;
  std::unique_ptr<ownership::IOwnership> mOwnership;
};

constexpr auto kStepTimeout = std::chrono::seconds(15);
constexpr auto kNote = R"({"base": 0, "services": {"add": [{"name": "quotes",
  "endpoints": [{"worker": "worker-1", "address": "127.0.0.1:9000"}]}]}})";

/** Waits until a condition holds; false after the timeout. */
template<typename Condition>
auto Until(Condition aCondition) -> net::Task<bool>
{
  const auto end = base::MonotonicClock::now() + kStepTimeout;
  while (!aCondition()) {
    if (base::MonotonicClock::now() >= end) {
      co_return false;
    }
    co_await net::Sleep(std::chrono::milliseconds(20));
  }
  co_return true;
}

auto Show(std::string_view aWhat, bool aIsTrue) -> bool
{
  std::cout << (aIsTrue ? "yes  " : "NO   ") << aWhat << "\n";
  return aIsTrue;
}

auto Play(Node& aFirst, Node& aSecond) -> net::Task<bool>
{
  const auto haveMet = co_await Until([&] {
    return aFirst.mMembership->View()->Find("second") != nullptr &&
           aSecond.mMembership->View()->Find("first") != nullptr;
  });
  auto isGood = Show("the members know each other", haveMet);
  const auto revision = co_await aFirst.mNotes->Submit(
    kNote, "example", base::MonotonicClock::now() + kStepTimeout);
  isGood = Show("the note is accepted", revision.ok()) && isGood;
  const auto inForce = co_await Until([&] {
    const auto state = aSecond.mNotes->CurrentState();
    return state && state->FindService("quotes") != nullptr;
  });
  isGood = Show("the other member has the note in force", inForce) && isGood;
  const auto held = [](Node& aNode) {
    const auto lease = aNode.mOwnership->View()->FindLease("worker-1");
    return lease && ownership::IsUsable(*lease, base::MonotonicClock::now());
  };
  const auto isOwned =
    co_await Until([&] { return held(aFirst) != held(aSecond); });
  isGood = Show("one member holds the worker", isOwned) && isGood;
  co_return isGood;
}

} // namespace

auto main() -> int
{
  Platform platform;
  platform::VmRecord worker;
  worker.mId = "worker-1";
  worker.mFailureDomain = "domain-1";
  worker.mControl = { "127.0.0.1", 9000 };
  worker.mSlots = 8;
  platform.mVms.mVms.push_back(worker);

  net::IoPool pool(1);
  Node first(pool, platform, "first");
  Node second(pool, platform, "second");
  first.mMembership->AddSeeds({ second.mMembership->Self().mControl });
  second.mMembership->AddSeeds({ first.mMembership->Self().mControl });
  first.Start();
  second.Start();
  std::promise<bool> result;
  auto play = [&]() -> net::Task<void> {
    result.set_value(co_await Play(first, second));
  };
  pool.Spawn(pool.Executor(0), play());
  pool.Start();
  const auto isGood = result.get_future().get();
  pool.Stop();
  return isGood ? 0 : 1;
}
