// Case "waiting gang": large jobs come at once. They are gangs that have to
// wait until a job before them is done.

#include "rig.h"

using namespace rig;

namespace {

constexpr auto kHost = "desk.example";
constexpr int kJobs = 3;
/** The clients' deadline. */
constexpr std::int64_t kDeadlineMs = 3000;
constexpr std::int64_t kAskedMs = 35000;

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  gRecord.Open(aCount > 1 ? aArguments[1] : "record.txt");
  const auto hasTrouble = HasTrouble();
  Deployment deployment(3, 8);
  auto& entries = deployment.mEntries;
  PutConfiguration(deployment.mStore,
                   1,
                   { Route("runs", kHost, "/runs/", 2, 4, 2.0, 200000),
                     Route("checks", kHost, "/checks/", 0, 2, 1.5, 20000) });
  deployment.Start();
  // 32 of 128 cores are taken until the end.
  const auto first =
    entries[0]->Send("POST",
                     kHost,
                     "/checks/" + JobId(0xe1, 0),
                     JobBody("70000", { { 16, 2000, 256, 70000 } }));
  if (first.mStatus != 200) {
    return 2;
  }
  SleepMs(1500);
  // 100 cores a gang: as many small tasks, or as few large ones.
  Step step{ hasTrouble ? 2000 : 36, hasTrouble ? 50 : 2800, 16, 5000 };
  step.mGang = true;
  int accepted = 0;
  for (int i = 0; i < kJobs; ++i) {
    // After no answer, a request with the same id arrives again.
    auto isAccepted = false;
    for (int k = 0; k < 4 && !isAccepted; ++k) {
      const auto answer = entries[(i + k) % entries.size()]->Send(
        "POST", kHost, "/runs/" + JobId(0xe2, i), JobBody("5000", { step }));
      isAccepted = answer.mStatus == 200;
    }
    accepted += isAccepted ? 1 : 0;
  }
  gRecord.Add("%d gangs are accepted", accepted);
  if (accepted == 0) {
    return 2;
  }

  // Questions that need no call of the store, each at every entry at once.
  const auto until = NowMs() + kAskedMs;
  std::atomic<int> asked{ 0 };
  std::atomic<int> unanswered{ 0 };
  std::vector<std::thread> clients;
  for (auto& entry : entries) {
    clients.emplace_back([&, entry = entry.get()] {
      while (NowMs() < until) {
        const auto at = NowMs();
        const auto answer =
          entry->Send("GET", kHost, "/runs/", {}, kDeadlineMs);
        ++asked;
        unanswered += answer.mStatus == 0 ? 1 : 0;
        SleepMs(std::max<std::int64_t>(0, at + 1000 - NowMs()));
      }
    });
  }
  for (auto& it : clients) {
    it.join();
  }
  auto exited = 0;
  for (auto& it : entries) {
    exited += it->HasExited() ? 1 : 0;
  }
  const auto text =
    std::to_string(unanswered) + " of " + std::to_string(asked) +
    " questions got no answer within 3 s, with no disruption; " +
    std::to_string(exited) + " processes ended";
  return Finish(unanswered > 0, "Fault: " + text);
}
