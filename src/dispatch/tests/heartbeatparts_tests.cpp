#include <algorithm>
#include <random>

#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/eventlog.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/codec.h"
#include "internal/heartbeatparts.h"
#include "internal/peers.h"
#include "internal/pendingcounts.h"
#include "poolfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::PoolFixture;

/** The holder of some cells in which jobs of many queues wait. */
struct ManyQueues : PoolFixture
{
  base::Metrics mMetrics;
  base::EventLog mLog{ "entry" };
  std::mt19937_64 mRandom{ 1 };
  Heartbeat mHeartbeat;

  ManyQueues()
  {
    mHeartbeat.mName = "holder";
    mHeartbeat.mIncarnation = 1;
    mHeartbeat.mDomain = "a";
    for (std::uint64_t i = 0; i < 4; ++i) {
      CellStatus status;
      status.mName = base::Cat("a/", i);
      status.mToken = i + 1;
      status.mIsActive = true;
      mHeartbeat.mCells.push_back(status);
    }
  }

  ~ManyQueues() { StopPool(); }

  /** Adds queues with a job in each of the first aCells cells. */
  auto AddQueues(std::size_t aCount, std::uint16_t aCells) -> void
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const auto hash = mRandom();
      for (std::uint16_t cell = 0; cell < aCells; ++cell) {
        mHeartbeat.mPending.push_back({ cell, hash, 1 });
      }
    }
  }

  /** Whether the counts give each queue of the heartbeat its jobs. */
  auto AreComplete(const PendingCounts& aCounts) const -> bool
  {
    std::map<std::uint64_t, std::uint64_t> expected;
    for (const auto& it : mHeartbeat.mPending) {
      expected[it.mQueueHash] += it.mCount;
    }
    return std::all_of(
      expected.begin(), expected.end(), [&](const auto& aItem) {
        return CountPending(aCounts, {}, aItem.first) == aItem.second;
      });
  }

  static auto CountQueues(const PendingCounts& aCounts) -> std::size_t
  {
    std::size_t out = 0;
    for (const auto& [cell, it] : aCounts) {
      out += it.mCounts.size();
    }
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(heartbeat_with_many_queues, ManyQueues)

// Guards against MIXED and cells that change hands: a heartbeat with the counts
// of some hundred queues was longer than what peers read, and was dropped.
BOOST_AUTO_TEST_CASE(peer_is_heard_and_its_counts_are_known)
{
  AddQueues(1400, 4);
  PendingCounts counts;
  Peers sender(mPool, "holder", "a", mMetrics, mLog);
  Peers receiver(mPool, "entry", "a", mMetrics, mLog);
  const auto local = *net::ParseAddress("127.0.0.1:0");
  const auto address = receiver
                         .Bind(local,
                               [&](const Heartbeat& aHeartbeat) {
                                 RecordPending(counts, aHeartbeat);
                               })
                         .value();
  mHeartbeat.mPeers = sender.Bind(local, [](const Heartbeat&) {}).value();
  Wait([&]() -> net::Task<bool> {
    sender.Update({ "entry", 1, "a", address, 1 });
    net::SpawnTask(mPool.Executor(0),
                   sender.Run([this] { return mHeartbeat; }));
    co_return true;
  }());

  BOOST_TEST(Until([&] { return receiver.Find("holder") != nullptr; }));
  BOOST_TEST(Until([&] { return AreComplete(counts); }));
  StopPool();
}

BOOST_AUTO_TEST_CASE(parts_are_short_and_hold_all_counts)
{
  for (const auto n : { 0, 1, 63, 64, 65, 256, 257, 700, 3000 }) {
    mHeartbeat.mPending.clear();
    AddQueues(static_cast<std::size_t>(n), 4);
    const auto parts = SplitHeartbeat(mHeartbeat);
    PendingCounts counts;
    for (const auto& it : parts) {
      // A network may lose or reorder fragments of long ones.
      BOOST_TEST(net::Encode(it).size() < 8U * 1024);
      RecordPending(counts, it);
    }
    BOOST_TEST(AreComplete(counts));
    BOOST_TEST(CountQueues(counts) == mHeartbeat.mPending.size());
  }
}

// Guards against queues that count as waiting for good, and against counts that
// are lost with one of several datagrams.
BOOST_AUTO_TEST_CASE(parts_replace_only_the_counts_of_their_queues)
{
  PendingCounts counts;
  AddQueues(700, 2);
  for (const auto& it : SplitHeartbeat(mHeartbeat)) {
    RecordPending(counts, it);
  }
  const auto before = CountQueues(counts);
  // All parts but the first are lost.
  AddQueues(700, 2);
  RecordPending(counts, SplitHeartbeat(mHeartbeat).front());
  BOOST_TEST(CountQueues(counts) >= before);

  mHeartbeat.mPending.clear();
  AddQueues(10, 2);
  for (const auto& it : SplitHeartbeat(mHeartbeat)) {
    RecordPending(counts, it);
  }
  BOOST_TEST(AreComplete(counts));
  BOOST_TEST(CountQueues(counts) == 20U);
}

BOOST_AUTO_TEST_SUITE_END()
