#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

#include "eelgrasspost/admission/admission.h"

namespace {

using namespace eelgrasspost::admission;

constexpr double kCores = 100;
constexpr auto kBriefRun = Milliseconds(100);

/** Cells with a backlog, and jobs that arrive at an entry. */
struct AdmissionFixture
{
  ShareTable mShares;
  MonotonicTime mNow = MonotonicTime{} + std::chrono::hours(1);
  std::size_t mJobs = 0;

  static auto MakeCell(double aWaitingCpuMs,
                       std::optional<double> aSaturatedRate = kCores)
    -> KnownLoad
  {
    KnownLoad out;
    out.mIsActive = true;
    out.mLoad.mReserved = { kCores, aSaturatedRate };
    out.mLoad.mLeftover = { kCores, aSaturatedRate };
    out.mLoad.mBacklogs = {
      { RoomKind::Reserved, 0, 0, aWaitingCpuMs, 0 },
      { RoomKind::Leftover, 2, 0, aWaitingCpuMs, 0 },
    };
    return out;
  }

  /** Tasks of one core; useful until three times the objective. */
  static auto MakeDemand(std::int64_t aChainMs, double aTasks = 10) -> JobDemand
  {
    JobDemand out;
    out.mChain = Milliseconds(aChainMs);
    out.mCpuMs = static_cast<double>(aChainMs) * aTasks;
    out.mObjective = Milliseconds(2 * aChainMs);
    out.mLatestUse = Milliseconds(6 * aChainMs);
    return out;
  }

  auto Ask(const std::vector<KnownLoad>& aCells,
           const JobDemand& aDemand,
           const ShareKey& aKey = { "queue", "a", 0 }) -> Decision
  {
    return Decide(
      aCells, aDemand, aKey, "job-" + std::to_string(++mJobs), mShares, mNow);
  }

