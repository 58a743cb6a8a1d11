#define BOOST_TEST_MODULE batch_faults
#include <algorithm>
#include <functional>
#include <map>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "cluster.h"
#include "eelgrasspost/base/text.h"

namespace {

using namespace eelgrasspost;
using harness::Cluster;
using harness::WaitUntil;
namespace json = base::json;

constexpr auto kTimeout = base::Milliseconds(60000);
constexpr std::int64_t kCpuMillis = 16000;
constexpr std::int64_t kMemoryMb = 60000;
constexpr std::int64_t kTasks = 40;

struct AttemptRun
{
  std::uint64_t mAttempt = 0;
  std::int64_t mStartMs = 0;
  std::int64_t mEndMs = 0;
};

auto FaultField(const std::string& aName, json::value aValue) -> json::object
{
  json::object out;
  out[aName] = std::move(aValue);
  return out;
}

struct BatchFixture
{
  BatchFixture() { BOOST_TEST_REQUIRE(mCluster.WaitForOwners()); }

  auto Submit(const std::string& aId, std::int64_t aTasks, std::int64_t aRunMs)
    -> bool
  {
    json::object job;
    job["id"] = aId;
    job["team"] = "lab";
    job["tasks"] = aTasks;
    job["cpu_millis"] = 2000;
    job["memory_mb"] = 1000;
    job["command"] = base::Cat("run_ms=", aRunMs);
    const auto exchange = mCluster.Http().Exchange(
      mCluster.mEntries[0].mHttp, { "POST", "/jobs", {}, base::ToText(job) });
    return exchange.mStatus.ok() && exchange.mResponse.mStatus == 200U;
  }

  auto ShowJob(const std::string& aId, std::size_t aEntry = 0) -> json::object
  {
    const auto exchange =
      mCluster.Http().Get(mCluster.mEntries[aEntry].mHttp, "/jobs/" + aId);
    return exchange.mStatus.ok() ? base::ParseObject(exchange.mResponse.mBody)
                                     .value_or(json::object())
                                 : json::object();
  }

  auto CountTasks(const std::string& aId, const std::string& aState)
    -> std::int64_t
  {
    const auto shown = ShowJob(aId);
    const auto* counts = base::ObjectField(shown, "counts");
    return counts == nullptr ? 0 : base::NumberField(*counts, aState);
  }

  auto HasState(const std::string& aId, const std::string& aState) -> bool
  {
    return base::TextField(ShowJob(aId), "state") == aState;
  }

  /** The attempts of each task on all workers; checks that no worker was
   * overcommitted. */
  auto AttemptsByTask() -> std::map<std::string, std::vector<AttemptRun>>
  {
    std::map<std::string, std::vector<AttemptRun>> out;
    for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
      const auto observed = mCluster.ReadObservation(i);
      BOOST_TEST(base::NumberField(observed, "most_cpu_millis") <= kCpuMillis);
      BOOST_TEST(base::NumberField(observed, "most_memory_mb") <= kMemoryMb);
      for (const auto& it : *base::ArrayField(observed, "attempts")) {
        const auto& attempt = it.get_object();
        const auto until = base::NumberField(attempt, "until_ms");
        out[base::TextField(attempt, "task")].push_back(
          { static_cast<std::uint64_t>(base::NumberField(attempt, "attempt")),
            base::NumberField(attempt, "from_ms"),
            until < 0 ? INT64_MAX : until });
      }
    }
    return out;
  }

  /** Checks that attempts of a task do not overlap and that no attempt number
   * runs twice. */
  auto CheckAttempts() -> void
  {
    for (auto& [task, attempts] : AttemptsByTask()) {
      std::ranges::sort(attempts, {}, &AttemptRun::mStartMs);
      for (std::size_t i = 1; i < attempts.size(); ++i) {
        BOOST_TEST_CONTEXT("task " << task << " start " << i)
        {
          BOOST_TEST(attempts[i - 1].mEndMs <= attempts[i].mStartMs);
          BOOST_TEST(attempts[i - 1].mAttempt < attempts[i].mAttempt);
        }
      }
    }
  }

