/**
 * Embeds two cluster members in one process: they discover each other, apply a
 * release note, and one of them takes ownership of the only worker. Exits with
 * 0 if all of this happens in time.
 */

#include <future>
#include <iostream>

#include <eelgrasspost/membership/membershipmodule.h>
#include <eelgrasspost/net/datagram.h>
#include <eelgrasspost/ownership/ownershipmodule.h>
#include <eelgrasspost/releasenote/releasenotemodule.h>

#include "memoryplatform.h"

namespace {

using namespace eelgrasspost;

/** The platform services that both members share. */
struct Platform
{
  embedding::MemoryTable mTable;
  embedding::MemoryObjects mObjects;
  embedding::FixedVmList mVms;
  embedding::FencingWorker mWorker;
};

/** One cluster member: membership, release notes and worker ownership. */
struct Node
{
  Node(net::IoPool& aPool, Platform& aPlatform, const std::string& aId)
    : mPool(aPool)
    , mMessageClient(1, "")
    , mMessageServer(aPool)
    , mDatagrams(aPool)
  {
    membership::MemberIdentity self;
    self.mId = aId;
    self.mIncarnation = 1;
    self.mFailureDomain = "domain-1";
    self.mControl = mMessageServer.Listen({ "127.0.0.1", 0 }).value();
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
                                             mMessageClient,
                                             mMetrics },
                                           {});
    releasenote::RegisterPullHandler(
      mMessageServer, aPool.Executor(0), *mNotes);
    mOwnership = ownership::MakeOwnership({ aPlatform.mVms,
                                            aPlatform.mWorker,
                                            aPlatform.mTable,
                                            *mMembership,
                                            mMessageClient,
                                            mMetrics,
                                            aPool.Executor(0) },
                                          {});
    ownership::RegisterHandOverHandler(mMessageServer, *mOwnership);
  }

  auto Start() -> void
  {
    mPool.Spawn(mPool.Executor(0), mMembership->Run());
    mPool.Spawn(mPool.Executor(0), mNotes->Run());
    mPool.Spawn(mPool.Executor(0), mOwnership->Run());
  }

  net::IoPool& mPool;
  base::Metrics mMetrics;
  net::MessageClient mMessageClient;
  net::MessageServer mMessageServer;
  net::DatagramSocket mDatagrams;
  std::unique_ptr<membership::IMembership> mMembership;
  std::unique_ptr<releasenote::IReleaseNotes> mNotes;
  std::unique_ptr<ownership::IOwnership> mOwnership;
};

constexpr auto kTimeout = std::chrono::seconds(15);
constexpr auto kNote = R"({"base": 0, "services": {"add": [{"name": "quotes",
  "endpoints": [{"worker": "worker-1", "address": "127.0.0.1:9000"}]}]}})";

/** Polls a condition; returns whether it held before the timeout. */
template<typename Condition>
auto WaitUntil(Condition aCondition) -> net::Task<bool>
{
  const auto end = base::MonotonicClock::now() + kTimeout;
  while (!aCondition()) {
    if (base::MonotonicClock::now() >= end) {
      co_return false;
    }
    co_await net::Sleep(std::chrono::milliseconds(20));
  }
  co_return true;
}

auto PrintCheck(std::string_view aWhat, bool aPassed) -> bool
{
  std::cout << (aPassed ? "ok      " : "FAILED  ") << aWhat << "\n";
  return aPassed;
}

auto RunExample(Node& aFirst, Node& aSecond) -> net::Task<bool>
{
  const auto areConnected = co_await WaitUntil([&] {
    return aFirst.mMembership->View()->Find("second") != nullptr &&
           aSecond.mMembership->View()->Find("first") != nullptr;
  });
  auto isOk =
    PrintCheck("the members have discovered each other", areConnected);
  const auto revision = co_await aFirst.mNotes->Submit(
    kNote, "example", base::MonotonicClock::now() + kTimeout);
  isOk = PrintCheck("the release note is accepted", revision.ok()) && isOk;
  const auto isApplied = co_await WaitUntil([&] {
    const auto state = aSecond.mNotes->CurrentState();
    return state && state->FindService("quotes") != nullptr;
  });
  isOk =
    PrintCheck("the other member has applied the release note", isApplied) &&
    isOk;
  const auto holdsWorker = [](Node& aNode) {
    const auto lease = aNode.mOwnership->View()->FindLease("worker-1");
    return lease && ownership::IsUsable(*lease, base::MonotonicClock::now());
  };
  const auto hasOneOwner = co_await WaitUntil(
    [&] { return holdsWorker(aFirst) != holdsWorker(aSecond); });
  isOk = PrintCheck("exactly one member owns the worker", hasOneOwner) && isOk;
  co_return isOk;
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
  auto example = [&]() -> net::Task<void> {
    result.set_value(co_await RunExample(first, second));
  };
  pool.Spawn(pool.Executor(0), example());
  pool.Start();
  const auto isOk = result.get_future().get();
  pool.Stop();
  return isOk ? 0 : 1;
}
