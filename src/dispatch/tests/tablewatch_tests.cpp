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
  TableWatch mWatch;
  std::set<std::string> mKeys;

  explicit WatchFixture(Milliseconds aPause = Milliseconds(0))
    : mWatch(mPool, mStore, "members", Milliseconds(20), aPause)
  {
  }

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

  /** Adds rows, at one version, as many writers would: a call has fewer. */
  auto WriteRows(int aFirst, int aCount) -> void
  {
    StoreTransaction transaction;
    for (auto i = aFirst; i < aFirst + aCount; ++i) {
      transaction.mWrites.push_back({ { "members", std::to_string(i) }, "" });
    }
    Until([&] {
      mStore.Apply(transaction);
      return true;
    });
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

constexpr auto kLongPause = Milliseconds(1000);

struct PausingWatch : WatchFixture
{
  PausingWatch()
    : WatchFixture(kLongPause)
  {
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

// Guards against a list of workers that is never read, as the key after the
// last row of a page is longer than the store takes.
BOOST_AUTO_TEST_CASE(watch_of_several_pages_of_the_longest_keys_reads_all)
{
  constexpr std::size_t kRows = 1100;
  StoreTransaction transaction;
  std::set<std::string> keys;
  for (std::size_t i = 0; i < kRows; ++i) {
    auto key = std::to_string(kRows + i);
    key.resize(FakeStore::kMaxKeyBytes, 'x');
    transaction.mWrites.push_back({ { "members", key }, "" });
    keys.insert(std::move(key));
  }
  Until([&] {
    mStore.Apply(transaction);
    return true;
  });
  Run();
  BOOST_TEST(Until([&] { return mWatch.IsLoaded(); }));
  BOOST_TEST(Until([&] { return mKeys == keys; }));
}

// Guards against a claim that counts as confirmed by a page that does not
// contain its row.
BOOST_AUTO_TEST_CASE(watch_of_several_pages_is_confirmed_as_of_the_first)
{
  constexpr auto kPageTime = Milliseconds(200);
  WriteRows(0, 501);
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

// A reader that paused after each reply fell behind by one pause per page while
// more rows changed than a page holds.
BOOST_FIXTURE_TEST_CASE(watch_behind_by_several_pages_reads_them_without_pause,
                        PausingWatch)
{
  constexpr auto kPageRows = 500;
  constexpr auto kPages = 4;
  Run();
  BOOST_REQUIRE(Until([&] { return mWatch.IsLoaded(); }));
  Until([&] {
    mStore.mFeedLimit = kPageRows;
    return true;
  });
  for (auto i = 0; i < kPages; ++i) {
    WriteRows(i * kPageRows, kPageRows);
  }
  BOOST_REQUIRE(Until([&] { return !mKeys.empty(); }));
  const auto startedAt = eelgrasspost::base::BootNow();
  BOOST_REQUIRE(
    Until([&] { return mKeys.size() == std::size_t(kPages * kPageRows); }));
  BOOST_TEST((eelgrasspost::base::BootNow() - startedAt < kLongPause));
}

BOOST_FIXTURE_TEST_CASE(watch_that_has_caught_up_pauses_before_the_next_call,
                        PausingWatch)
{
  Run();
  BOOST_REQUIRE(Until([&] { return mWatch.IsLoaded(); }));
  WriteRows(0, 1);
  BOOST_REQUIRE(Until([&] { return mKeys.size() == 1; }));
  const auto startedAt = eelgrasspost::base::BootNow();
  WriteRows(1, 1);
  BOOST_REQUIRE(Until([&] { return mKeys.size() == 2; }));
  BOOST_TEST((eelgrasspost::base::BootNow() - startedAt > kLongPause / 2));
}

BOOST_AUTO_TEST_SUITE_END()
