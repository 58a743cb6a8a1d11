// Measures how long workers have no owner after an entry is killed and after a
// planned stop: the longest time for which a worker is missing from the list of
// owned workers of every entry.
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
constexpr auto kRoundTimeout = std::chrono::seconds(8);

enum class StopKind
{
  Kill,
  Planned,
};

using LastOwnedTimes = std::map<std::string, base::MonotonicTime>;

/** Records the current time for every worker that an entry owns. */
auto RecordOwnedWorkers(Cluster& aCluster,
                        std::size_t aKilledEntry,
                        LastOwnedTimes& aLastOwned) -> void
{
  for (std::size_t i = 0; i < aCluster.mEntries.size(); ++i) {
    if (i == aKilledEntry) {
      continue;
    }
    const auto status = aCluster.Status(i);
    const auto* workers = base::ArrayField(status, "owned_workers");
    const auto now = base::MonotonicClock::now();
    for (std::size_t n = 0; workers != nullptr && n < workers->size(); ++n) {
      aLastOwned[base::TextField((*workers)[n].get_object(), "worker")] = now;
    }
  }
}

/** Stops an entry and returns the longest time without an owner, in ms. */
auto MeasureRound(Cluster& aCluster, StopKind aKind, std::size_t aEntry)
  -> double
{
  LastOwnedTimes lastOwned;
  for (const auto& it : aCluster.mWorkers) {
    lastOwned[it.mId] = base::MonotonicClock::now();
  }
  const auto killed = aKind == StopKind::Kill ? aEntry : std::size_t(-1);
  auto& process = *aCluster.mEntries[aEntry].mProcess;
  aKind == StopKind::Kill ? process.Kill() : process.Terminate();
  base::MonotonicClock::duration longest{ 0 };
  const auto start = base::MonotonicClock::now();
  auto areAllOwned = false;
  while (!areAllOwned || base::MonotonicClock::now() - start <
                           std::chrono::milliseconds(1000)) {
    auto latest = lastOwned;
    RecordOwnedWorkers(aCluster, killed, latest);
    areAllOwned = true;
    for (const auto& [worker, at] : latest) {
      const auto isOwned = at != lastOwned[worker];
      areAllOwned = areAllOwned && isOwned;
      const auto until = isOwned ? at : base::MonotonicClock::now();
      longest = std::max(longest, until - lastOwned[worker]);
    }
    lastOwned = latest;
    if (base::MonotonicClock::now() - start > kRoundTimeout) {
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
    times.push_back(MeasureRound(cluster, aKind, entry));
    cluster.mEntries[entry].mProcess->Wait();
    cluster.StartEntry(entry);
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }
  std::ranges::sort(times);
  std::cout << aName << ": p50 " << times[times.size() / 2] << " ms, max "
            << times.back() << " ms over " << times.size() << " rounds"
            << std::endl;
}

} // namespace

auto main() -> int
{
  Measure(StopKind::Kill, "after a kill");
  Measure(StopKind::Planned, "after a planned stop");
  return 0;
}
