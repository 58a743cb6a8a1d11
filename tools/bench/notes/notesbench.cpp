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
constexpr auto kGiveUp = std::chrono::seconds(60);

struct Condition
{
  std::string_view mName;
  int mDelayMs;
  int mDropPercent;
  bool mIsAwayAfter;
};

auto Quantile(std::vector<std::int64_t> aValues, double aQuantile)
  -> std::int64_t
{
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aQuantile * last)];
}

auto SetPlatform(Cluster& aCluster, int aDelayMs, bool aIsDown) -> void
{
  json::object fault;
  fault["delay_ms"] = aDelayMs;
  fault["down"] = aIsDown;
  aCluster.PlatformFault(fault);
}

auto AllHave(Cluster& aCluster, std::int64_t aRevision) -> bool
{
  for (std::size_t i = 0; i < aCluster.mEntries.size(); ++i) {
    if (base::NumberField(aCluster.Status(i), "revision") < aRevision) {
      return false;
    }
  }
  return true;
}

/** Milliseconds from the accepting answer until all entries have the note. */
auto MeasureOne(Cluster& aCluster, int aRevision, const Condition& aCondition)
  -> std::int64_t
{
  auto note = aCluster.NoteAdding(base::Cat("service-", aRevision), true);
  note["base"] = aRevision - 1;
  const auto entry =
    static_cast<std::size_t>(aRevision) % aCluster.mEntries.size();
  const auto answer = aCluster.Http().Post(
    aCluster.mEntries[entry].mHttp, "/release-notes", note);
  const auto accepted = base::MonotonicClock::now();
  if (base::NumberField(answer, "revision") != aRevision) {
    throw std::runtime_error("refused: " + base::ToText(answer));
  }
  if (aCondition.mIsAwayAfter) {
    SetPlatform(aCluster, aCondition.mDelayMs, true);
  }
  while (!AllHave(aCluster, aRevision) &&
         base::MonotonicClock::now() - accepted < kGiveUp) {
    std::this_thread::sleep_for(kSampleInterval);
  }
  const auto taken = base::MonotonicClock::now() - accepted;
  SetPlatform(aCluster, aCondition.mDelayMs, false);
  return std::chrono::duration_cast<base::Milliseconds>(taken).count();
}

auto MeasureInForce(const Condition& aCondition) -> void
{
  harness::ClusterOptions options;
  options.mDomains = 2;
  options.mEntriesPerDomain = 4;
  Cluster cluster(options);
  cluster.WaitForOwners();
  SetPlatform(cluster, aCondition.mDelayMs, false);
  json::object loss;
  loss["drop_percent"] = aCondition.mDropPercent;
  for (const auto& it : cluster.mEntries) {
    cluster.Fault(it.mId, loss);
  }
  std::vector<std::int64_t> times;
  for (int n = 1; n <= kNotes; ++n) {
    times.push_back(MeasureOne(cluster, n, aCondition));
  }
  std::cout << fmt::format("{:<28} p50 {:>5} ms  max {:>5} ms  of {} notes\n",
                           aCondition.mName,
                           Quantile(times, 0.5),
                           Quantile(times, 1.0),
                           times.size());
}

auto MeasureIdle() -> void
{
  constexpr std::int64_t kSeconds = 10;
  harness::ClusterOptions options;
  options.mDomains = 2;
  options.mEntriesPerDomain = 4;
  Cluster cluster(options);
  cluster.WaitForOwners();
  const auto counts = [&](std::string_view aKey) {
    return base::NumberField(
      cluster.Http().Post(cluster.Platform(), "/counts", {}), aKey);
  };
  const auto reads = counts("reads");
  const auto writes = counts("writes");
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  std::cout << fmt::format(
    "idle, 8 entries: {:.1f} reads/s {:.1f} writes/s\n",
    static_cast<double>(counts("reads") - reads) / kSeconds,
    static_cast<double>(counts("writes") - writes) / kSeconds);
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

/** Bytes and time that one change costs at a size of the state. */
auto MeasureChange(std::size_t aServices) -> void
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
  const auto taken = std::chrono::duration_cast<base::Microseconds>(
    base::MonotonicClock::now() - start);
  const auto whole = releasenote::EncodeState(state).size();
  std::cout << fmt::format(
    "{:>7} services: {:>5} bytes and {:>6.1f} us a change; state {} bytes\n",
    aServices,
    bytes / kChanges,
    static_cast<double>(taken.count()) / kChanges,
    whole);
}

} // namespace

auto main() -> int
{
  for (const std::size_t n : { 1'000, 10'000, 100'000 }) {
    MeasureChange(n);
  }
  for (const auto& it :
       { Condition{ "store healthy", 0, 0, false },
         Condition{ "store slow (1 s a call)", 1000, 0, false },
         Condition{ "store away after acceptance", 0, 0, true },
         Condition{ "20% lost datagrams", 0, 20, false } }) {
    MeasureInForce(it);
  }
  MeasureIdle();
  return 0;
}
