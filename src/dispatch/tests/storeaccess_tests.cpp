#include <boost/test/unit_test.hpp>

#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/datagram.h"
#include "fakestore.h"
#include "internal/peers.h"
#include "internal/storeaccess.h"
#include "poolfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeStore;
using dispatch::testing::PoolFixture;

/** A store behind a network partition: no call gets a reply before its
 * deadline. */
class UnreachableStore final : public ISharedStore
{
public:
  auto Commit(StoreTransaction, MonotonicTime aDeadline)
    -> net::Task<StoreReply> override
  {
    return Wait(aDeadline);
  }
  auto ReadRange(RangeQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> override
  {
    return Wait(aDeadline);
  }
  auto ReadFeed(FeedQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> override
  {
    return Wait(aDeadline);
  }

private:
  static auto Wait(MonotonicTime aDeadline) -> net::Task<StoreReply>
  {
    co_await net::Sleep(
      std::max(Milliseconds(0), Milliseconds(base::RemainingMs(aDeadline))));
    co_return StoreReply{};
  }
};

/** A store of which only the connection of the feed has gone silent. */
class SilentFeedStore final : public ISharedStore
{
public:
  auto Commit(StoreTransaction aTransaction, MonotonicTime aDeadline)
    -> net::Task<StoreReply> override
  {
    return mStore.Commit(std::move(aTransaction), aDeadline);
  }
  auto ReadRange(RangeQuery aQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> override
  {
    return mStore.ReadRange(std::move(aQuery), aDeadline);
  }
  auto ReadFeed(FeedQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> override
  {
    co_await net::Sleep(
      std::max(Milliseconds(0), Milliseconds(base::RemainingMs(aDeadline))));
    co_return StoreReply{};
  }

private:
  FakeStore mStore;
};

/** An entry that reaches the store, and a peer that reaches it as well. */
struct LimitFixture : PoolFixture
{
  FakeStore mStore;
  base::Metrics mMetrics;
  base::EventLog mLog{ "entry" };
  net::MessageServer mServer{ mPool };
  net::MessageClient mMessages{ 1, "127.0.0.1" };
  Peers mPeers{ mPool, "entry", "a", mMetrics, mLog };
  net::DatagramSocket mPeerSocket{ mPool };
  StoreAccess mAccess{ mStore, mMessages, mPeers, mMetrics, mLog };
  std::atomic<int> mRelayed{ 0 };

  LimitFixture()
  {
    net::RegisterTypedHandler<StoreRelay, StoreReply>(
      mServer, net::MessageKind::StoreRelay, [this](const StoreRelay& aRelay) {
        ++mRelayed;
        return mStore.Commit(aRelay.mTransaction, {});
      });
    Heartbeat heartbeat;
    heartbeat.mName = "peer";
    heartbeat.mIncarnation = 1;
    heartbeat.mReachesStore = true;
    heartbeat.mPeers = mServer.Listen({ "127.0.0.1", 0 }).value();
    const auto address =
      mPeers.Bind({ "127.0.0.1", 0 }, [](const Heartbeat&) {}).value();
    mPeerSocket.Bind({ "127.0.0.1", 0 }, [](std::string_view) {}).value();
    BOOST_REQUIRE(Until([&, bytes = net::Encode(heartbeat)] {
      mPeerSocket.Send(address, bytes);
      const auto* peer = mPeers.Find("peer");
      return peer && mPeers.IsAlive(*peer, base::MonotonicClock::now());
    }));
  }
  ~LimitFixture() { StopPool(); }

  auto WriteRow(std::size_t aBytes) -> StoreOutcome
  {
    StoreTransaction transaction;
    transaction.mPartition = "p";
    transaction.mWrites = { { { "t", "k" }, std::string(aBytes, 'v') } };
    return Wait(
             mAccess.Commit(std::move(transaction),
                            base::MonotonicClock::now() + Milliseconds(1000)))
      .mOutcome;
  }
};

struct SilentFeedFixture : PoolFixture
{
  SilentFeedStore mStore;
  base::Metrics mMetrics;
  base::EventLog mLog{ "entry" };
  net::MessageClient mMessages{ 1, "127.0.0.1" };
  Peers mPeers{ mPool, "entry", "a", mMetrics, mLog };
  StoreAccess mAccess{ mStore, mMessages, mPeers, mMetrics, mLog };

  ~SilentFeedFixture() { StopPool(); }
};

struct PartitionedEntryFixture : PoolFixture
{
  UnreachableStore mUnreachableStore;
  FakeStore mReachableStore;
  base::Metrics mMetrics;
  base::EventLog mLog{ "cut-off" };
  net::MessageServer mServer{ mPool };
  net::MessageClient mMessages{ 1, "127.0.0.1" };
  Peers mPeers{ mPool, "cut-off", "a", mMetrics, mLog };
  net::DatagramSocket mPeerSocket{ mPool };
  StoreAccess mAccess{ mUnreachableStore, mMessages, mPeers, mMetrics, mLog };

  PartitionedEntryFixture()
  {
    net::RegisterTypedHandler<StoreRelay, StoreReply>(
      mServer, net::MessageKind::StoreRelay, [this](const StoreRelay& aRelay) {
        return mReachableStore.ReadFeed(aRelay.mFeed, {});
      });
    Heartbeat heartbeat;
    heartbeat.mName = "peer";
    heartbeat.mIncarnation = 1;
    heartbeat.mReachesStore = true;
    heartbeat.mPeers = mServer.Listen({ "127.0.0.1", 0 }).value();
    const auto address =
      mPeers.Bind({ "127.0.0.1", 0 }, [](const Heartbeat&) {}).value();
    mPeerSocket.Bind({ "127.0.0.1", 0 }, [](std::string_view) {}).value();
    BOOST_REQUIRE(Until([&, bytes = net::Encode(heartbeat)] {
      mPeerSocket.Send(address, bytes);
      const auto* peer = mPeers.Find("peer");
      return peer && mPeers.IsAlive(*peer, base::MonotonicClock::now());
    }));
  }
  ~PartitionedEntryFixture() { StopPool(); }

  auto Read() -> StoreReply
  {
    return Wait(
      mAccess.ReadFeed({}, base::MonotonicClock::now() + Milliseconds(120)));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_partitioned_from_the_store,
                         PartitionedEntryFixture)

BOOST_AUTO_TEST_CASE(feed_goes_through_a_peer_while_the_store_is_probed)
{
  while (mAccess.IsDirectlyReachable()) {
    BOOST_TEST((Read().mOutcome == StoreOutcome::Unknown));
  }
  // Longer than the interval between two probes.
  for (auto i = 0; i < 30; ++i) {
    BOOST_TEST((Read().mOutcome == StoreOutcome::Done));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(feed_connections_gone_silent, SilentFeedFixture)

// Feeds whose connections had gone silent made the store count as unreachable,
// so that submissions were refused.
BOOST_AUTO_TEST_CASE(store_that_answers_other_calls_stays_reachable)
{
  for (auto i = 0; i < 4; ++i) {
    const auto reply = Wait(
      mAccess.ReadFeed({}, base::MonotonicClock::now() + Milliseconds(50)));
    BOOST_TEST((reply.mOutcome == StoreOutcome::Unknown));
  }
  Wait(net::Sleep(Milliseconds(50)), true);

  BOOST_TEST(mAccess.IsDirectlyReachable());
}

// Feeds that failed at the same time made the store count as unreachable.
BOOST_AUTO_TEST_CASE(store_stays_reachable_when_feeds_fail_together)
{
  auto read = [](StoreAccess& aAccess,
                 std::atomic<int>& aDone) -> net::Task<void> {
    const FeedQuery query;
    const auto deadline = base::MonotonicClock::now() + Milliseconds(50);
    co_await aAccess.ReadFeed(query, deadline);
    ++aDone;
  };
  std::atomic<int> done{ 0 };
  for (auto i = 0; i < 3; ++i) {
    mPool.Spawn(mPool.Executor(0), read(mAccess, done));
  }
  BOOST_TEST(Until([&] { return done == 3; }));
  Wait(net::Sleep(Milliseconds(50)), true);

  BOOST_TEST(mAccess.IsDirectlyReachable());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(rows_over_the_limit_of_the_store, LimitFixture)

// Guards against an entry that turns away from a store which responds, as it
// sends rows that the store never accepts.
BOOST_AUTO_TEST_CASE(store_that_rejects_a_row_stays_reachable)
{
  for (auto i = 0; i < 4; ++i) {
    BOOST_TEST(
      (WriteRow(FakeStore::kMaxRowBytes + 1) == StoreOutcome::Rejected));
  }
  BOOST_TEST(mAccess.IsDirectlyReachable());
  BOOST_TEST(mRelayed == 0);
  BOOST_TEST((WriteRow(FakeStore::kMaxRowBytes) == StoreOutcome::Done));
}

BOOST_AUTO_TEST_SUITE_END()
