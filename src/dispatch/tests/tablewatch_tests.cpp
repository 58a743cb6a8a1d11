#include <set>

#include <boost/test/unit_test.hpp>

#include "fakestore.h"
#include "internal/tablewatch.h"
#include "poolfixture.h"

namespace {

using namespace eelgrasspost::dispatch;
using eelgrasspost::dispatch::testing::FakeStore;
using eelgrasspost::dispatch::testing::PoolFixture;

struct WatchFixture : PoolFixture
{
  FakeStore mStore;
  TableWatch mWatch{ mPool,
                     mStore,
                     "members",
                     Milliseconds(20),
                     Milliseconds(0) };
  std::set<std::string> mKeys;

  ~WatchFixture() { StopPool(); }

  auto Write(const std::string& aKey) -> void
  {
    StoreTransaction transaction;
    transaction.mWrites.push_back({ { "members", aKey }, "value" });
    Wait(mStore.Commit(std::move(transaction), {}));
  }

  auto RemoveRow(const std::string& aKey) -> void
  {
    StoreTransaction transaction;
    transaction.mRemovals.push_back({ "members", aKey });
    Wait(mStore.Commit(std::move(transaction), {}));
  }

  auto Run() -> void
  {
    mPool.Spawn(
      mPool.Executor(0),
      mWatch.Run([this](const StoreRow& aRow) { mKeys.insert(aRow.mKey); },
                 [this](const std::string& aKey) { mKeys.erase(aKey); },
                 [] {}));
  }

  auto SetActive(bool aIsActive) -> void
  {
    Until([&] {
      mWatch.SetActive(aIsActive);
      return true;
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tablewatch, WatchFixture)

BOOST_AUTO_TEST_CASE(watch_suspended_from_the_start_reads_nothing)
{
  Write("a");
  SetActive(false);
  Run();
  BOOST_TEST(!Until([&] { return mWatch.IsLoaded() || !mKeys.empty(); }));
}

BOOST_AUTO_TEST_CASE(watch_resumed_sees_what_changed_meanwhile)
{
  Write("a");
  Write("b");
  Run();
  BOOST_REQUIRE(Until([&] { return mKeys.size() == 2; }));
  SetActive(false);
  BOOST_TEST(Until([&] { return !mWatch.IsLoaded(); }));
  RemoveRow("a");
  Write("c");
  SetActive(true);
  BOOST_TEST(Until([&] { return mWatch.IsLoaded(); }));
  BOOST_TEST(Until([&] { return mKeys == std::set<std::string>{ "b", "c" }; }));
}

BOOST_AUTO_TEST_SUITE_END()
