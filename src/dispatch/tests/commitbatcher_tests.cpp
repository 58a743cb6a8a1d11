#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/text.h"
#include "fakestore.h"
#include "internal/commitbatcher.h"
#include "poolfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::FakeFault;
using dispatch::testing::FakeStore;
using dispatch::testing::PoolFixture;

/** A slow store, and callers that submit while a transaction is in flight. */
struct SlowStoreFixture : PoolFixture
{
  FakeStore mStore;
  std::size_t mCalls = 0;
  std::size_t mInFlight = 0;
  std::size_t mMaxInFlight = 0;
  CommitBatcher mCommits{ [this](
                            StoreTransaction aTransaction,
                            MonotonicTime aDeadline) -> net::Task<StoreReply> {
    ++mCalls;
    mMaxInFlight = std::max(mMaxInFlight, ++mInFlight);
    co_await net::Sleep(Milliseconds(40));
    auto reply = co_await mStore.Commit(std::move(aTransaction), aDeadline);
    --mInFlight;
    co_return reply;
  } };
  std::map<std::string, StoreReply> mReplies;

  ~SlowStoreFixture() { StopPool(); }

  /** Creates a row unless it exists. */
  auto Create(const std::string& aKey, Milliseconds aTimeout) -> void
  {
    auto run = [](SlowStoreFixture& aThis,
                  std::string aName,
                  Milliseconds aDuration) -> net::Task<void> {
      StoreTransaction transaction;
      transaction.mPartition = "p";
      transaction.mExpected = { { { "fences", "cell" }, 0 },
                                { { "ids", aName }, 0 } };
      transaction.mWrites = { { { "ids", aName }, "value" } };
      aThis.mReplies[aName] = co_await aThis.mCommits.Commit(
        std::move(transaction), base::MonotonicClock::now() + aDuration);
    };
    mPool.Spawn(mPool.Executor(0), run(*this, aKey, aTimeout));
  }

  auto OutcomeOf(const std::string& aKey) -> StoreOutcome
  {
    BOOST_REQUIRE(Until([&] { return mReplies.contains(aKey); }));
    return mReplies.at(aKey).mOutcome;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(burst_of_submissions_at_a_slow_store, SlowStoreFixture)

BOOST_AUTO_TEST_CASE(submissions_during_a_transaction_share_the_next_one)
{
  for (auto i = 0; i < 12; ++i) {
    Create(base::Cat("job", i), Milliseconds(2000));
  }
  for (auto i = 0; i < 12; ++i) {
    BOOST_TEST((OutcomeOf(base::Cat("job", i)) == StoreOutcome::Done));
  }
  BOOST_TEST(mCalls <= 3U);
  BOOST_TEST(mMaxInFlight == 1U);
}

BOOST_AUTO_TEST_CASE(submission_that_conflicts_fails_alone)
{
  mStore.mRows[{ "ids", "p", "job1" }] = { "ids", "p", "job1", "old", 7 };
  for (auto i = 0; i < 5; ++i) {
    Create(base::Cat("job", i), Milliseconds(2000));
  }
  for (auto i = 0; i < 5; ++i) {
    const auto expected = i == 1 ? StoreOutcome::Conflict : StoreOutcome::Done;
    BOOST_TEST((OutcomeOf(base::Cat("job", i)) == expected));
  }
}

// Guards against submissions that fail because another one, which the store
// never accepts, was sent in the same transaction.
BOOST_AUTO_TEST_CASE(submission_that_breaks_a_limit_of_the_store_fails_alone)
{
  const std::string longKey(FakeStore::kMaxKeyBytes + 1, 'k');
  Create("first", Milliseconds(2000));
  for (const auto& it : { std::string("a"), longKey, std::string("b") }) {
    Create(it, Milliseconds(2000));
  }
  BOOST_TEST((OutcomeOf(longKey) == StoreOutcome::Rejected));
  for (const auto* it : { "first", "a", "b" }) {
    BOOST_TEST((OutcomeOf(it) == StoreOutcome::Done));
  }
}

BOOST_AUTO_TEST_CASE(same_row_twice_is_written_once)
{
  Create("first", Milliseconds(2000));
  Create("same", Milliseconds(2000));
  BOOST_TEST((OutcomeOf("same") == StoreOutcome::Done));
  mReplies.clear();
  Create("same", Milliseconds(2000));
  BOOST_TEST((OutcomeOf("same") == StoreOutcome::Conflict));
}

BOOST_AUTO_TEST_CASE(submission_that_waits_past_its_deadline_is_not_sent)
{
  Create("first", Milliseconds(2000));
  Create("late", Milliseconds(10));
  BOOST_TEST((OutcomeOf("late") == StoreOutcome::Refused));
  BOOST_TEST((OutcomeOf("first") == StoreOutcome::Done));
  BOOST_TEST(mStore.Find("ids", "p", "late") == nullptr);
}

BOOST_AUTO_TEST_CASE(
  submission_expected_to_miss_its_deadline_is_refused_at_once)
{
  for (const auto* it : { "one", "two", "three", "four", "five" }) {
    Create(it, Milliseconds(2000));
    BOOST_REQUIRE((OutcomeOf(it) == StoreOutcome::Done));
  }
  Create("first", Milliseconds(2000));
  BOOST_REQUIRE(Until([&] { return mInFlight == 1; }));
  Create("late", Milliseconds(45));
  BOOST_TEST((OutcomeOf("late") == StoreOutcome::Refused));
  BOOST_TEST(mReplies.count("first") == 0U);
  BOOST_TEST((OutcomeOf("first") == StoreOutcome::Done));
}

BOOST_AUTO_TEST_CASE(lost_reply_leaves_the_outcome_of_the_whole_batch_unknown)
{
  Until([&] {
    mStore.mFaults = { FakeFault::None, FakeFault::LoseReply };
    return true;
  });
  for (const auto* it : { "first", "a", "b" }) {
    Create(it, Milliseconds(2000));
  }
  BOOST_TEST((OutcomeOf("first") == StoreOutcome::Done));
  BOOST_TEST((OutcomeOf("a") == StoreOutcome::Unknown));
  BOOST_TEST((OutcomeOf("b") == StoreOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