  Cluster mCluster;
};

/** A fault that is injected while a job's tasks start and run, then cleared. */
struct FaultCase
{
  std::string mName;
  std::function<void(Cluster&)> mInject;
  std::function<void(Cluster&)> mClear;
};

/** The entry that faults affect; entry 0 takes the requests of the tests. */
auto FaultyEntry() -> std::size_t
{
  return 1;
}

const std::vector<FaultCase> kFaults = {
  { "owner paused past its lease",
    [](Cluster& aCluster) {
      aCluster.mEntries[FaultyEntry()].mProcess->Pause();
    },
    [](Cluster& aCluster) {
      aCluster.mEntries[FaultyEntry()].mProcess->Resume();
    } },
  { "owner killed",
    [](Cluster& aCluster) {
      aCluster.mEntries[FaultyEntry()].mProcess->Kill();
    },
    [](Cluster& aCluster) { aCluster.StartEntry(FaultyEntry()); } },
  { "worker unreachable, then reachable again",
    [](Cluster& aCluster) {
      aCluster.InjectFault("worker-1", FaultField("cut_to", true));
    },
    [](Cluster& aCluster) { aCluster.ClearFault("worker-1"); } },
  { "worker's responses lost",
    [](Cluster& aCluster) {
      aCluster.InjectFault("worker-1", FaultField("cut_back", true));
    },
    [](Cluster& aCluster) { aCluster.ClearFault("worker-1"); } },
  { "worker restarted",
    [](Cluster& aCluster) {
      aCluster.Http().Post(
        aCluster.mWorkers[0].mDirect, "/faults", FaultField("restart", true));
    },
    [](Cluster&) {} },
  { "table commits succeed but their responses are lost",
    [](Cluster& aCluster) {
      aCluster.SetPlatformFaults(FaultField("lose_answers", 3));
    },
    [](Cluster&) {} },
  { "table unavailable",
    [](Cluster& aCluster) {
      aCluster.SetPlatformFaults(FaultField("down", true));
    },
    [](Cluster& aCluster) { aCluster.SetPlatformFaults({}); } },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_faults, BatchFixture)

BOOST_AUTO_TEST_CASE(tasks_under_single_fault_complete_exactly_once)
{
  int n = 0;
  for (const auto& it : kFaults) {
    const auto id = base::Cat("single-", ++n);
    BOOST_TEST_CONTEXT(it.mName)
    {
      BOOST_TEST_REQUIRE(Submit(id, kTasks, 300));
      BOOST_TEST(
        WaitUntil([&] { return CountTasks(id, "running") > 0; }, kTimeout));
      it.mInject(mCluster);
      std::this_thread::sleep_for(base::Milliseconds(6000));
      it.mClear(mCluster);
      BOOST_TEST(
        WaitUntil([&] { return HasState(id, "succeeded"); }, kTimeout));
      CheckAttempts();
    }
  }
}

