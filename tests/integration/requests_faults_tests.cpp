#define BOOST_TEST_MODULE requests_faults
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cluster.h"
#include "eelgrasspost/base/text.h"

namespace {

using namespace eelgrasspost;
using harness::Cluster;
using harness::ClusterOptions;
using harness::SyncHttp;
using harness::WaitUntil;
namespace json = base::json;

constexpr auto kSlotReleaseTimeout = base::Milliseconds(20000);
constexpr int kCallers = 4;
constexpr int kSlots = 8;

/** A fault to inject; a case combines one or two of them. */
enum class Fault
{
  None,
  Kill,
  Pause,
  BlockToWorker,
  IsolateWorker,
  IsolateEntry,
  SlowWorker,
  TruncatedBody,
  StoreDown,
  StoreLosesResponses,
  Duplicated,
};

struct FaultCase
{
  std::string mName;
  std::vector<Fault> mFaults;
};

auto operator<<(std::ostream& aOut, const FaultCase& aCase) -> std::ostream&
{
  return aOut << aCase.mName;
}

const auto kCases = std::vector<FaultCase>{
  { "none", { Fault::None } },
  { "kill", { Fault::Kill } },
  { "pause", { Fault::Pause } },
  { "worker_blocked_one_way", { Fault::BlockToWorker } },
  { "worker_isolated", { Fault::IsolateWorker } },
  { "entry_isolated", { Fault::IsolateEntry } },
  { "slow_worker", { Fault::SlowWorker } },
  { "truncated_body", { Fault::TruncatedBody } },
  { "store_down", { Fault::StoreDown } },
  { "lost_responses", { Fault::StoreLosesResponses } },
  { "duplicated", { Fault::Duplicated } },
  { "store_down_and_kill", { Fault::StoreDown, Fault::Kill } },
  { "pause_and_worker_isolated", { Fault::Pause, Fault::IsolateWorker } },
  { "lost_responses_and_truncated_body",
    { Fault::StoreLosesResponses, Fault::TruncatedBody } },
};

/** Number of each outcome that callers got for one request id. */
struct OutcomeCounts
{
  int mAnswered = 0;
  int mNotRun = 0;
  /** Outcome unknown, or no response from the entry. */
  int mUnknown = 0;
};

auto MakeOptions() -> ClusterOptions
{
  ClusterOptions out;
  out.mSlots = kSlots;
  return out;
}

struct FaultFixture
{
  FaultFixture()
  {
    BOOST_TEST_REQUIRE(mCluster.WaitForOwners());
    auto note = mCluster.MakeServiceNote("quotes", true);
    const auto bills = mCluster.MakeServiceNote("bills", false);
    auto& added = note["services"].as_object()["add"].as_array();
    added.push_back(
      bills.at("services").as_object().at("add").as_array().at(0));
    mCluster.ApplyNote(note);
  }

  auto Addresses() -> std::vector<net::Address>
  {
    auto lock = std::lock_guard(mMutex);
    return { mCluster.mEntries[0].mHttp, mCluster.mEntries[1].mHttp };
  }

  auto AddProblem(const std::string& aId, const std::string& aProblem) -> void
  {
    auto lock = std::lock_guard(mMutex);
    mProblems.push_back(aId + ": " + aProblem);
  }

  /** Checks one exchange and counts its outcome. */
  auto RecordExchange(const std::string& aId,
                      const std::string& aBody,
                      const net::HttpExchange& aExchange) -> void
  {
    const auto outcome =
      std::string(aExchange.mStatus.ok()
                    ? net::FindField(aExchange.mResponse.mFields, "Outcome")
                    : "unknown");
    if (outcome == "answered") {
      const auto body = base::ParseObject(aExchange.mResponse.mBody);
      if (!body.ok() || base::TextField(*body, "request") != aId ||
          base::TextField(*body, "echo") != aBody) {
        AddProblem(aId,
                   "response body of another request: " +
                     aExchange.mResponse.mBody);
      }
    } else if (outcome != "not_run" && outcome != "unknown") {
      AddProblem(aId,
                 "missing or invalid outcome: " + aExchange.mResponse.mBody);
    }
    auto lock = std::lock_guard(mMutex);
    auto& outcomes = mOutcomes[aId];
    auto& count = outcome == "answered"  ? outcomes.mAnswered
                  : outcome == "not_run" ? outcomes.mNotRun
                                         : outcomes.mUnknown;
    ++count;
  }

  /** Sends requests until stopped; each bill through both entries, with the
   * same idempotency key. */
  auto CallUntilStopped(int aCaller) -> void
  {
    auto http = SyncHttp();
    for (int i = 0; !mIsStopping; ++i) {
      const auto isBill = i % 2 == 0;
      const auto id = base::Cat(isBill ? "bill-" : "quote-", aCaller, "-", i);
      net::HttpRequest request;
      request.mMethod = "POST";
      request.mTarget = base::Cat(
        "/services/", isBill ? "bills" : "quotes", "/x?work_ms=", i % 4 * 5);
      request.mFields = { { "Request-Id", id }, { "Idempotency-Key", id } };
      request.mBody = std::string(200 + i % 50, 'b');
      for (int n = 0; n < (isBill ? 2 : 1); ++n) {
        const auto entry = Addresses()[(i / 2 + aCaller + n) % 2];
        constexpr auto kTimeout = base::Milliseconds(6000);
        RecordExchange(
          id, request.mBody, http.Exchange(entry, request, kTimeout));
      }
    }
  }

