// Time without an owner after a kill and after a planned stop: the longest
// time in which a worker is in no entry's list of owned workers.
#include <algorithm>
#include <iostream>
#include <map>
#include <thread>

#include "cluster.h"
#include "eelgrasspost/base/text.h"

namespace {

using namespace eelgrasspost;
using harness::Cluster;

constexpr std::size_t kRounds = 10;
constexpr auto kLongest = std::chrono::seconds(8);

enum class StopKind
{
  Kill,
  Planned,
};

using Seen = std::map<std::string, base::MonotonicTime>;

/** Notes which workers are owned now. */
auto Look(Cluster& aCluster, std::size_t aKilled, Seen& aSeen) -> void
{
  for (std::size_t i = 0; i < aCluster.mEntries.size(); ++i) {
    if (i == aKilled) {
      continue;
    }
    const auto status = aCluster.Status(i);
    const auto* workers = base::ArrayField(status, "owned_workers");
    const auto now = base::MonotonicClock::now();
    for (std::size_t n = 0; workers != nullptr && n < workers->size(); ++n) {
      aSeen[base::TextField((*workers)[n].get_object(), "worker")] = now;
    }
  }
}

/** Stops an entry and gives the longest time without an owner, in ms. */
auto Round(Cluster& aCluster, StopKind aKind, std::size_t aEntry) -> double
{
  Seen seen;
  for (const auto& it : aCluster.mWorkers) {
    seen[it.mId] = base::MonotonicClock::now();
  }
  const auto killed = aKind == StopKind::Kill ? aEntry : std::size_t(-1);
  auto& process = *aCluster.mEntries[aEntry].mProcess;
  aKind == StopKind::Kill ? process.Kill() : process.Terminate();
  base::MonotonicClock::duration longest{ 0 };
  const auto start = base::MonotonicClock::now();
  auto isWhole = false;
  while (!isWhole || base::MonotonicClock::now() - start <
                       std::chrono::milliseconds(1000)) {
    auto next = seen;
    Look(aCluster, killed, next);
    isWhole = true;
    for (const auto& [worker, at] : next) {
      const auto isOwned = at != seen[worker];
      isWhole = isWhole && isOwned;
      const auto until = isOwned ? at : base::MonotonicClock::now();
      longest = std::max(longest, until - seen[worker]);
    }
    seen = next;
    if (base::MonotonicClock::now() - start > kLongest) {
      break;
    }
  }
  return std::chrono::duration<double, std::milli>(longest).count();
}

auto Measure(StopKind aKind, const char* aName) -> void
{
  harness::ClusterOptions options;
  options.mEntriesPerDomain = 3;
  options.mWorkersPerDomain = 12;
  Cluster cluster(options);
  std::vector<double> times;
  for (std::size_t i = 0; i < kRounds; ++i) {
    cluster.WaitForOwners();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto entry = i % cluster.mEntries.size();
    times.push_back(Round(cluster, aKind, entry));
    cluster.mEntries[entry].mProcess->Wait();
    cluster.StartEntry(entry);
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }
  std::ranges::sort(times);
  std::cout << aName << ": p50 " << times[times.size() / 2] << " ms, max "
            << times.back() << " ms of " << times.size() << " rounds"
            << std::endl;
}

} // namespace

auto main() -> int
{
  Measure(StopKind::Kill, "after a kill");
  Measure(StopKind::Planned, "after a planned stop");
  return 0;
}
