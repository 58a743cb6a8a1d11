#include <optional>
#include <set>
#include <string>

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
      mWatch.Run(
        [this](const StoreRow& aRow) { mKeys.insert(aRow.mKey); },
        [this](const std::string& aKey, std::uint64_t) { mKeys.erase(aKey); },
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

// Guards against a claim that counts as confirmed by a page that does not
// contain its row.
BOOST_AUTO_TEST_CASE(watch_of_several_pages_is_confirmed_as_of_the_first)
{
  constexpr auto kPageTime = Milliseconds(200);
  StoreTransaction transaction;
  for (auto i = 0; i < 501; ++i) {
    transaction.mWrites.push_back({ { "members", std::to_string(i) }, "" });
  }
  Wait(mStore.Commit(std::move(transaction), {}));
  mStore.mReadDelays = { kPageTime, kPageTime };
  const auto startedAt = eelgrasspost::base::BootNow();
  Run();
  std::optional<eelgrasspost::base::BootTime> confirmedAt;
  BOOST_REQUIRE(Until([&] {
    if (mWatch.IsLoaded() && !confirmedAt) {
      confirmedAt = mWatch.ConfirmedAt();
    }
    return confirmedAt.has_value();
  }));
  BOOST_TEST((*confirmedAt - startedAt < kPageTime));
}

BOOST_AUTO_TEST_SUITE_END()
