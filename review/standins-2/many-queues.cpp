// Case "many queues": the configuration grows by 700 routes, and clients hand
// in a job to each of the new queues. Without the trouble they hand in the same
// jobs to the one queue that there is.

#include "rig.h"

using namespace rig;

namespace {

constexpr auto kHost = "desk.example";
constexpr int kJobs = 700;
/** visible_ms + 2 s, after which accepted jobs have to be counted. */
constexpr std::int64_t kCountedMs = 5000;

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  gRecord.Open(aCount > 1 ? aArguments[1] : "record.txt");
  const auto hasTrouble = HasTrouble();
  Deployment deployment(3, 8);
  auto& entries = deployment.mEntries;
  json::array routes{ Route("base", kHost, "/base/", 1, 3, 2.0, 120000) };
  PutConfiguration(deployment.mStore, 1, routes);
  deployment.Start();
  if (hasTrouble) {
    for (int i = 0; i < kJobs; ++i) {
      const auto name = "queue" + std::to_string(i);
      routes.push_back(Route(name, kHost, "/" + name + "/", 1, 3, 2.0, 120000));
    }
    gRecord.Add("the configuration grows by %d routes", kJobs);
  }
  PutConfiguration(deployment.mStore, 2, routes);
  SleepMs(3000);
  const auto prefix = [&](int aJob) {
    return hasTrouble ? "/queue" + std::to_string(aJob) + "/"
                      : std::string("/base/");
  };

  // A long job takes all 128 cores; the jobs after it wait.
  const auto first =
    entries[0]->Send("POST",
                     kHost,
                     "/base/" + JobId(0xd1, 0),
                     JobBody("50000", { { 64, 2000, 256, 50000 } }));
  if (first.mStatus != 200) {
    return 2;
  }
  SleepMs(1500);
  // How often the cell's row in the system's own table changes its holder.
  std::atomic<bool> isWatched{ true };
  std::atomic<int> claims{ 0 };
  std::thread watch([&] {
    std::map<std::string, std::string> known;
    while (isWatched) {
      for (const auto& [key, value] : deployment.mStore.Read("control")) {
        if (key.starts_with("cell/")) {
          claims += known.contains(key) && known[key] != value ? 1 : 0;
          known[key] = value;
        }
      }
      SleepMs(50);
    }
  });
  std::vector<std::thread> clients;
  std::vector<std::unique_ptr<std::atomic<bool>>> accepted;
  for (int i = 0; i < kJobs; ++i) {
    accepted.push_back(std::make_unique<std::atomic<bool>>(false));
    clients.emplace_back([&, i, flag = accepted.back().get()] {
      for (int k = 0; k < 4 && !*flag; ++k) {
        const auto answer = entries[(i + k) % entries.size()]->Send(
          "POST",
          kHost,
          prefix(i) + JobId(0xd2, i),
          JobBody("500", { { 1, 2000, 64, 500 } }));
        *flag = answer.mStatus == 200;
      }
    });
    SleepMs(38);
  }
  for (auto& it : clients) {
    it.join();
  }
  SleepMs(kCountedMs + 500);

  // No task of these jobs has started: the first job still runs.
  std::set<std::string> begun;
  for (const auto& it : gRuns.All()) {
    begun.insert(it.mTask.substr(0, 16));
  }
  int waiting = 0;
  std::map<std::string, int> waitingByQueue;
  for (int i = 0; i < kJobs; ++i) {
    if (*accepted[i] && !begun.contains(JobId(0xd2, i))) {
      ++waiting;
      ++waitingByQueue[prefix(i)];
    }
  }
  int asked = 0;
  int wrong = 0;
  std::set<std::string> wrongEntries;
  for (auto& entry : entries) {
    for (const auto& [path, jobs] : waitingByQueue) {
      const auto answer = entry->Send("GET", kHost, path);
      const auto at = answer.mBody.find("\"pending\":");
      if (answer.mStatus != 200 || at == std::string::npos) {
        continue;
      }
      ++asked;
      if (2 * std::atoi(answer.mBody.c_str() + at + 10) < jobs) {
        ++wrong;
        wrongEntries.insert(entry->Name());
      }
    }
  }
  isWatched = false;
  watch.join();
  std::set<std::string> later;
  for (const auto& it : gRuns.All()) {
    later.insert(it.mTask.substr(0, 16));
  }
  if (later != begun || waiting < kJobs / 2) {
    gRecord.Add("jobs began while they were counted, or too few were accepted");
    return 2;
  }
  const auto text = std::to_string(waiting) + " accepted jobs wait in " +
                    std::to_string(waitingByQueue.size()) + " queues; " +
                    std::to_string(wrong) + " of " + std::to_string(asked) +
                    " counts are under half, at " +
                    std::to_string(wrongEntries.size()) +
                    " of 3 entries; the cell's row changed " +
                    std::to_string(claims) + " times, with no entry disturbed";
  return Finish(wrong > 0, "MIXED: " + text);
}