BOOST_AUTO_TEST_CASE(table_unavailable_running_tasks_complete_and_are_recorded)
{
  BOOST_TEST_REQUIRE(Submit("long-1", 4, 8000));
  BOOST_TEST(
    WaitUntil([&] { return AttemptsByTask().size() == 4U; }, kTimeout));
  mCluster.SetPlatformFaults(FaultField("down", true));
  std::this_thread::sleep_for(base::Milliseconds(12000));
  mCluster.SetPlatformFaults({});
  BOOST_TEST(
    WaitUntil([&] { return HasState("long-1", "succeeded"); }, kTimeout));
  for (const auto& [task, attempts] : AttemptsByTask()) {
    BOOST_TEST(attempts.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(job_resubmitted_after_lost_response_is_the_same_job)
{
  mCluster.SetPlatformFaults(FaultField("lose_answers", 1));
  BOOST_TEST(Submit("again-1", 3, 20));
  BOOST_TEST(Submit("again-1", 3, 20));
  BOOST_TEST(!Submit("again-1", 4, 20));
  BOOST_TEST(
    WaitUntil([&] { return HasState("again-1", "succeeded"); }, kTimeout));
  CheckAttempts();
  BOOST_TEST(AttemptsByTask().size() == 3U);
}

BOOST_AUTO_TEST_CASE(
  task_cancelled_while_completing_keeps_its_first_final_state)
{
  BOOST_TEST_REQUIRE(Submit("race-1", kTasks, 700));
  BOOST_TEST(
    WaitUntil([&] { return CountTasks("race-1", "succeeded") > 0; }, kTimeout));
  mCluster.Http().Post(mCluster.mEntries[1].mHttp, "/jobs/race-1/cancel", {});
  const auto haveAllEnded = [&] {
    return CountTasks("race-1", "succeeded") +
             CountTasks("race-1", "cancelled") ==
           kTasks;
  };
  BOOST_TEST(WaitUntil(haveAllEnded, kTimeout));
  const auto succeeded = CountTasks("race-1", "succeeded");
  std::this_thread::sleep_for(base::Milliseconds(2000));
  BOOST_TEST(CountTasks("race-1", "succeeded") == succeeded);
  CheckAttempts();
}

BOOST_AUTO_TEST_CASE(
  job_larger_than_any_worker_is_refused_with_the_missing_resource)
{
  json::object job;
  job["id"] = "huge-1";
  job["team"] = "lab";
  job["cpu_millis"] = 99000;
  job["memory_mb"] = 100;
  const auto response =
    mCluster.Http().Post(mCluster.mEntries[0].mHttp, "/jobs", job);
  BOOST_TEST(base::TextField(response, "error") == "no_worker_holds");
  BOOST_TEST(
    (base::TextField(response, "message").find("99000") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(job_large_is_stored_in_parts_with_few_commits)
{
  constexpr std::int64_t kManyTasks = 600;
  BOOST_TEST_REQUIRE(Submit("many-1", kManyTasks, 1));
  BOOST_TEST(
    WaitUntil([&] { return HasState("many-1", "succeeded"); }, kTimeout));
  CheckAttempts();
  BOOST_TEST(static_cast<std::int64_t>(AttemptsByTask().size()) == kManyTasks);
  double commits = 0;
  for (const auto& it : mCluster.mEntries) {
    const auto text = mCluster.Http().Get(it.mHttp, "/metrics");
    for (const auto& line : base::Split(text.mResponse.mBody, '\n')) {
      constexpr std::string_view kName = "batch_store_commits_total ";
      const auto at = line.find(kName);
      if (at != std::string::npos) {
        commits += std::stod(line.substr(at + kName.size()));
      }
    }
  }
  BOOST_TEST_MESSAGE(kManyTasks << " tasks in " << commits << " commits");
  BOOST_TEST(commits < static_cast<double>(kManyTasks));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(batch_fault_pairs, BatchFixture)

BOOST_AUTO_TEST_CASE(tasks_under_pairs_of_faults_complete_exactly_once)
{
  int n = 0;
  for (std::size_t i = 0; i < kFaults.size(); ++i) {
    for (std::size_t j = i + 1; j < kFaults.size(); ++j) {
      const auto& first = kFaults[i];
      const auto& second = kFaults[j];
      // Both faults act on the same process, link or platform and would
      // override each other.
      const auto areExclusive =
        (i == 0 && j == 1) || (i == 2 && j == 3) || (i == 5 && j == 6);
      if (areExclusive) {
        continue;
      }
      const auto id = base::Cat("pair-", ++n);
      BOOST_TEST_CONTEXT(first.mName << " and " << second.mName)
      {
        BOOST_TEST_REQUIRE(Submit(id, kTasks / 2, 300));
        BOOST_TEST(
          WaitUntil([&] { return CountTasks(id, "running") > 0; }, kTimeout));
        first.mInject(mCluster);
        second.mInject(mCluster);
        std::this_thread::sleep_for(base::Milliseconds(6000));
        first.mClear(mCluster);
        second.mClear(mCluster);
        BOOST_TEST(
          WaitUntil([&] { return HasState(id, "succeeded"); }, kTimeout));
        CheckAttempts();
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
