// Case "large job": a job of many tasks with checkpoints runs beside ordinary
// ones; then a worker turns slow.

#include "rig.h"

using namespace rig;

namespace {

constexpr auto kHost = "desk.example";
constexpr int kWorkers = 6;
constexpr int kLargeTasks = 2000;
constexpr int kLargeMs = 45000;
constexpr std::int64_t kTrafficMs = 36000;
/** Short jobs that take the memory at first, so that the large job's tasks
 * start one after the other. */
constexpr int kEarlierJobs = 3 * kWorkers;
constexpr std::int64_t kFinishMs = 14000;

/** Tasks of a job by what became of them. */
struct JobRuns
{
  std::set<std::string> mDone;
  std::set<std::string> mRunning;
};

auto ReadRuns() -> std::map<std::string, JobRuns>
{
  std::map<std::string, JobRuns> out;
  for (const auto& it : gRuns.All()) {
    auto& job = out[it.mTask.substr(0, 16)];
    if (it.mWhat == "start") {
      job.mRunning.insert(it.mTask);
    } else {
      job.mRunning.erase(it.mTask);
    }
    if (it.mWhat == "done") {
      job.mDone.insert(it.mTask);
    }
  }
  return out;
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  gRecord.Open(aCount > 1 ? aArguments[1] : "record.txt");
  const auto hasTrouble = HasTrouble();
  Deployment deployment(3, kWorkers);
  auto& entries = deployment.mEntries;
  auto& workers = deployment.mWorkers;
  PutConfiguration(deployment.mStore,
                   1,
                   { Route("runs", kHost, "/runs/", 2, 4, 2.0, 200000),
                     Route("checks", kHost, "/checks/", 0, 2, 1.5, 20000) });
  deployment.Start();
  for (int i = 0; i < kEarlierJobs; ++i) {
    const auto ms = 1500 + 400 * i;
    entries[i % entries.size()]->Send(
      "POST",
      kHost,
      "/checks/" + JobId(0xb0, i),
      JobBody(std::to_string(ms), { { 1, 100, 20000, ms } }));
  }
  SleepMs(500);
  const auto large =
    entries[0]->Send("POST",
                     kHost,
                     "/runs/" + JobId(0xb1, 0),
                     JobBody(std::to_string(kLargeMs) + " saves",
                             { { kLargeTasks, 20, 180, kLargeMs, {}, true } }));
  if (large.mStatus != 200) {
    return 2;
  }
  const auto running = [&] {
    std::size_t out = 0;
    for (auto& it : workers) {
      out += it->Running();
    }
    return out;
  };
  if (!WaitUntil([&] { return running() == kLargeTasks; }, 25000)) {
    gRecord.Add("only %zu tasks of the large job run", running());
    return 2;
  }
  if (deployment.mStore.Refused() > 0) {
    gRecord.Add("a start got no answer in time, and its task was stopped");
    return 2;
  }
  gRecord.Add("all tasks of the large job run");

  const auto startedAt = NowMs();
  std::thread trouble([&] {
    SleepMs(3000);
    if (!hasTrouble) {
      return;
    }
    gRecord.Add("worker-0: turns slow, 6.5 times");
    workers[0]->mSlowness = 6.5;
    SleepMs(7000);
    workers[0]->mSlowness = 1;
    gRecord.Add("worker-0: is sound again");
  });
  std::vector<std::thread> clients;
  std::vector<std::unique_ptr<std::atomic<bool>>> accepted;
  while (NowMs() < startedAt + kTrafficMs) {
    const auto n = static_cast<int>(accepted.size());
    accepted.push_back(std::make_unique<std::atomic<bool>>(false));
    clients.emplace_back([&, n, flag = accepted.back().get()] {
      for (int k = 0; k < 4 && !*flag; ++k) {
        const auto answer = entries[(n + k) % entries.size()]->Send(
          "POST",
          kHost,
          "/checks/" + JobId(0xb2, n),
          JobBody("200", { { 6, 200, 64, 200 }, { 6, 200, 64, 200, { 0 } } }));
        *flag = answer.mStatus == 200;
        if (!*flag) {
          SleepMs(300);
        }
      }
    });
    SleepMs(72);
  }
  for (auto& it : clients) {
    it.join();
  }
  trouble.join();
  gRecord.Add("end of the traffic");
  SleepMs(kFinishMs);

  // A job that lacks a task has nothing running at any time in 3 s.
  const auto before = ReadRuns();
  SleepMs(3500);
  const auto after = ReadRuns();
  std::set<std::string> startedMeanwhile;
  for (const auto& it : gRuns.All()) {
    if (it.mWhat == "start" && it.mAtMs > NowMs() - 3500) {
      startedMeanwhile.insert(it.mTask.substr(0, 16));
    }
  }
  int numAccepted = 0;
  int notDone = 0;
  int idle = 0;
  for (std::size_t i = 0; i < accepted.size(); ++i) {
    if (!*accepted[i]) {
      continue;
    }
    ++numAccepted;
    const auto id = JobId(0xb2, i);
    const auto answer =
      entries[i % entries.size()]->Send("GET", kHost, "/checks/" + id);
    notDone += answer.mBody.find("done") == std::string::npos ? 1 : 0;
    const auto found = before.find(id);
    const auto doneTasks =
      found == before.end() ? 0 : found->second.mDone.size();
    const auto isIdle =
      doneTasks < 12 &&
      (found == before.end() || found->second.mRunning.empty()) &&
      !startedMeanwhile.contains(id);
    idle += isIdle ? 1 : 0;
  }
  const auto inUse = running() / 5;
  const auto text =
    std::to_string(numAccepted) + " of " + std::to_string(accepted.size()) +
    " ordinary jobs accepted; " + std::to_string(idle) +
    " had tasks left and nothing running for 3 s, " + std::to_string(notDone) +
    " not shown as done; at most " + std::to_string(inUse) +
    " of 96 cores in use; the store refused " +
    std::to_string(deployment.mStore.Refused()) + " calls";
  return Finish(idle > 0, "LOST: " + text);
}
