#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

#include "internal/endpointhealth.h"
#include "internal/limiter.h"
#include "internal/retry.h"
#include "internal/spill.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::routing;
using base::Milliseconds;

const auto kNow = base::MonotonicTime(std::chrono::seconds(100));
constexpr std::int64_t kSlots = 8;

/** Feeds a limiter one sample every 10 ms and counts changes of the limit. */
struct LimiterRun
{
  auto Feed(double aSlowdown, Milliseconds aTime) -> void
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += Milliseconds(10)) {
      const auto before = Limit();
      ObserveSlowdown(mState, aSlowdown, kSlots, mNow);
      mDecreases += Limit() < before ? 1 : 0;
      mIncreases += Limit() > before ? 1 : 0;
      BOOST_TEST_REQUIRE((Limit() >= 1 && Limit() <= kSlots));
    }
  }
  auto Limit() const -> std::int64_t { return CurrentLimit(mState, kSlots); }

  LimiterState mState;
  base::MonotonicTime mNow = kNow;
  int mDecreases = 0;
  int mIncreases = 0;
};

struct RetryCase
{
  const char* mName;
  RetryContext mContext;
  Milliseconds mDeadline;
  bool mExpected;
};

constexpr auto kServiceTime = base::Microseconds(10'000);
const auto kRetryCases = std::array{
  RetryCase{ "answered",
             { Outcome::Answered, true, 1, 10, kServiceTime },
             Milliseconds(100),
             false },
  RetryCase{ "unknown and idempotent",
             { Outcome::Unknown, true, 1, 10, kServiceTime },
             Milliseconds(100),
             true },
  RetryCase{ "unknown and not idempotent",
             { Outcome::Unknown, false, 1, 10, kServiceTime },
             Milliseconds(100),
             false },
  RetryCase{ "not run and not idempotent",
             { Outcome::NotRun, false, 1, 10, kServiceTime },
             Milliseconds(100),
             true },
  RetryCase{ "no retries allowed",
             { Outcome::Unknown, true, 1, 0, kServiceTime },
             Milliseconds(100),
             false },
  RetryCase{ "deadline within service time",
             { Outcome::NotRun, true, 1, 10, kServiceTime },
             Milliseconds(10),
             false },
  RetryCase{ "no attempts left",
             { Outcome::NotRun, true, 3, 10, kServiceTime },
             Milliseconds(100),
             false },
};

} // namespace

BOOST_AUTO_TEST_SUITE(protection)

BOOST_AUTO_TEST_CASE(mayretry_each_case_returns_expected_result)
{
  for (const auto& it : kRetryCases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      RetryBudget budget;
      const auto allowed =
        MayRetry(it.mContext, budget, kNow, kNow + it.mDeadline);
      BOOST_TEST(allowed == it.mExpected);
    }
  }
}

BOOST_AUTO_TEST_CASE(budget_random_traffic_is_never_exceeded)
{
  auto random = std::mt19937(11);
  for (const std::int64_t percent : { 0, 1, 10, 50 }) {
    RetryBudget budget;
    std::int64_t successes = 0;
    std::int64_t retries = 0;
    for (int i = 0; i < 20'000; ++i) {
      if (random() % 3 == 0) {
        Earn(budget, percent);
        ++successes;
      } else {
        retries += TrySpend(budget, percent) ? 1 : 0;
      }
      const auto most = kMaxSavedRetries * 100 + successes * percent;
      BOOST_TEST_REQUIRE(retries * 100 <= most);
    }
    BOOST_TEST((percent == 0) == (retries == 0));
  }
}

BOOST_AUTO_TEST_CASE(ejection_all_endpoints_fail_keeps_majority_in_use)
{
  for (std::int64_t count = 1; count <= 60; ++count) {
    std::vector<EndpointHealth> endpoints(static_cast<std::size_t>(count));
    std::int64_t ejected = 0;
    for (int round = 0; round < 20; ++round) {
      for (auto& it : endpoints) {
        ejected += ObserveFailure(it, ejected, count, kNow) ? 1 : 0;
      }
    }
    BOOST_TEST(ejected == MaxEjected(count));
    BOOST_TEST(ejected * 2 < count);
  }
}

