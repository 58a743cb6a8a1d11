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

constexpr auto kWait = base::Milliseconds(60000);
constexpr std::int64_t kCpuMillis = 16000;
constexpr std::int64_t kMemoryMb = 60000;
constexpr std::int64_t kTasks = 40;

struct RanAttempt
{
  std::uint64_t mAttempt = 0;
  std::int64_t mFromMs = 0;
  std::int64_t mUntilMs = 0;
};

auto Flag(const std::string& aName, json::value aValue) -> json::object
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

  auto Show(const std::string& aId, std::size_t aEntry = 0) -> json::object
  {
    const auto exchange =
      mCluster.Http().Get(mCluster.mEntries[aEntry].mHttp, "/jobs/" + aId);
    return exchange.mStatus.ok() ? base::ParseObject(exchange.mResponse.mBody)
                                     .value_or(json::object())
                                 : json::object();
  }

  auto Count(const std::string& aId, const std::string& aState) -> std::int64_t
  {
    const auto shown = Show(aId);
    const auto* counts = base::ObjectField(shown, "counts");
    return counts == nullptr ? 0 : base::NumberField(*counts, aState);
  }

  auto HasState(const std::string& aId, const std::string& aState) -> bool
  {
    return base::TextField(Show(aId), "state") == aState;
  }

  /** What the workers saw of each task, over all of them. */
  auto Ran() -> std::map<std::string, std::vector<RanAttempt>>
  {
    std::map<std::string, std::vector<RanAttempt>> out;
    for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
      const auto observed = mCluster.Observed(i);
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

  /** No two attempts of a task at once, none twice, none beyond a worker. */
  auto CheckAttempts() -> void
  {
    for (auto& [task, attempts] : Ran()) {
      std::ranges::sort(attempts, {}, &RanAttempt::mFromMs);
      for (std::size_t i = 1; i < attempts.size(); ++i) {
        BOOST_TEST_CONTEXT("task " << task << " start " << i)
        {
          BOOST_TEST(attempts[i - 1].mUntilMs <= attempts[i].mFromMs);
          BOOST_TEST(attempts[i - 1].mAttempt < attempts[i].mAttempt);
        }
      }
    }
  }

  Cluster mCluster;
};

/** A fault that begins while a job's tasks start and run, and is lifted. */
struct FaultCase
{
  std::string mName;
  std::function<void(Cluster&)> mBegin;
  std::function<void(Cluster&)> mEnd;
};

auto OtherEntry() -> std::size_t
{
  return 1;
}

const std::vector<FaultCase> kFaults = {
  { "holder paused past its lease",
    [](Cluster& aCluster) {
      aCluster.mEntries[OtherEntry()].mProcess->Pause();
    },
    [](Cluster& aCluster) {
      aCluster.mEntries[OtherEntry()].mProcess->Resume();
    } },
  { "owner killed",
    [](Cluster& aCluster) { aCluster.mEntries[OtherEntry()].mProcess->Kill(); },
    [](Cluster& aCluster) { aCluster.StartEntry(OtherEntry()); } },
  { "worker cut off and back",
    [](Cluster& aCluster) { aCluster.Fault("worker-1", Flag("cut_to", true)); },
    [](Cluster& aCluster) { aCluster.Heal("worker-1"); } },
  { "worker's answers lost",
    [](Cluster& aCluster) {
      aCluster.Fault("worker-1", Flag("cut_back", true));
    },
    [](Cluster& aCluster) { aCluster.Heal("worker-1"); } },
  { "worker restarted",
    [](Cluster& aCluster) {
      aCluster.Http().Post(
        aCluster.mWorkers[0].mDirect, "/faults", Flag("restart", true));
    },
    [](Cluster&) {} },
  { "answers of the table lost after the write",
    [](Cluster& aCluster) { aCluster.PlatformFault(Flag("lose_answers", 3)); },
    [](Cluster&) {} },
  { "table away",
    [](Cluster& aCluster) { aCluster.PlatformFault(Flag("down", true)); },
    [](Cluster& aCluster) { aCluster.PlatformFault({}); } },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_faults, BatchFixture)

BOOST_AUTO_TEST_CASE(tasks_under_each_fault_complete_once_and_never_twice)
{
  int n = 0;
  for (const auto& it : kFaults) {
    const auto id = base::Cat("single-", ++n);
    BOOST_TEST_CONTEXT(it.mName)
    {
      BOOST_TEST_REQUIRE(Submit(id, kTasks, 300));
      BOOST_TEST(WaitUntil([&] { return Count(id, "running") > 0; }, kWait));
      it.mBegin(mCluster);
      std::this_thread::sleep_for(base::Milliseconds(6000));
      it.mEnd(mCluster);
      BOOST_TEST(WaitUntil([&] { return HasState(id, "succeeded"); }, kWait));
      CheckAttempts();
    }
  }
}

