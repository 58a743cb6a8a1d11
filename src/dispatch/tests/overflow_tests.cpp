#define BOOST_TEST_MODULE dispatch_overflow
#include <boost/test/unit_test.hpp>

#include "overflowfixture.h"

namespace eelgrasspost::dispatch::testing {

BOOST_FIXTURE_TEST_SUITE(newjobs, Overflow)

// Crest in one domain while others have less to do.
BOOST_AUTO_TEST_CASE(crest_in_the_own_domain_sends_jobs_to_the_others)
{
  AddCell("a/0", 8000);
  AddCell("b/0", 300);
  AddCell("c/0", 300);
  const auto counts = CountFirst(200);
  BOOST_TEST(!counts.contains("a/0"));
  BOOST_TEST(counts.at("b/0") >= 60U);
  BOOST_TEST(counts.at("c/0") >= 60U);
}

BOOST_AUTO_TEST_CASE(cell_that_can_start_the_job_at_once_is_asked_first)
{
  AddCell("a/0", 0);
  auto& cell = AddCell("b/0", 5000);
  cell.mFreeCpuMillis = 1000;
  cell.mLargestCpuMillis = 1000;
  const auto offers =
    PlanOffersByWait(mCells, MakeJob("job"), MakeDemand(), "a");
  BOOST_REQUIRE(offers.size() == 3U);
  BOOST_TEST(offers[0].mCell == "b/0");
  BOOST_TEST(offers[0].mMustStartAtOnce);
  BOOST_TEST(offers[1].mCell == "a/0");
  BOOST_TEST(!offers[1].mMustStartAtOnce);
}

BOOST_AUTO_TEST_CASE(besteffort_job_keeps_its_order_while_a_cell_has_room)
{
  AddCell("a/0", 5000);
  AddCell("b/0", 8000);
  for (auto& it : mCells) {
    it.mLeftoverCpuMillis = 10000;
    it.mBestEffortCpuMillis = 30000;
  }
  auto job = MakeJob("job");
  job.mSteps[0].mIsBestEffort = true;
  auto demand = MakeDemand();
  demand.mKind = RoomKind::Leftover;
  const auto first = [&] {
    return PlanOffersByWait(mCells, job, demand, "a").front().mCell;
  };
  BOOST_TEST(first() == "a/0");
  mCells[1].mBestEffortCpuMillis = 0;
  BOOST_TEST(first() == "b/0");
}

// Crest of wide jobs before anything waits.
BOOST_AUTO_TEST_CASE(wide_job_goes_to_the_cell_that_can_start_most_of_it)
{
  for (const auto* it : { "a/0", "b/0", "c/0" }) {
    AddCell(it, 0);
  }
  mCells[1].mStartable.fill(60);
  auto job = MakeJob("job");
  job.mSteps[0].mCount = 80;
  for (auto i = 0; i < 20; ++i) {
    job.mId = base::Cat("job-", i);
    const auto offers = PlanOffersByWait(mCells, job, MakeDemand(80000), "a");
    BOOST_TEST(offers.front().mCell == "b/0");
  }
}

// Herd of one entry's jobs between two reports.
BOOST_AUTO_TEST_CASE(jobs_sent_since_the_last_report_spread_over_the_cells)
{
  AddCell("a/0", 1000);
  AddCell("b/0", 900);
  AddCell("c/0", 1100);
  AddCell("d/0", 1000);
  SentJobs sent;
  std::map<std::string, std::size_t> counts;
  for (std::size_t i = 0; i < 200; ++i) {
    const auto cell = First(i);
    ++counts[cell];
    AddSent(sent, cell, MakeDemand(5000), 1, mNow);
    SetSent(sent);
  }
  for (const auto& it : mCells) {
    BOOST_TEST(counts[it.mName] >= 30U);
    BOOST_TEST(counts[it.mName] <= 70U);
  }
}

// The same for entries that do not know of each other's jobs.
BOOST_AUTO_TEST_CASE(jobs_of_many_entries_spread_over_nearly_equal_cells)
{
  for (const auto* it : { "a/0", "b/0", "c/0", "d/0" }) {
    AddCell(it, 1000);
  }
  for (const auto& [cell, n] : CountFirst(400)) {
    BOOST_TEST(n >= 60U);
    BOOST_TEST(n <= 150U);
  }
}

// Uneven rates.
BOOST_AUTO_TEST_CASE(cell_with_half_the_rate_gets_half_the_jobs)
{
  AddCell("b/0", 1000, 100);
  AddCell("c/0", 1000, 50);
  SentJobs sent;
  std::map<std::string, double> counts;
  for (std::size_t i = 0; i < 600; ++i) {
    const auto cell = First(i);
    ++counts[cell];
    AddSent(sent, cell, MakeDemand(500), 1, mNow);
    SetSent(sent);
  }
  const auto ratio = counts["c/0"] / counts["b/0"];
  BOOST_TEST(ratio > 0.4);
  BOOST_TEST(ratio < 0.6);
}

// A cell of which nothing ends would have had no wait, as its rate is zero.
BOOST_AUTO_TEST_CASE(cell_that_ends_nothing_gets_no_jobs)
{
  AddCell("b/0", 2000);
  auto& stuck = AddCell("a/0", 2000);
  stuck.mLoad.mReserved.mSaturatedRate = 0.0;
  BOOST_TEST(!CountFirst(100).contains("a/0"));
}

BOOST_AUTO_TEST_CASE(closed_cell_gets_nothing_and_an_inactive_one_comes_last)
{
  AddCell("a/0", 0).mIsClosed = true;
  AddCell("b/0", 0).mIsActive = false;
  AddCell("c/0", 9000);
  const auto offers =
    PlanOffersByWait(mCells, MakeJob("job"), MakeDemand(), "a");
  BOOST_REQUIRE(offers.size() == 2U);
  BOOST_TEST(offers[0].mCell == "c/0");
  BOOST_TEST(offers[1].mCell == "b/0");
}

// Old reports: neither a wait nor its absence holds for long.
BOOST_AUTO_TEST_CASE(report_that_is_old_neither_attracts_nor_repels)
{
  AddCell("a/0", 4000);
  AddCell("b/0", 4000);
  AddCell("c/0", 0).mAge = Milliseconds(2000);
  AddCell("d/0", 60000).mAge = Milliseconds(2000);
  const auto counts = CountFirst(400);
  BOOST_TEST(counts.size() == 4U);
  for (const auto& [cell, n] : counts) {
    BOOST_TEST(n >= 50U);
    BOOST_TEST(n <= 170U);
  }
}

BOOST_AUTO_TEST_CASE(cells_without_reported_loads_keep_the_order)
{
  AddCell("a/0", 0).mLoad = {};
  AddCell("b/0", 0).mLoad = {};
  mCells[1].mFreeCpuMillis = 500;
  const auto job = MakeJob("job");
  const auto expected = PlanOffers(mCells, job, "a");
  const auto offers = PlanOffersByWait(mCells, job, MakeDemand(), "a");
  BOOST_REQUIRE(offers.size() == expected.size());
  for (std::size_t i = 0; i < offers.size(); ++i) {
    BOOST_TEST(offers[i].mCell == expected[i].mCell);
  }
}

// A cell that has lost its measured rate would have seemed twice as fast.
BOOST_AUTO_TEST_CASE(rate_that_is_not_measured_is_not_more_than_the_cores)
{
  auto unmeasured = MakeCell("b/0", 1000);
  unmeasured.mLoad.mReserved.mSaturatedRate.reset();
  const auto waits = ExpectedWaits(
    { unmeasured, MakeCell("b/1", 1000) }, MakeDemand(), "b", false);
  BOOST_TEST(waits[0].mWait.count() == waits[1].mWait.count());
}

BOOST_AUTO_TEST_CASE(work_of_lower_priority_is_not_waited_for)
{
  auto cell = MakeCell("b/0", 1000);
  cell.mLoad.mBacklogs.push_back({ RoomKind::Reserved, 2, 0, 1e7, 0 });
  const auto waits = ExpectedWaits({ cell }, MakeDemand(), "b", false);
  BOOST_TEST(waits[0].mWait.count() == 1000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(sentjobs, Overflow)

BOOST_AUTO_TEST_CASE(report_removes_only_jobs_that_it_includes)
{
  SentJobs sent;
  AddSent(sent, "a/0", MakeDemand(1000), 1, mNow);
  AddSent(sent, "a/0", MakeDemand(1000), 1, mNow + Milliseconds(250));
  RemoveReported(sent, "a/0", mNow + Milliseconds(350));
  const auto left = SentBacklogs(sent, "a/0");
  BOOST_REQUIRE(left.size() == 1U);
  BOOST_TEST(left[0].mWaitingCpuMs == 1000);
  RemoveReported(sent, "a/0", mNow + Milliseconds(600));
  BOOST_TEST(sent.empty());
}

BOOST_AUTO_TEST_CASE(job_that_was_declined_counts_no_more)
{
  SentJobs sent;
  AddSent(sent, "a/0", MakeDemand(1000), 1, mNow);
  AddSent(sent, "a/0", MakeDemand(1000), -1, mNow);
  BOOST_TEST(SentBacklogs(sent, "a/0").at(0).mWaitingCpuMs == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::dispatch::testing
