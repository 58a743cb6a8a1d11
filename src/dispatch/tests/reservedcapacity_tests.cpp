#include <boost/test/unit_test.hpp>

#include "holderfixture.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::dispatch;
using dispatch::testing::HolderFixture;

/** Time within which a task without a run has to start if workers have room for
 * it. */
constexpr auto kStartLimit = Milliseconds(3000);

/** Cells "a/0" and "b/0", whose workers have the capacities that a test gives
 * them, and jobs of one task each. */
struct TwoCells : HolderFixture
{
  int mNextJob = 0;

  TwoCells()
  {
    mWorkers.mHasRealClock = true;
    UseRealHostChoice();
  }

  ~TwoCells()
  {
    Do([&] {
      for (const auto& [name, it] : mCells) {
        it->End();
      }
    });
    StopPool();
  }

  auto AddCell(const std::string& aCell,
               const std::map<std::string, std::int64_t>& aWorkers) -> void
  {
    std::vector<std::string> ids;
    Do([&] {
      for (const auto& [id, cpu] : aWorkers) {
        mWorkers.mPorts[id] =
          static_cast<std::uint16_t>(mWorkers.mPorts.size() + 1);
        mWorkers.mCapacities[id] = { cpu, 64000, 0 };
        ids.push_back(id);
      }
    });
    const auto holder = MakeHolder(1, aCell, ids);
    BOOST_REQUIRE(Until([&] {
      return holder->Phase() == HolderPhase::Active &&
             std::all_of(ids.begin(), ids.end(), [&](const auto& it) {
               return holder->State().mWorkers.at(it)->mIsKnown;
             });
    }));
    Do([&] { mCells[aCell] = holder; });
  }

  /** Submits a job and returns the name of its first task. */
  auto Submit(const std::string& aCell,
              std::int64_t aCpu,
              bool aIsLongRunning,
              std::uint32_t aCount = 1) -> std::string
  {
    const auto id = "00000000000000d" + std::to_string(mNextJob++);
    auto submission = MakeSubmission(id);
    submission.mCell = aCell;
    auto& step = submission.mJob.mSpec.mSteps[0];
    step.mCount = aCount;
    step.mNeed.mCpuMillis = aCpu;
    step.mIsLongRunning = aIsLongRunning;
    std::shared_ptr<CellHolder> holder;
    Do([&] { holder = mCells.at(aCell); });
    BOOST_REQUIRE(
      (Wait(holder->Execute(submission)).mOutcome == JobOutcome::Done));
    return id + ".0.0.0";
  }

  auto IsRunningOn(const std::string& aTask, const std::string& aWorker) -> bool
  {
    auto out = false;
    Do([&] {
      out = mWorkers.mRunning.contains(aTask) &&
            mWorkers.mWorkerOf.at(aTask) == aWorker;
    });
    return out;
  }

  auto RunsWithin(const std::string& aTask,
                  const std::string& aWorker,
                  Milliseconds aLimit) -> bool
  {
    const auto end = base::MonotonicClock::now() + aLimit;
    while (!IsRunningOn(aTask, aWorker) && base::MonotonicClock::now() < end) {
      Wait(net::Sleep(Milliseconds(20)), true);
    }
    return IsRunningOn(aTask, aWorker);
  }

  /** The worker drains; the run of the task there ends when it is stopped. */
  auto Drain(const std::string& aCell,
             const std::string& aWorker,
             const std::string& aTask) -> void
  {
    Do([&] {
      mWorkers.mDraining.insert(aWorker);
      mCells.at(aCell)->UpdateWorker(MakeRecord(aWorker));
    });
    BOOST_REQUIRE(Until([&] {
      return std::any_of(mWorkers.mStops.begin(),
                         mWorkers.mStops.end(),
                         [&](const auto& it) { return it.mTask == aTask; });
    }));
    Do([&] { mWorkers.End(aTask, cell::EndKind::Stopped); });
  }

  auto HostedRowVersion(const std::string& aKey) -> std::uint64_t
  {
    std::uint64_t out = 0;
    Do([&] {
      for (const auto& [key, it] : mStore.mRows) {
        out = it.mTable == kJobTable && it.mKey == aKey ? it.mVersion : out;
      }
    });
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reservedcapacity, TwoCells)

// Guards against a task that no worker of its own cell can hold and that waits
// for as long as another cell keeps free CPU for a larger task.
BOOST_AUTO_TEST_CASE(task_without_run_starts_in_cpu_another_cell_has_reserved)
{
  AddCell("a/0", { { "w1", 3000 }, { "w2", 4000 } });
  AddCell("b/0", { { "w3", 8000 }, { "w4", 5000 } });
  const auto task = Submit("a/0", 3450, true);
  BOOST_REQUIRE(RunsWithin(task, "w2", kStartLimit));
  const auto large = Submit("b/0", 4600, true);
  BOOST_REQUIRE(RunsWithin(large, "w4", kStartLimit));
  const auto shortTask = Submit("b/0", 4500, false);
  BOOST_REQUIRE(RunsWithin(shortTask, "w3", kStartLimit));
  Drain("b/0", "w4", large);
  BOOST_REQUIRE(Until([&] {
    return mCells.at("b/0")->State().mWorkers.at("w3")->mReservations.contains(
      large);
  }));

  Drain("a/0", "w2", task);

  BOOST_TEST(RunsWithin(task, "w3", kStartLimit));
}

// Guards against a hosted task that is returned although its capacity becomes
// free there and no other cell has any, and that comes back after a detour.
BOOST_AUTO_TEST_CASE(hosted_task_waits_for_its_reservation_if_no_cell_has_room)
{
  AddCell("a/0", { { "w1", 16000 } });
  AddCell("b/0", { { "w2", 16000 } });
  const auto shortTask = Submit("b/0", 8000, false);
  BOOST_REQUIRE(RunsWithin(shortTask, "w2", kStartLimit));
  const auto first = Submit("a/0", 10000, true, 2);
  const auto id = first.substr(0, first.find('.'));
  const auto task = id + ".0.0.1";
  const auto row = "b/0/" + id;
  BOOST_REQUIRE(Until([&] {
    return mCells.at("b/0")->State().mWorkers.at("w2")->mReservations.contains(
             task) &&
           mCells.at("b/0")->State().mJobs.contains(id);
  }));
  const auto version = HostedRowVersion(row);
  BOOST_REQUIRE(version > 0U);

  Wait(net::Sleep(Milliseconds(5000)), true);

  BOOST_TEST(HostedRowVersion(row) == version);
  Do([&] { mWorkers.End(shortTask, cell::EndKind::Done); });
  BOOST_TEST(RunsWithin(task, "w2", kStartLimit));
}

BOOST_AUTO_TEST_SUITE_END()