BOOST_AUTO_TEST_CASE(table_away_stops_no_running_task_and_loses_no_completion)
{
  BOOST_TEST_REQUIRE(Submit("long-1", 4, 8000));
  BOOST_TEST(WaitUntil([&] { return Ran().size() == 4U; }, kWait));
  mCluster.PlatformFault(Flag("down", true));
  std::this_thread::sleep_for(base::Milliseconds(12000));
  mCluster.PlatformFault({});
  BOOST_TEST(WaitUntil([&] { return HasState("long-1", "succeeded"); }, kWait));
  for (const auto& [task, attempts] : Ran()) {
    BOOST_TEST(attempts.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(job_submitted_again_after_a_lost_answer_is_the_same_job)
{
  mCluster.PlatformFault(Flag("lose_answers", 1));
  BOOST_TEST(Submit("again-1", 3, 20));
  BOOST_TEST(Submit("again-1", 3, 20));
  BOOST_TEST(!Submit("again-1", 4, 20));
  BOOST_TEST(
    WaitUntil([&] { return HasState("again-1", "succeeded"); }, kWait));
  CheckAttempts();
  BOOST_TEST(Ran().size() == 3U);
}

BOOST_AUTO_TEST_CASE(cancel_against_completion_lets_one_win_for_good)
{
  BOOST_TEST_REQUIRE(Submit("race-1", kTasks, 700));
  BOOST_TEST(
    WaitUntil([&] { return Count("race-1", "succeeded") > 0; }, kWait));
  mCluster.Http().Post(mCluster.mEntries[1].mHttp, "/jobs/race-1/cancel", {});
  const auto hasEnded = [&] {
    return Count("race-1", "succeeded") + Count("race-1", "cancelled") ==
           kTasks;
  };
  BOOST_TEST(WaitUntil(hasEnded, kWait));
  const auto succeeded = Count("race-1", "succeeded");
  std::this_thread::sleep_for(base::Milliseconds(2000));
  BOOST_TEST(Count("race-1", "succeeded") == succeeded);
  CheckAttempts();
}

BOOST_AUTO_TEST_CASE(job_that_no_worker_holds_is_refused_with_what_is_missing)
{
  json::object job;
  job["id"] = "huge-1";
  job["team"] = "lab";
  job["cpu_millis"] = 99000;
  job["memory_mb"] = 100;
  const auto answer =
    mCluster.Http().Post(mCluster.mEntries[0].mHttp, "/jobs", job);
  BOOST_TEST(base::TextField(answer, "error") == "no_worker_holds");
  BOOST_TEST(
    (base::TextField(answer, "message").find("99000") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(large_job_is_written_in_parts_and_its_writes_are_few)
{
  constexpr std::int64_t kMany = 600;
  BOOST_TEST_REQUIRE(Submit("many-1", kMany, 1));
  BOOST_TEST(WaitUntil([&] { return HasState("many-1", "succeeded"); }, kWait));
  CheckAttempts();
  BOOST_TEST(static_cast<std::int64_t>(Ran().size()) == kMany);
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
  BOOST_TEST_MESSAGE(kMany << " tasks in " << commits << " commits");
  BOOST_TEST(commits < static_cast<double>(kMany));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(batch_fault_pairs, BatchFixture)

BOOST_AUTO_TEST_CASE(tasks_under_faults_in_pairs_complete_once_and_never_twice)
{
  int n = 0;
  for (std::size_t i = 0; i < kFaults.size(); ++i) {
    for (std::size_t j = i + 1; j < kFaults.size(); ++j) {
      const auto& first = kFaults[i];
      const auto& second = kFaults[j];
      // Both cannot be done to one process or link.
      const auto isSame =
        (i == 0 && j == 1) || (i == 2 && j == 3) || (i == 5 && j == 6);
      if (isSame) {
        continue;
      }
      const auto id = base::Cat("pair-", ++n);
      BOOST_TEST_CONTEXT(first.mName << " and " << second.mName)
      {
        BOOST_TEST_REQUIRE(Submit(id, kTasks / 2, 300));
        BOOST_TEST(WaitUntil([&] { return Count(id, "running") > 0; }, kWait));
        first.mBegin(mCluster);
        second.mBegin(mCluster);
        std::this_thread::sleep_for(base::Milliseconds(6000));
        first.mEnd(mCluster);
        second.mEnd(mCluster);
        BOOST_TEST(WaitUntil([&] { return HasState(id, "succeeded"); }, kWait));
        CheckAttempts();
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