BOOST_AUTO_TEST_CASE(ejection_too_few_consecutive_failures_never_happens)
{
  EndpointHealth health;
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST_REQUIRE(!ObserveFailure(health, 0, 10, kNow));
    if (i % 4 == 3) {
      ObserveSuccess(health);
    }
  }
}

BOOST_AUTO_TEST_CASE(
  ejected_endpoint_is_probed_at_growing_intervals_until_success)
{
  EndpointHealth health;
  while (!ObserveFailure(health, 0, 10, kNow)) {
  }
  int probes = 0;
  for (auto now = kNow; now < kNow + std::chrono::seconds(100);
       now += Milliseconds(100)) {
    probes += TryProbe(health, now) ? 1 : 0;
  }
  // Probes at 1, 3, 7, 15, 31, 63 and 95 seconds.
  BOOST_TEST(probes == 7);
  BOOST_TEST(ObserveSuccess(health));
  BOOST_TEST(!health.mEjected);
}

BOOST_AUTO_TEST_CASE(
  limit_noisy_neighbor_falls_and_recovers_without_oscillating)
{
  LimiterRun run;
  run.Feed(1.0, Milliseconds(2000));
  BOOST_TEST(run.Limit() == kSlots);
  run.Feed(2.0, Milliseconds(5000));
  BOOST_TEST(run.Limit() == kSlots / 2);
  run.Feed(100.0, Milliseconds(5000));
  BOOST_TEST(run.Limit() == 1);
  BOOST_TEST(run.mIncreases == 0);
  const auto decreases = run.mDecreases;
  run.Feed(1.0, Milliseconds(5000));
  BOOST_TEST(run.Limit() == kSlots);
  BOOST_TEST(run.mDecreases == decreases);
}

BOOST_AUTO_TEST_CASE(limit_slowdown_between_thresholds_is_unchanged)
{
  LimiterRun run;
  run.Feed(1.35, Milliseconds(5000));
  BOOST_TEST(run.mDecreases == 0);
  run.Feed(3.0, Milliseconds(600));
  const auto limit = run.Limit();
  BOOST_TEST(limit < kSlots);
  run.mState.mSlowdown = 1.35;
  run.Feed(1.35, Milliseconds(5000));
  BOOST_TEST(run.Limit() == limit);
}

BOOST_AUTO_TEST_CASE(spill_step_in_load_switches_once_each_way)
{
  SpillState state;
  int switches = 0;
  auto random = std::mt19937(5);
  const auto feed =
    [&](int aLocalWaitMs, int aTimeMs, base::MonotonicTime aAt) {
      for (int i = 0; i < aTimeMs; ++i) {
        const auto noise = static_cast<int>(random() % 3);
        const auto cost = SpillCost{ Milliseconds(aLocalWaitMs + noise),
                                     Milliseconds(1),
                                     Milliseconds(3) };
        const auto before = state.mSpilling;
        DecideSpill(state, cost, aAt + Milliseconds(i));
        switches += state.mSpilling != before ? 1 : 0;
      }
    };
  feed(0, 1000, kNow);
  BOOST_TEST(switches == 0);
  feed(50, 1000, kNow + Milliseconds(1000));
  BOOST_TEST(switches == 1);
  // Spilling has reduced the local wait, but not below the remote cost.
  feed(6, 1000, kNow + Milliseconds(2000));
  BOOST_TEST(switches == 1);
  feed(0, 1000, kNow + Milliseconds(3000));
  BOOST_TEST(switches == 2);
  BOOST_TEST(!state.mSpilling);
}

BOOST_AUTO_TEST_CASE(spill_wait_below_start_threshold_never_starts)
{
  SpillState state;
  const auto cost =
    SpillCost{ Milliseconds(5), Milliseconds(0), Milliseconds(3) };
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST_REQUIRE(!DecideSpill(state, cost, kNow + Milliseconds(i)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
