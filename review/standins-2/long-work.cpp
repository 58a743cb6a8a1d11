// Case "long work": large jobs come at once. Their tasks work for minutes, as
// those of overnight jobs do; without the trouble the same jobs are short. The
// tasks need a label that one of the workers has.

#include "rig.h"

using namespace rig;

namespace {

constexpr auto kHost = "desk.example";
constexpr int kWorkers = 6;
constexpr int kJobs = 3;
constexpr std::int64_t kFinishMs = 14000;
constexpr std::int64_t kWatchedMs = 40000;
/** The rule says 3 s. */
constexpr std::int64_t kIdleMs = 3000;

struct Interval
{
  std::int64_t mFrom = 0;
  std::int64_t mUntil = 0;
};

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  gRecord.Open(aCount > 1 ? aArguments[1] : "record.txt");
  const auto hasTrouble = HasTrouble();
  WorkerOptions options;
  options.mStopMs = 50;
  Deployment deployment(3, kWorkers, options);
  auto& entries = deployment.mEntries;
  PutConfiguration(deployment.mStore,
                   1,
                   { Route("plans", kHost, "/plans/", 1, 4, 2.0, 600000),
                     Route("surveys", kHost, "/surveys/", 2, 4, 2.0, 600000) });
  deployment.Start();

  // All tasks together need 1.2 of the 16 cores of the worker that suits.
  const int planMs = hasTrouble ? 240000 : 8000;
  const int surveyMs = hasTrouble ? 600000 : 12000;
  std::vector<std::string> ids;
  std::map<std::string, int> tasks;
  for (int i = 0; i < kJobs; ++i) {
    for (const auto isSurvey : { false, true }) {
      const auto duration = isSurvey ? surveyMs : planMs;
      Step step{ 2, 100, 128, duration };
      step.mFills = isSurvey;
      step.mLabel = "b";
      const auto id = JobId(isSurvey ? 0xc2 : 0xc1, i);
      const auto answer = entries[i % entries.size()]->Send(
        "POST",
        kHost,
        (isSurvey ? "/surveys/" : "/plans/") + id,
        JobBody(std::to_string(duration), { step }));
      if (answer.mStatus == 200) {
        ids.push_back(id);
        tasks[id] = step.mCount;
      }
      SleepMs(250);
    }
  }
  if (ids.size() < 2 * kJobs) {
    return 2;
  }
  gRecord.Add("end of the traffic");
  SleepMs(kFinishMs);
  const auto from = NowMs();
  gRecord.Add("the jobs are watched");
  SleepMs(kWatchedMs);
  const auto until = NowMs();

  // For each job, the longest time without a run while a task was left.
  const auto all = gRuns.All();
  int idle = 0;
  std::int64_t longest = 0;
  std::size_t starts = 0;
  std::size_t done = 0;
  for (const auto& it : all) {
    starts += it.mWhat == "start" ? 1 : 0;
    done += it.mWhat == "done" ? 1 : 0;
  }
  for (const auto& id : ids) {
    int running = 0;
    int left = tasks[id];
    auto since = from;
    std::int64_t gap = 0;
    for (const auto& it : all) {
      if (it.mTask.substr(0, 16) != id) {
        continue;
      }
      const auto at = std::clamp(it.mAtMs, from, until);
      if (it.mWhat == "start") {
        gap = running == 0 && left > 0 ? std::max(gap, at - since) : gap;
        ++running;
      } else {
        --running;
        left -= it.mWhat == "done" ? 1 : 0;
        since = at;
      }
    }
    gap = running == 0 && left > 0 ? std::max(gap, until - since) : gap;
    idle += gap > kIdleMs ? 1 : 0;
    longest = std::max(longest, gap);
    entries[0]->Send(
      "GET", kHost, (id[7] == '1' ? "/plans/" : "/surveys/") + id);
  }
  const auto text = std::to_string(idle) + " of " + std::to_string(ids.size()) +
                    " accepted jobs had nothing running for over 3 s, " +
                    std::to_string(longest) +
                    " ms at most, with at most 1.2 of its 16 cores in use; " +
                    std::to_string(starts) + " starts for " +
                    std::to_string(2 * ids.size()) + " tasks, " +
                    std::to_string(done) + " done";
  return Finish(idle > 0, "LOST: " + text);
}