  auto Inject(Fault aFault) -> void
  {
    json::object fault;
    switch (aFault) {
      case Fault::Kill:
        mCluster.mEntries[0].mProcess->Kill();
        break;
      case Fault::Pause:
        mCluster.mEntries[0].mProcess->Pause();
        break;
      case Fault::BlockToWorker:
        fault["cut_to"] = true;
        mCluster.InjectFault("worker-1", fault);
        break;
      case Fault::IsolateWorker:
        fault["cut_to"] = true;
        fault["cut_back"] = true;
        mCluster.InjectFault("worker-1", fault);
        break;
      case Fault::IsolateEntry:
        fault["cut_to"] = true;
        fault["cut_back"] = true;
        mCluster.InjectFault("entry-1", fault);
        break;
      case Fault::SlowWorker:
        fault["delay_ms"] = 300;
        mCluster.InjectFault("worker-1", fault);
        break;
      case Fault::TruncatedBody:
        fault["close_after_back"] = 150;
        mCluster.InjectFault("worker-1", fault);
        break;
      case Fault::StoreDown:
        fault["down"] = true;
        mCluster.SetPlatformFaults(fault);
        break;
      case Fault::StoreLosesResponses:
        fault["lose_answers"] = 20;
        mCluster.SetPlatformFaults(fault);
        break;
      case Fault::Duplicated:
        fault["duplicate_percent"] = 100;
        mCluster.InjectFault("entry-1", fault);
        mCluster.InjectFault("entry-2", fault);
        break;
      case Fault::None:
        break;
    }
  }

  auto Clear(Fault aFault) -> void
  {
    if (aFault == Fault::Kill) {
      auto lock = std::lock_guard(mMutex);
      mCluster.StartEntry(0);
    } else if (aFault == Fault::Pause) {
      mCluster.mEntries[0].mProcess->Resume();
    }
    for (const auto* link : { "worker-1", "entry-1", "entry-2" }) {
      mCluster.ClearFault(link);
    }
    mCluster.SetPlatformFaults({});
  }

  auto RunWithFaults(const FaultCase& aCase) -> void
  {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { CallUntilStopped(i); });
    }
    constexpr auto kBefore = std::chrono::milliseconds(300);
    // Longer than the 2 s after which an entry without heartbeats is declared
    // dead, so that another entry claims its workers.
    constexpr auto kFaultDuration = std::chrono::milliseconds(2600);
    constexpr auto kAfter = std::chrono::milliseconds(500);
    std::this_thread::sleep_for(kBefore);
    for (const auto it : aCase.mFaults) {
      Inject(it);
    }
    std::this_thread::sleep_for(kFaultDuration);
    for (const auto it : aCase.mFaults) {
      Clear(it);
    }
    std::this_thread::sleep_for(kAfter);
    mIsStopping = true;
    for (auto& it : callers) {
      it.join();
    }
  }

  auto CheckRuns() -> void
  {
    std::map<std::string, std::int64_t> runs;
    for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
      const auto observed = mCluster.ReadObservation(i);
      BOOST_TEST(base::NumberField(observed, "most_requests") <= kSlots);
      for (const auto& it : *base::ObjectField(observed, "runs_by_request")) {
        runs[std::string(it.key())] += it.value().to_number<std::int64_t>();
      }
    }
    for (const auto& [id, outcomes] : mOutcomes) {
      const auto count = runs[id];
      if (id.starts_with("bill-") && count > 1) {
        AddProblem(id, base::Cat("ran ", count, " times"));
      }
      if (outcomes.mAnswered + outcomes.mUnknown == 0 && count > 0) {
        AddProblem(id, "was reported as not run, but ran");
      }
      if (outcomes.mAnswered > 0 && count == 0) {
        AddProblem(id, "was answered, but never ran");
      }
    }
  }

  /** Whether no owner counts a slot of its workers as used. */
  auto AreSlotsFree() -> bool
  {
    for (std::size_t i = 0; i < mCluster.mEntries.size(); ++i) {
      const auto status = mCluster.Status(i);
      const auto* workers = base::ArrayField(status, "owned_workers");
      if (workers == nullptr) {
        return false;
      }
      for (const auto& it : *workers) {
        if (base::NumberField(it.get_object(), "used") != 0) {
          return false;
        }
      }
    }
    return true;
  }

  Cluster mCluster{ MakeOptions() };
  std::mutex mMutex;
  std::atomic<bool> mIsStopping{ false };
  std::map<std::string, OutcomeCounts> mOutcomes;
  std::vector<std::string> mProblems;
};

} // namespace

BOOST_DATA_TEST_CASE_F(FaultFixture,
                       requests_under_fault_have_correct_outcomes,
                       boost::unit_test::data::make(kCases),
                       faultCase)
{
  RunWithFaults(faultCase);
  CheckRuns();
  BOOST_TEST(WaitUntil([this] { return AreSlotsFree(); }, kSlotReleaseTimeout));
  for (const auto& it : mProblems) {
    BOOST_ERROR(it);
  }
  OutcomeCounts sum;
  for (const auto& [id, it] : mOutcomes) {
    sum.mAnswered += it.mAnswered;
    sum.mNotRun += it.mNotRun;
    sum.mUnknown += it.mUnknown;
  }
  BOOST_TEST_MESSAGE(faultCase.mName << ": answered " << sum.mAnswered
                                     << ", not run " << sum.mNotRun
                                     << ", unknown " << sum.mUnknown);
  BOOST_TEST(sum.mAnswered > 0);
}
