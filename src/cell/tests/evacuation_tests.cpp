#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cellfixture.h"
#include "eelgrasspost/cell/evacuation.h"

namespace eelgrasspost::cell::testing {

namespace {

/** A cell with worker "w1" in domain "a" and, after AddOpenWorker, "w2" in
 * domain "b", as cells get workers of other domains transferred. */
struct EvacuationFixture : CellFixture
{
  EvacuationFixture() { AddWorkerIn("w1", "a"); }

  auto AddWorkerIn(const std::string& aId, const std::string& aDomain) -> void
  {
    WorkerRecord record;
    record.mId = aId;
    record.mService = "service";
    record.mDomain = aDomain;
    record.mCapacity = { 16000, 64000, 0 };
    UpdateWorker(mCell, record, mNow);
    Report(aId, {}, {});
  }

  auto Evacuate(DomainSet aDomains) -> void
  {
    SetEvacuatedDomains(mCell, std::move(aDomains));
  }

  auto StartsOn(const std::string& aWorker) -> std::size_t
  {
    const auto orders = Start();
    return static_cast<std::size_t>(
      std::count_if(orders.begin(), orders.end(), [&](const Order& aOrder) {
        return aOrder.mKind == OrderKind::Start && aOrder.mWorker == aWorker;
      }));
  }

  auto AddLostRun(const std::string& aJob) -> void
  {
    Add(MakeJob(aJob, MakeServing(1, 4000, "serving")));
    Start();
    DropWorkerRuns(
      mCell, *mCell.mWorkers.at("w1"), RunsLostReason::LeaseExpired, mNow);
    Report("w1", {}, {});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation, EvacuationFixture)

BOOST_AUTO_TEST_CASE(domain_evacuated_starts_nothing_there)
{
  Evacuate({ "a" });
  Add(MakeJob("0000000000000001", MakeStep(4)));
  Add(MakeJob("0000000000000002", MakeBestEffort(4, 1000, "fill")));
  Add(MakeJob("0000000000000003", MakeServing(2, 1000, "serving")));
  auto gang = MakeStep(2);
  gang.mIsGang = true;
  Add(MakeJob("0000000000000004", gang));
  BOOST_CHECK_EQUAL(StartsOn("w1"), 0);
  BOOST_CHECK(IsClosed(mCell));
}

BOOST_AUTO_TEST_CASE(lost_run_of_evacuated_domain_does_not_restart_there)
{
  AddLostRun("0000000000000001");
  Evacuate({ "a" });
  Advance(Milliseconds(1000));
  BOOST_CHECK_EQUAL(StartsOn("w1"), 0);
}

BOOST_AUTO_TEST_CASE(reservation_in_evacuated_domain_moves_to_open_worker)
{
  AddLostRun("0000000000000001");
  mCell.mWorkers.at("w1")->mReservations["0000000000000001.0.0.0"] = {
    { 4000, 1000, 0 }, mNow + Milliseconds(3000), mNow
  };
  Evacuate({ "a" });
  AddWorkerIn("w2", "b");
  BOOST_CHECK(mCell.mWorkers.at("w1")->mReservations.empty());
  BOOST_CHECK_EQUAL(StartsOn("w2"), 1);
}

BOOST_AUTO_TEST_CASE(capacity_for_other_cells_evacuated_is_refused)
{
  Evacuate({ "a" });
  LongRunningNeed need;
  need.mTask = "0000000000000009.0.0.0";
  need.mService = "service";
  need.mResources = { 1000, 1000, 0 };
  BOOST_CHECK(!ReserveCapacity(mCell, need, true, mNow));
  BOOST_CHECK(!FindTransferable(mCell, "service", need.mResources, mNow));
}

BOOST_AUTO_TEST_CASE(runs_in_evacuated_domain_go_on_and_end)
{
  Add(MakeJob("0000000000000001", MakeStep(2)));
  BOOST_REQUIRE_EQUAL(StartsOn("w1"), 2);
  Evacuate({ "a" });
  BOOST_CHECK_EQUAL(Start().size(), 0);
  BOOST_CHECK_EQUAL(SummarizeEvacuation(mCell).mRuns, 2);
  const auto base = mCell.mAttemptBase;
  Report("w1",
         {},
         { { 1, "0000000000000001.0.0.0", base + 1, EndKind::Done, "" },
           { 2, "0000000000000001.0.0.1", base + 2, EndKind::Done, "" } });
  BOOST_CHECK(FindJob(mCell, "0000000000000001")->mState == JobState::Done);
}

BOOST_AUTO_TEST_CASE(worker_of_other_domain_in_cell_stays_open)
{
  AddWorkerIn("w2", "b");
  Evacuate({ "a" });
  Add(MakeJob("0000000000000001", MakeStep(4)));
  BOOST_CHECK_EQUAL(StartsOn("w2"), 4);
  BOOST_CHECK(!IsClosed(mCell));
}

BOOST_AUTO_TEST_CASE(cell_without_workers_of_an_evacuated_domain_is_not_closed)
{
  Evacuate({ "b" });
  mCell.mWorkers.at("w1")->mRecord.mState = WorkerState::Draining;
  BOOST_CHECK(!IsClosed(mCell));
}

BOOST_AUTO_TEST_CASE(waiting_job_of_closed_cell_may_leave_it)
{
  Add(MakeJob("0000000000000001", MakeStep(4)));
  Evacuate({ "a" });
  Start();
  Advance(Milliseconds(300));
  const auto jobs = FindMigratable(mCell, mNow, Milliseconds(200));
  BOOST_REQUIRE_EQUAL(jobs.size(), 1);
  BOOST_CHECK(!jobs[0].mCanRunHere);
}

BOOST_AUTO_TEST_CASE(evacuation_withdrawn_starts_waiting_tasks)
{
  Evacuate({ "a" });
  Add(MakeJob("0000000000000001", MakeStep(3)));
  BOOST_REQUIRE_EQUAL(StartsOn("w1"), 0);
  BOOST_CHECK_EQUAL(SummarizeEvacuation(mCell).mHeldBackStarts, 3);
  Evacuate({});
  BOOST_CHECK_EQUAL(StartsOn("w1"), 3);
  BOOST_CHECK(!IsClosed(mCell));
}

BOOST_AUTO_TEST_CASE(held_back_start_tried_repeatedly_is_counted_once)
{
  Evacuate({ "a" });
  Add(MakeJob("0000000000000001", MakeStep(1)));
  for (auto i = 0; i < 3; ++i) {
    Start();
    Advance(Milliseconds(50));
  }
  BOOST_CHECK_EQUAL(SummarizeEvacuation(mCell).mHeldBackStarts, 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace eelgrasspost::cell::testing
