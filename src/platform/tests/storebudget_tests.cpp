#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include "eelgrasspost/platform/storebudget.h"

namespace {

using namespace eelgrasspost::platform;
namespace base = eelgrasspost::base;

struct ClassifyCase
{
  std::string_view mName;
  std::vector<TableWrite> mWrites;
  std::vector<FoundRow> mRows;
  CommitOutcome mExpected;
};

const auto kStart = base::MonotonicTime(std::chrono::hours(1));

} // namespace

BOOST_AUTO_TEST_SUITE(storebudget)

BOOST_AUTO_TEST_CASE(flood_of_claims_does_not_take_share_of_renewals)
{
  auto buckets = MakeTableUseBuckets(100, kStart);
  const auto step = base::Milliseconds(10);
  int claims = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto now = kStart + i * step;
    for (int n = 0; n < 50; ++n) {
      if (TokenDelay(buckets, TableUse::IdempotencyKey, now).count() == 0) {
        TakeToken(buckets, TableUse::IdempotencyKey, now);
        ++claims;
      }
    }
    if (i % 10 == 0) {
      BOOST_TEST(TakeToken(buckets, TableUse::Ownership, now).count() == 0);
    }
  }
  // Ten seconds at 100 calls a second, of which renewals used 100, and a burst
  // of one second's share of each use.
  BOOST_TEST(claims <= 1000);
  BOOST_TEST(claims >= 700);
}

BOOST_AUTO_TEST_CASE(token_taken_on_credit_returns_delay_until_available)
{
  auto buckets = MakeTableUseBuckets(10, kStart);
  while (TokenDelay(buckets, TableUse::Batch, kStart).count() == 0) {
    TakeToken(buckets, TableUse::Batch, kStart);
  }
  const auto wait = TakeToken(buckets, TableUse::Batch, kStart);
  BOOST_TEST(wait.count() == 500'000);
  BOOST_TEST(TakeToken(buckets, TableUse::Batch, kStart).count() == 1'000'000);
}

BOOST_AUTO_TEST_CASE(retries_without_successes_end_with_budget)
{
  RetryBudget budget;
  int retries = 0;
  while (TakeRetry(budget)) {
    ++retries;
  }
  BOOST_TEST(retries == 10);
  for (int i = 0; i < 11; ++i) {
    OnSuccess(budget);
  }
  BOOST_TEST(TakeRetry(budget));
  BOOST_TEST(!TakeRetry(budget));
}

BOOST_AUTO_TEST_CASE(backoff_doubles_with_jitter_up_to_limit)
{
  std::minstd_rand random(7);
  const Backoff backoff;
  for (int retry = 0; retry < 40; ++retry) {
    const auto step = std::min<std::int64_t>(1000, 20LL << std::min(retry, 10));
    const auto time = BackoffDelay(backoff, retry, random).count();
    BOOST_TEST(time >= step / 2);
    BOOST_TEST(time <= step);
  }
}

BOOST_AUTO_TEST_CASE(commit_classified_by_its_rows_is_unknown_when_ambiguous)
{
  const auto write = TableWrite{ "a", "mine", 3 };
  const auto other = TableWrite{ "b", "mine", kAbsent };
  const auto row = [](std::string aValue, std::uint64_t aVersion) {
    return FoundRow(TableRow{ "a", std::move(aValue), aVersion });
  };
  const std::vector<ClassifyCase> cases = {
    { "applied", { write }, { row("mine", 4) }, CommitOutcome::Applied },
    { "not applied", { write }, { row("old", 3) }, CommitOutcome::NotApplied },
    { "conflict", { write }, { row("theirs", 4) }, CommitOutcome::Conflict },
    { "later version", { write }, { row("x", 5) }, CommitOutcome::Unknown },
    { "deleted", { write }, { std::nullopt }, CommitOutcome::Unknown },
    { "both",
      { write, other },
      { row("mine", 4), row("mine", 1) },
      CommitOutcome::Applied },
    { "read during commit",
      { write, other },
      { row("old", 3), row("mine", 1) },
      CommitOutcome::Unknown },
    { "one conflict",
      { write, other },
      { row("old", 3), row("theirs", 1) },
      CommitOutcome::Conflict },
    { "absent", { other }, { std::nullopt }, CommitOutcome::NotApplied },
    { "unconditional",
      { { "a", "mine", std::nullopt } },
      { row("mine", 4) },
      CommitOutcome::Unknown },
    { "deletion",
      { { "a", std::nullopt, 3 } },
      { std::nullopt },
      CommitOutcome::Unknown },
  };
  for (const auto& it : cases) {
    BOOST_TEST_INFO(it.mName);
    BOOST_TEST((ClassifyCommit(it.mWrites, it.mRows) == it.mExpected));
  }
}

BOOST_AUTO_TEST_SUITE_END()
