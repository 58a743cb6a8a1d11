/**
 * Measures requests in a cluster of 3 failure domains, 50 workers of 8 slots
 * and 8 entries, as real processes on one machine. Each routing policy runs at
 * steady load, at a peak of four times that load, and at steady load again;
 * then the latency that an entry adds is measured. Prints tables; asserts
 * nothing.
 */

#include <algorithm>
#include <fstream>
#include <iostream>

#include <unistd.h>

#include <cxxopts.hpp>

#include "cluster.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/load/loadrun.h"

namespace {

using namespace eelgrasspost;
namespace json = base::json;

constexpr int kDomains = 3;
constexpr int kEntries = 8;
constexpr int kWorkers = 50;
constexpr int kSlots = 8;
constexpr double kPeakFactor = 4;
constexpr std::int64_t kLinkDelayUs = 1500;

struct BenchOptions
{
  std::string mPolicies = "p2c,random,least";
  std::int64_t mWorkMs = 200;
  std::int64_t mDeadlineMs = 1000;
  /** Steady load in percent of the capacity of all slots. */
  std::int64_t mSteadyPercent = 40;
  std::int64_t mSteadySeconds = 4;
  std::int64_t mPeakSeconds = 4;
  /** Workers whose requests take twice as long, as with a noisy neighbour. */
  std::size_t mSlowWorkers = 0;
};

auto MakeCluster(const std::string& aPolicy)
  -> std::unique_ptr<harness::Cluster>
{
  harness::ClusterOptions options;
  options.mDomains = kDomains;
  options.mEntries = kEntries;
  options.mWorkers = kWorkers;
  options.mSlots = kSlots;
  options.mDirectWorkers = true;
  options.mExtraSettings = base::Cat("[routing]\npolicy = ", aPolicy, "\n");
  auto out = std::make_unique<harness::Cluster>(options);
  for (const auto& to : out->mEntries) {
    for (const auto& from : out->mEntries) {
      if (to.mDomain != from.mDomain) {
        json::object fault;
        fault["from"] = from.mIp;
        fault["delay_us"] = kLinkDelayUs;
        out->InjectFault(to.mId, std::move(fault));
      }
    }
  }
  if (!out->WaitForOwners()) {
    throw std::runtime_error("some workers have no owner");
  }
  out->ApplyNote(out->MakeServiceNote("quotes", true));
  return out;
}

/** CPU time that a process has used, in microseconds. */
auto CpuTimeOf(pid_t aProcess) -> std::int64_t
{
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  constexpr int kFieldsBeforeUserTime = 11;
  auto in = std::ifstream(base::Cat("/proc/", aProcess, "/stat"));
  std::string text;
  std::getline(in, text);
  auto fields = std::istringstream(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  return (user + system) * kMicrosecondsPerSecond / sysconf(_SC_CLK_TCK);
}

auto EntriesCpuTime(const harness::Cluster& aCluster) -> std::int64_t
{
  std::int64_t sum = 0;
  for (const auto& it : aCluster.mEntries) {
    sum += CpuTimeOf(it.mProcess->Id());
  }
  return sum;
}

auto MaxSlotsUsed(harness::Cluster& aCluster) -> std::int64_t
{
  std::int64_t max = 0;
  for (std::size_t i = 0; i < aCluster.mWorkers.size(); ++i) {
    const auto observed = aCluster.ReadObservation(i);
    max = std::max(max, base::NumberField(observed, "most_requests"));
  }
  return max;
}

auto EntryTargets(const harness::Cluster& aCluster)
  -> std::vector<load::LoadTarget>
{
  std::vector<load::LoadTarget> out;
  out.reserve(aCluster.mEntries.size());
  for (const auto& it : aCluster.mEntries) {
    out.push_back({ it.mHttp, {} });
  }
  return out;
}

auto ToMilliseconds(base::Microseconds aTime) -> double
{
  constexpr double kMicrosecondsPerMs = 1000;
  return static_cast<double>(aTime.count()) / kMicrosecondsPerMs;
}

auto PrintPeakResult(const load::LoadPlan& aPlan,
                     const std::vector<load::StepResult>& aResults,
                     double aCapacity) -> void
{
  constexpr std::size_t kSteady = 0;
  constexpr std::size_t kPeak = 2;
  const auto& peak = aResults[kPeak];
  const auto seconds =
    std::chrono::duration<double>(aPlan.mSteps[kPeak].mDuration).count();
  const auto p99 = [&](std::size_t aStep) {
    return ToMilliseconds(
      load::QuantileOf(aResults[aStep].mAnsweredTimes, 0.99));
  };
  fmt::print("peak: answered in time {:.1f}% of the slots' capacity, p99 "
             "{:.2f} x steady, refusals p99 {:.2f} ms\n",
             100.0 * static_cast<double>(peak.mInTime) / (aCapacity * seconds),
             p99(kPeak) / p99(kSteady),
             ToMilliseconds(load::QuantileOf(peak.mRefusalTimes, 0.99)));
}

/** Sums a counter of all entries, over its labels. */
auto SumCounter(harness::Cluster& aCluster, const std::string& aName)
  -> std::int64_t
{
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < aCluster.mEntries.size(); ++i) {
    sum += aCluster.ReadCounter(i, aName);
  }
  return sum;
}

auto PrintCounters(harness::Cluster& aCluster) -> void
{
  for (const auto* it : { "forwards_total",
                          "spills_total",
                          "retries_total",
                          "ejections_total" }) {
    fmt::print("{} {}  ", it, SumCounter(aCluster, it));
  }
  fmt::print("\n");
}

auto MeasurePolicy(const std::string& aPolicy, const BenchOptions& aOptions)
  -> void
{
  constexpr double kMsPerSecond = 1000;
  constexpr double kPercent = 100;
  const auto cluster = MakeCluster(aPolicy);
  for (std::size_t i = 0; i < aOptions.mSlowWorkers; ++i) {
    json::object fault;
    fault["extra_request_ms"] = aOptions.mWorkMs;
    cluster->SetWorkerFaults(i, fault);
  }
  const auto capacity =
    kWorkers * kSlots * kMsPerSecond / static_cast<double>(aOptions.mWorkMs);
  const auto steady =
    capacity * static_cast<double>(aOptions.mSteadyPercent) / kPercent;
  const auto peak = steady * kPeakFactor;
  const auto steadyTime = std::chrono::seconds(aOptions.mSteadySeconds);
  load::LoadPlan plan;
  plan.mTargets = EntryTargets(*cluster);
  plan.mPath = base::Cat("/services/quotes/site?work_ms=", aOptions.mWorkMs);
  plan.mDeadline = base::Milliseconds(aOptions.mDeadlineMs);
  plan.mSteps = { { steady, steady, steadyTime },
                  { steady, peak, std::chrono::seconds(2) },
                  { peak, peak, std::chrono::seconds(aOptions.mPeakSeconds) },
                  { steady, steady, steadyTime } };
  const auto before = EntriesCpuTime(*cluster);
  const auto results = load::RunLoad(plan);
  const auto cpuTime = EntriesCpuTime(*cluster) - before;
  std::int64_t sent = 0;
  for (const auto& it : results) {
    sent += it.mSent;
  }
  fmt::print("\npolicy {}\n{}", aPolicy, load::ToTable(plan, results));
  PrintPeakResult(plan, results, capacity);
  fmt::print("CPU time of the entries {:.0f} us per request, max slots used of "
             "a worker {}\n",
             static_cast<double>(cpuTime) / static_cast<double>(sent),
             MaxSlotsUsed(*cluster));
  PrintCounters(*cluster);
}

/** The workers that an entry owns, as load targets with its fencing token. */
auto OwnedWorkers(harness::Cluster& aCluster, std::size_t aEntry)
  -> std::vector<load::LoadTarget>
{
  std::vector<load::LoadTarget> out;
  const auto status = aCluster.Status(aEntry);
  for (const auto& it : *base::ArrayField(status, "owned_workers")) {
    const auto id = base::TextField(it.get_object(), "worker");
    const auto worker =
      std::ranges::find(aCluster.mWorkers, id, &harness::WorkerNode::mId);
    const auto token = base::TextField(it.get_object(), "token");
    out.push_back({ worker->mDirect, { { "Fencing-Token", token } } });
  }
  return out;
}

/** Compares the median response time through an entry with that of direct
 * calls to the workers. */
auto MeasureAddedTime() -> void
{
  constexpr int kRounds = 3;
  const auto cluster = MakeCluster("p2c");
  load::LoadPlan through;
  through.mTargets = { { cluster->mEntries[0].mHttp, {} } };
  through.mPath = "/services/quotes/site?work_ms=2";
  through.mSteps = load::ParseSteps("300:2").value();
  through.mThreads = 1;
  auto direct = through;
  direct.mTargets = OwnedWorkers(*cluster, 0);
  direct.mPath = "/site?work_ms=2";
  fmt::print("\nmedian latency added by an entry, 300 requests per second\n");
  for (int i = 0; i < kRounds; ++i) {
    const auto without = load::RunLoad(direct);
    const auto with = load::RunLoad(through);
    const auto median = [](const std::vector<load::StepResult>& aResults) {
      return ToMilliseconds(load::QuantileOf(aResults[0].mAnsweredTimes, 0.5));
    };
    fmt::print("direct {:.3f} ms, through an entry {:.3f} ms, added {:.3f} "
               "ms\n",
               median(without),
               median(with),
               median(with) - median(without));
  }
}

auto ParseOptions(int aCount, char** aArguments) -> BenchOptions
{
  BenchOptions out;
  auto options = cxxopts::Options("eelgrasspost-bench-requests");
  options.add_options()("policies", "", cxxopts::value(out.mPolicies))(
    "work-ms", "", cxxopts::value(out.mWorkMs))(
    "deadline-ms", "", cxxopts::value(out.mDeadlineMs))(
    "steady-percent", "", cxxopts::value(out.mSteadyPercent))(
    "steady-seconds", "", cxxopts::value(out.mSteadySeconds))(
    "crest-seconds", "", cxxopts::value(out.mPeakSeconds))(
    "slow-workers", "", cxxopts::value(out.mSlowWorkers));
  options.parse(aCount, aArguments);
  return out;
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  const auto options = ParseOptions(aCount, aArguments);
  for (const auto& it : base::Split(options.mPolicies, ',')) {
    MeasurePolicy(it, options);
  }
  MeasureAddedTime();
  return 0;
}
