// Case "settings change": the settings file of two of three entries changes, as
// the platform's store takes more writes a second. The entries are restarted in
// turn, in either case, and get the settings in effect at that moment.

#include "rig.h"

using namespace rig;

namespace {

constexpr int kJobs = 32;
constexpr auto kHost = "desk.example";
constexpr std::int64_t kVisibleMs = 3000;
constexpr std::int64_t kContactMs = 4000;

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  gRecord.Open(aCount > 1 ? aArguments[1] : "record.txt");
  const auto hasTrouble = HasTrouble();
  Deployment deployment(3, 6);
  auto& entries = deployment.mEntries;
  PutConfiguration(deployment.mStore,
                   1,
                   { Route("plans", kHost, "/plans/", 1, 4, 2.0, 60000) });
  deployment.Start();
  const auto target = [](int aJob) { return "/plans/" + JobId(0xa1, aJob); };

  std::vector<int> accepted;
  std::int64_t lastAcceptedAt = 0;
  for (int i = 0; i < kJobs; ++i) {
    const auto answer = entries[i % entries.size()]->Send(
      "POST", kHost, target(i), JobBody("25000", { { 3, 500, 256, 25000 } }));
    if (answer.mStatus == 200) {
      accepted.push_back(i);
      lastAcceptedAt = NowMs();
    }
    SleepMs(40);
  }
  SleepMs(1000);
  if (accepted.size() < kJobs) {
    gRecord.Add("only %zu jobs were accepted", accepted.size());
    return 2;
  }

  if (hasTrouble) {
    gRecord.Add("the settings of entry-0 and entry-1 change: writesPerS 1200 "
                "instead of 600");
    entries[0]->Options().mWritesPerS = 1200;
    entries[1]->Options().mWritesPerS = 1200;
  }
  for (auto& it : entries) {
    it->Terminate();
    SleepMs(300);
    it->Start();
    WaitUntil([&] { return it->IsReady(); }, 10000);
    gRecord.Add("%s: restarted", it->Name().c_str());
    SleepMs(1000);
  }

  // No machine was disturbed in the last contactMs, and all are in touch.
  SleepMs(kContactMs + 1000);
  const auto isLate = NowMs() > lastAcceptedAt + kVisibleMs;
  int gone = 0;
  for (const auto it : accepted) {
    for (auto& entry : entries) {
      if (entry->Send("GET", kHost, target(it)).mStatus == 410 && isLate) {
        ++gone;
      }
    }
  }
  // Long enough for each job to be done, also if all its runs began anew.
  SleepMs(45000);
  int done = 0;
  for (const auto it : accepted) {
    const auto answer = entries[0]->Send("GET", kHost, target(it));
    done += answer.mBody.find("done") != std::string::npos ? 1 : 0;
  }
  const auto text = std::to_string(accepted.size()) + " jobs accepted, " +
                    std::to_string(gone) + " of " +
                    std::to_string(accepted.size() * entries.size()) +
                    " questions answered 410, " + std::to_string(done) +
                    " jobs done at the end";
  return Finish(gone > 0, "LOST: " + text);
}