  auto IsAccepted(const std::vector<KnownLoad>& aCells,
                  const JobDemand& aDemand,
                  const ShareKey& aKey = { "queue", "a", 0 }) -> bool
  {
    return Ask(aCells, aDemand, aKey).mVerdict == Verdict::Accept;
  }
};

/** Backlog that takes the given time if all of it runs half as long as
 * estimated. */
constexpr auto Backlogged(double aMs) -> double
{
  constexpr double kEstimateError = 2;
  return aMs * kCores * kEstimateError;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(admission, AdmissionFixture)

// Crest of wide jobs.
BOOST_AUTO_TEST_CASE(job_that_no_cell_can_do_in_time_is_refused_at_once)
{
  BOOST_CHECK(!IsAccepted({ MakeCell(Backlogged(20000)) }, MakeDemand(1000)));
}

BOOST_AUTO_TEST_CASE(job_that_one_cell_can_do_in_time_is_accepted)
{
  BOOST_CHECK(
    IsAccepted({ MakeCell(Backlogged(20000)), MakeCell(Backlogged(2000)) },
               MakeDemand(1000)));
}

BOOST_AUTO_TEST_CASE(backlog_within_the_useful_time_refuses_nothing)
{
  for (auto i = 0; i < 100; ++i) {
    BOOST_REQUIRE(IsAccepted({ MakeCell(Backlogged(5000)) }, MakeDemand(1000)));
  }
}

// Estimates off by two: what is refused would not have been done in time even
// if all run times were half of the estimates.
BOOST_AUTO_TEST_CASE(estimates_too_long_by_two_refuse_no_job_done_in_time)
{
  constexpr std::int64_t kChainMs = 1000;
  for (auto wait = 0; wait < 20000; wait += 100) {
    ShareTable shares;
    mShares.swap(shares);
    const auto isAccepted =
      IsAccepted({ MakeCell(kCores * wait) }, MakeDemand(kChainMs));
    const auto earliestEnd = wait / 2 + kChainMs / 2;
    BOOST_TEST((isAccepted || earliestEnd > 6 * kChainMs));
  }
}

BOOST_AUTO_TEST_CASE(late_jobs_do_not_delay_one_that_can_be_in_time)
{
  auto cell = MakeCell(0);
  cell.mLoad.mBacklogs = { { RoomKind::Reserved, 0, 0, 0, Backlogged(60000) } };
  BOOST_CHECK(IsAccepted({ cell }, MakeDemand(1000)));
  cell.mLoad.mBacklogs[0].mWaitingCpuMs = Backlogged(2500);
  BOOST_CHECK(!IsAccepted({ cell }, MakeDemand(1000)));
}

BOOST_AUTO_TEST_CASE(report_that_is_old_counts_as_room)
{
  auto cell = MakeCell(Backlogged(60000));
  cell.mAge = Milliseconds(1500);
  BOOST_CHECK(IsAccepted({ cell }, MakeDemand(1000)));
}

BOOST_AUTO_TEST_CASE(cell_without_known_rate_and_cores_counts_as_room)
{
  auto cell = MakeCell(Backlogged(60000), std::nullopt);
  cell.mLoad.mReserved.mCores = 0;
  BOOST_CHECK(IsAccepted({ cell }, MakeDemand(1000)));
}

BOOST_AUTO_TEST_CASE(no_cell_known_refuses_nothing)
{
  BOOST_CHECK(IsAccepted({}, MakeDemand(1000)));
}

// Two queues at once: work of lower priority does not delay a job.
BOOST_AUTO_TEST_CASE(backlog_of_lower_priority_refuses_no_urgent_job)
{
  auto cell = MakeCell(0);
  cell.mLoad.mBacklogs = { { RoomKind::Reserved, 2, 0, Backlogged(60000), 0 } };
  BOOST_CHECK(IsAccepted({ cell }, MakeDemand(1000)));
  auto later = MakeDemand(1000);
  later.mPriority = 2;
  BOOST_CHECK(!IsAccepted({ cell }, later));
}

BOOST_AUTO_TEST_CASE(backlog_of_reserved_work_refuses_no_leftover_job)
{
  auto cell = MakeCell(0);
  cell.mLoad.mBacklogs = { { RoomKind::Reserved, 0, 0, Backlogged(60000), 0 } };
  auto demand = MakeDemand(1000);
  demand.mKind = RoomKind::Leftover;
  BOOST_CHECK(IsAccepted({ cell }, demand));
}

BOOST_AUTO_TEST_CASE(backlog_of_larger_jobs_refuses_no_small_leftover_job)
{
  auto cell = MakeCell(0);
  cell.mLoad.mBacklogs = { { RoomKind::Leftover, 0, 3, Backlogged(60000), 0 } };
  auto demand = MakeDemand(1000);
  demand.mKind = RoomKind::Leftover;
  BOOST_CHECK(IsAccepted({ cell }, demand));
  demand.mCpuMs = 1e7;
  BOOST_CHECK(!IsAccepted({ cell }, demand));
}

// Herd of returning callers.
BOOST_AUTO_TEST_CASE(refused_callers_return_spread_over_the_expected_wait)
{
  std::set<std::int64_t> seconds;
  for (auto i = 0; i < 200; ++i) {
    const auto decision =
      Ask({ MakeCell(Backlogged(14000)) }, MakeDemand(1000));
    if (decision.mVerdict == Verdict::TooLate) {
      BOOST_TEST(decision.mRetryAfter >= decision.mWait - decision.mMaxWait);
      seconds.insert(decision.mRetryAfter.count() / 1000);
    }
  }
  BOOST_TEST(seconds.size() >= 5U);
}

// Capacity lost at the crest, and back.
BOOST_AUTO_TEST_CASE(wait_at_the_bound_does_not_alternate_decisions)
{
  const auto demand = MakeDemand(1000);
  BOOST_REQUIRE(!IsAccepted({ MakeCell(Backlogged(6000)) }, demand));
  mNow += Milliseconds(100);
  BOOST_CHECK(!IsAccepted({ MakeCell(Backlogged(5300)) }, demand));
  mNow += Milliseconds(100);
  BOOST_CHECK(IsAccepted({ MakeCell(Backlogged(3500)) }, demand));
  BOOST_CHECK(IsAccepted({ MakeCell(Backlogged(5300)) }, demand));
}

BOOST_AUTO_TEST_CASE(overload_that_lasts_lets_some_jobs_through)
{
  auto accepted = 0;
  for (auto i = 0; i < 1000; ++i) {
    mNow += Milliseconds(5);
    accepted +=
      IsAccepted({ MakeCell(Backlogged(60000)) }, MakeDemand(1000)) ? 1 : 0;
  }
  BOOST_TEST(accepted >= 90);
  BOOST_TEST(accepted <= 200);
}

// Uneven domains: who was granted less is accepted with a longer wait.
BOOST_AUTO_TEST_CASE(domain_granted_less_than_others_is_favoured)
{
  const ShareKey favoured{ "queue", "b", 0 };
  mShares[{ "queue", "a", 0 }] = { 1e6, 1e6, mNow, mNow };
  mShares[favoured] = { 1e6, 0.4e6, mNow, mNow };
  const auto cells = std::vector{ MakeCell(Backlogged(6500)) };
  BOOST_CHECK(!IsAccepted(cells, MakeDemand(1000)));
  BOOST_CHECK(IsAccepted(cells, MakeDemand(1000), favoured));
}

BOOST_AUTO_TEST_CASE(rate_measured_only_while_work_waits)
{
  RateMeter meter;
  UpdateRate(meter, true, kBriefRun, mNow);
  AddDone(meter, 50000);
  mNow += Milliseconds(1000);
  UpdateRate(meter, true, kBriefRun, mNow);
  BOOST_REQUIRE(meter.mRate);
  BOOST_CHECK_CLOSE(*meter.mRate, 50.0, 1e-6);
  UpdateRate(meter, false, kBriefRun, mNow);
  BOOST_CHECK(!meter.mRate);
}

// After an idle time all cores start tasks of 10 s at once, so that no work is
// done for seconds.
BOOST_AUTO_TEST_CASE(rate_of_long_tasks_does_not_fall_between_their_ends)
{
  constexpr auto kRun = Milliseconds(10000);
  constexpr auto kTick = Milliseconds(200);
  RateMeter meter;
  for (auto time = Milliseconds(0); time < 12 * kRun; time += kTick) {
    UpdateRate(meter, true, kRun, mNow + time);
    BOOST_REQUIRE(!meter.mRate || *meter.mRate >= kCores / 2);
    if (time.count() > 0 && time.count() % kRun.count() == 0) {
      AddDone(meter, kCores * static_cast<double>(kRun.count()));
    }
  }
  BOOST_CHECK(meter.mRate);
}

// Tasks of another size or on few workers wait while most cores are idle.
BOOST_AUTO_TEST_CASE(low_rate_of_reserved_work_refuses_no_job_that_fits)
{
  constexpr double kLowRate = kCores / 50;
  const auto cell = MakeCell(Backlogged(1000), kLowRate);
  BOOST_CHECK(IsAccepted({ cell }, MakeDemand(1000)));
}

BOOST_AUTO_TEST_CASE(cell_that_is_being_taken_over_counts_as_room)
{
  auto cell = MakeCell(Backlogged(60000));
  cell.mIsActive = false;
  BOOST_CHECK(
    IsAccepted({ MakeCell(Backlogged(60000)), cell }, MakeDemand(1000)));
}

BOOST_AUTO_TEST_CASE(refusal_long_ago_does_not_lower_the_bound)
{
  const auto demand = MakeDemand(1000);
  BOOST_REQUIRE(!IsAccepted({ MakeCell(Backlogged(6000)) }, demand));
  mNow += Milliseconds(60000);
  BOOST_CHECK(IsAccepted({ MakeCell(Backlogged(5300)) }, demand));
}

BOOST_AUTO_TEST_CASE(shares_of_queues_that_are_gone_are_forgotten)
{
  for (auto i = 0; i < 1000; ++i) {
    mNow += Milliseconds(1000);
    Ask({ MakeCell(0) }, MakeDemand(1000), { std::to_string(i), "a", 0 });
  }
  BOOST_TEST(mShares.size() < 50U);
}

BOOST_AUTO_TEST_SUITE_END()
