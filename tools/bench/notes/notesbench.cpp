// Time until all entries have applied a release note, load of idle entries on
// the store, and cost of one change by the number of services. Measures only;
// asserts nothing.
#include <algorithm>
#include <iostream>
#include <thread>

#include "cluster.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/releasenote/notecodec.h"

namespace {

using namespace eelgrasspost;
using harness::Cluster;
namespace json = base::json;

constexpr int kNotes = 20;
constexpr auto kSampleInterval = base::Milliseconds(5);
constexpr auto kTimeout = std::chrono::seconds(60);

struct Condition
{
  std::string_view mName;
  int mDelayMs;
  int mDropPercent;
  bool mIsDownAfterAccept;
};

auto Quantile(std::vector<std::int64_t> aValues, double aQuantile)
  -> std::int64_t
{
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aQuantile * last)];
}

auto SetPlatformCondition(Cluster& aCluster, int aDelayMs, bool aIsDown) -> void
{
  json::object fault;
  fault["delay_ms"] = aDelayMs;
  fault["down"] = aIsDown;
  aCluster.SetPlatformFaults(fault);
}

auto HaveAllApplied(Cluster& aCluster, std::int64_t aRevision) -> bool
{
  for (std::size_t i = 0; i < aCluster.mEntries.size(); ++i) {
    if (base::NumberField(aCluster.Status(i), "revision") < aRevision) {
      return false;
    }
  }
  return true;
}

/** Milliseconds from the response that accepts a note until all entries have
 * applied it. */
auto MeasurePropagation(Cluster& aCluster,
                        int aRevision,
                        const Condition& aCondition) -> std::int64_t
{
  auto note = aCluster.MakeServiceNote(base::Cat("service-", aRevision), true);
  note["base"] = aRevision - 1;
  const auto entry =
    static_cast<std::size_t>(aRevision) % aCluster.mEntries.size();
  const auto response = aCluster.Http().Post(
    aCluster.mEntries[entry].mHttp, "/release-notes", note);
  const auto accepted = base::MonotonicClock::now();
  if (base::NumberField(response, "revision") != aRevision) {
    throw std::runtime_error("release note rejected: " +
                             base::ToText(response));
  }
  if (aCondition.mIsDownAfterAccept) {
    SetPlatformCondition(aCluster, aCondition.mDelayMs, true);
  }
  while (!HaveAllApplied(aCluster, aRevision) &&
         base::MonotonicClock::now() - accepted < kTimeout) {
    std::this_thread::sleep_for(kSampleInterval);
  }
  const auto elapsed = base::MonotonicClock::now() - accepted;
  SetPlatformCondition(aCluster, aCondition.mDelayMs, false);
  return std::chrono::duration_cast<base::Milliseconds>(elapsed).count();
}

auto MeasureCondition(const Condition& aCondition) -> void
{
  harness::ClusterOptions options;
  options.mDomains = 2;
  options.mEntriesPerDomain = 4;
  Cluster cluster(options);
  cluster.WaitForOwners();
  SetPlatformCondition(cluster, aCondition.mDelayMs, false);
  json::object datagramLoss;
  datagramLoss["drop_percent"] = aCondition.mDropPercent;
  for (const auto& it : cluster.mEntries) {
    cluster.InjectFault(it.mId, datagramLoss);
  }
  std::vector<std::int64_t> times;
  for (int n = 1; n <= kNotes; ++n) {
    times.push_back(MeasurePropagation(cluster, n, aCondition));
  }
  std::cout << fmt::format("{:<28} p50 {:>5} ms  max {:>5} ms  of {} notes\n",
                           aCondition.mName,
                           Quantile(times, 0.5),
                           Quantile(times, 1.0),
                           times.size());
}

auto MeasureIdleStoreLoad() -> void
{
  constexpr std::int64_t kSeconds = 10;
  harness::ClusterOptions options;
  options.mDomains = 2;
  options.mEntriesPerDomain = 4;
  Cluster cluster(options);
  cluster.WaitForOwners();
  const auto readCount = [&](std::string_view aKey) {
    return base::NumberField(
      cluster.Http().Post(cluster.Platform(), "/counts", {}), aKey);
  };
  const auto reads = readCount("reads");
  const auto writes = readCount("writes");
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  std::cout << fmt::format(
    "idle, 8 entries: {:.1f} store reads/s, {:.1f} store writes/s\n",
    static_cast<double>(readCount("reads") - reads) / kSeconds,
    static_cast<double>(readCount("writes") - writes) / kSeconds);
}

auto MakeNote(std::uint64_t aBase, std::size_t aFirst, std::size_t aCount)
  -> releasenote::ReleaseNote
{
  releasenote::ReleaseNote out;
  out.mBaseRevision = aBase;
  for (auto i = aFirst; i < aFirst + aCount; ++i) {
    releasenote::ServiceSpec service;
    service.mName = base::Cat("service-", i);
    service.mEndpoints.push_back(
      { base::Cat("worker-", i), { "127.0.0.1", 9000 } });
    out.mAddedServices.push_back(std::move(service));
  }
  return out;
}

/** Measures size and time of one change to a state with that many services. */
auto MeasureChangeCost(std::size_t aServices) -> void
{
  constexpr int kChanges = 200;
  auto state = releasenote::ApplyNote({}, MakeNote(0, 0, aServices)).value();
  std::size_t bytes = 0;
  const auto start = base::MonotonicClock::now();
  for (int i = 0; i < kChanges; ++i) {
    const auto note =
      MakeNote(state.mRevision, aServices + static_cast<std::size_t>(i), 1);
    const auto next = releasenote::ApplyNote(state, note).value();
    const auto text = releasenote::EncodeRevision(
      { next.mRevision, "ana", 0, "s", next.mDigest, note });
    bytes += text.size();
    const auto revision = releasenote::DecodeRevision(text).value();
    state = releasenote::ApplyRevision(state, revision).value();
  }
  const auto elapsed = std::chrono::duration_cast<base::Microseconds>(
    base::MonotonicClock::now() - start);
  const auto stateBytes = releasenote::EncodeState(state).size();
  std::cout << fmt::format(
    "{:>7} services: {:>5} bytes and {:>6.1f} us per change; state {} bytes\n",
    aServices,
    bytes / kChanges,
    static_cast<double>(elapsed.count()) / kChanges,
    stateBytes);
}

} // namespace

auto main() -> int
{
  for (const std::size_t n : { 1'000, 10'000, 100'000 }) {
    MeasureChangeCost(n);
  }
  for (const auto& it :
       { Condition{ "store healthy", 0, 0, false },
         Condition{ "store slow (1 s per call)", 1000, 0, false },
         Condition{ "store down after acceptance", 0, 0, true },
         Condition{ "20% lost datagrams", 0, 20, false } }) {
    MeasureCondition(it);
  }
  MeasureIdleStoreLoad();
  return 0;
}
