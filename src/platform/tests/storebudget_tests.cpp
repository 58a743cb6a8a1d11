#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include "eelgrasspost/platform/storebudget.h"

namespace {

using namespace eelgrasspost::platform;
namespace base = eelgrasspost::base;

struct JudgeCase
{
  std::string_view mName;
  std::vector<TableWrite> mWrites;
  std::vector<FoundRow> mRows;
  CommitVerdict mExpected;
};

const auto kStart = base::MonotonicTime(std::chrono::hours(1));

} // namespace

BOOST_AUTO_TEST_SUITE(storebudget)

BOOST_AUTO_TEST_CASE(flood_of_claims_leaves_the_share_of_renewals)
{
  auto buckets = MakeUseBuckets(100, kStart);
  const auto step = base::Milliseconds(10);
  int claims = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto now = kStart + i * step;
    for (int n = 0; n < 50; ++n) {
      if (WaitForToken(buckets, TableUse::IdempotencyKey, now).count() == 0) {
        TakeToken(buckets, TableUse::IdempotencyKey, now);
        ++claims;
      }
    }
    if (i % 10 == 0) {
      BOOST_TEST(TakeToken(buckets, TableUse::Ownership, now).count() == 0);
    }
  }
  // Ten seconds at 100 a second, of which renewals used 100; a burst of each
  // use's own second comes on top.
  BOOST_TEST(claims <= 1000);
  BOOST_TEST(claims >= 700);
}

BOOST_AUTO_TEST_CASE(token_that_is_owed_gives_the_wait_until_it_is_there)
{
  auto buckets = MakeUseBuckets(10, kStart);
  while (WaitForToken(buckets, TableUse::Batch, kStart).count() == 0) {
    TakeToken(buckets, TableUse::Batch, kStart);
  }
  const auto wait = TakeToken(buckets, TableUse::Batch, kStart);
  BOOST_TEST(wait.count() == 500'000);
  BOOST_TEST(TakeToken(buckets, TableUse::Batch, kStart).count() == 1'000'000);
}

BOOST_AUTO_TEST_CASE(retries_without_successes_end_with_the_budget)
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

BOOST_AUTO_TEST_CASE(backoff_doubles_with_jitter_up_to_its_limit)
{
  std::minstd_rand random(7);
  const Backoff backoff;
  for (int retry = 0; retry < 40; ++retry) {
    const auto step = std::min<std::int64_t>(1000, 20LL << std::min(retry, 10));
    const auto time = BackoffTime(backoff, retry, random).count();
    BOOST_TEST(time >= step / 2);
    BOOST_TEST(time <= step);
  }
}

BOOST_AUTO_TEST_CASE(commit_judged_by_its_rows_is_never_guessed)
{
  const auto write = TableWrite{ "a", "mine", 3 };
  const auto other = TableWrite{ "b", "mine", kAbsent };
  const auto row = [](std::string aValue, std::uint64_t aVersion) {
    return FoundRow(TableRow{ "a", std::move(aValue), aVersion });
  };
  const std::vector<JudgeCase> cases = {
    { "applied", { write }, { row("mine", 4) }, CommitVerdict::Applied },
    { "not yet", { write }, { row("old", 3) }, CommitVerdict::NotYet },
    { "lost", { write }, { row("theirs", 4) }, CommitVerdict::Lost },
    { "moved on", { write }, { row("x", 5) }, CommitVerdict::Unknown },
    { "deleted", { write }, { std::nullopt }, CommitVerdict::Unknown },
    { "both",
      { write, other },
      { row("mine", 4), row("mine", 1) },
      CommitVerdict::Applied },
    { "half read",
      { write, other },
      { row("old", 3), row("mine", 1) },
      CommitVerdict::Unknown },
    { "one lost",
      { write, other },
      { row("old", 3), row("theirs", 1) },
      CommitVerdict::Lost },
    { "absent", { other }, { std::nullopt }, CommitVerdict::NotYet },
    { "unconditional",
      { { "a", "mine", std::nullopt } },
      { row("mine", 4) },
      CommitVerdict::Unknown },
    { "deletion",
      { { "a", std::nullopt, 3 } },
      { std::nullopt },
      CommitVerdict::Unknown },
  };
  for (const auto& it : cases) {
    BOOST_TEST_INFO(it.mName);
    BOOST_TEST((JudgeCommit(it.mWrites, it.mRows) == it.mExpected));
  }
}

BOOST_AUTO_TEST_SUITE_END()
