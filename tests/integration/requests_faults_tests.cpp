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

constexpr auto kWait = base::Milliseconds(20000);
constexpr int kCallers = 4;
constexpr int kSlots = 8;

/** One thing that goes wrong; two of them make a pair. */
enum class Fault
{
  None,
  Kill,
  Pause,
  CutWorkerTo,
  CutWorkerBoth,
  CutEntryBoth,
  SlowWorker,
  TruncatedBody,
  StoreDown,
  StoreLosesAnswers,
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
  { "cut_one_way", { Fault::CutWorkerTo } },
  { "cut_both_ways", { Fault::CutWorkerBoth } },
  { "cut_entry", { Fault::CutEntryBoth } },
  { "slow", { Fault::SlowWorker } },
  { "truncated", { Fault::TruncatedBody } },
  { "store_down", { Fault::StoreDown } },
  { "lost_answers", { Fault::StoreLosesAnswers } },
  { "duplicated", { Fault::Duplicated } },
  { "store_down_and_kill", { Fault::StoreDown, Fault::Kill } },
  { "pause_and_cut", { Fault::Pause, Fault::CutWorkerBoth } },
  { "lost_answers_and_truncated",
    { Fault::StoreLosesAnswers, Fault::TruncatedBody } },
};

/** What callers were told of one request id. */
struct Told
{
  int mAnswered = 0;
  int mNotRun = 0;
  /** Outcome unknown, or no answer from the entry at all. */
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
    auto note = mCluster.NoteAdding("quotes", true);
    const auto bills = mCluster.NoteAdding("bills", false);
    auto& added = note["services"].as_object()["add"].as_array();
    added.push_back(
      bills.at("services").as_object().at("add").as_array().at(0));
    mCluster.PutInForce(note);
  }

  auto Addresses() -> std::vector<net::Address>
  {
    auto lock = std::lock_guard(mMutex);
    return { mCluster.mEntries[0].mHttp, mCluster.mEntries[1].mHttp };
  }

  auto Note(const std::string& aId, const std::string& aProblem) -> void
  {
    auto lock = std::lock_guard(mMutex);
    mProblems.push_back(aId + ": " + aProblem);
  }

  /** Checks one exchange and remembers what it told. */
  auto Judge(const std::string& aId,
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
        Note(aId, "another body than its own: " + aExchange.mResponse.mBody);
      }
    } else if (outcome != "not_run" && outcome != "unknown") {
      Note(aId, "no outcome: " + aExchange.mResponse.mBody);
    }
    auto lock = std::lock_guard(mMutex);
    auto& told = mTold[aId];
    auto& count = outcome == "answered"  ? told.mAnswered
                  : outcome == "not_run" ? told.mNotRun
                                         : told.mUnknown;
    ++count;
  }

  /** Sends requests until the end; each bill through both entries. */
  auto CallUntilStopped(int aCaller) -> void
  {
    auto http = SyncHttp();
    for (int i = 0; !mStopped; ++i) {
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
        Judge(id, request.mBody, http.Exchange(entry, request, kTimeout));
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
      case Fault::CutWorkerTo:
        fault["cut_to"] = true;
        mCluster.Fault("worker-1", fault);
        break;
      case Fault::CutWorkerBoth:
        fault["cut_to"] = true;
        fault["cut_back"] = true;
        mCluster.Fault("worker-1", fault);
        break;
      case Fault::CutEntryBoth:
        fault["cut_to"] = true;
        fault["cut_back"] = true;
        mCluster.Fault("entry-1", fault);
        break;
      case Fault::SlowWorker:
        fault["delay_ms"] = 300;
        mCluster.Fault("worker-1", fault);
        break;
      case Fault::TruncatedBody:
        fault["close_after_back"] = 150;
        mCluster.Fault("worker-1", fault);
        break;
      case Fault::StoreDown:
        fault["down"] = true;
        mCluster.PlatformFault(fault);
        break;
      case Fault::StoreLosesAnswers:
        fault["lose_answers"] = 20;
        mCluster.PlatformFault(fault);
        break;
      case Fault::Duplicated:
        fault["duplicate_percent"] = 100;
        mCluster.Fault("entry-1", fault);
        mCluster.Fault("entry-2", fault);
        break;
      case Fault::None:
        break;
    }
  }

  auto Lift(Fault aFault) -> void
  {
    if (aFault == Fault::Kill) {
      auto lock = std::lock_guard(mMutex);
      mCluster.StartEntry(0);
    } else if (aFault == Fault::Pause) {
      mCluster.mEntries[0].mProcess->Resume();
    }
    for (const auto* link : { "worker-1", "entry-1", "entry-2" }) {
      mCluster.Heal(link);
    }
    mCluster.PlatformFault({});
  }

  auto RunUnder(const FaultCase& aCase) -> void
  {
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { CallUntilStopped(i); });
    }
    constexpr auto kBefore = std::chrono::milliseconds(300);
    constexpr auto kLongerThanLease = std::chrono::milliseconds(2600);
    constexpr auto kAfter = std::chrono::milliseconds(500);
    std::this_thread::sleep_for(kBefore);
    for (const auto it : aCase.mFaults) {
      Inject(it);
    }
    std::this_thread::sleep_for(kLongerThanLease);
    for (const auto it : aCase.mFaults) {
      Lift(it);
    }
    std::this_thread::sleep_for(kAfter);
    mStopped = true;
    for (auto& it : callers) {
      it.join();
    }
  }

  auto CheckRuns() -> void
  {
    std::map<std::string, std::int64_t> runs;
    for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
      const auto observed = mCluster.Observed(i);
      BOOST_TEST(base::NumberField(observed, "most_requests") <= kSlots);
      for (const auto& it : *base::ObjectField(observed, "runs_by_request")) {
        runs[std::string(it.key())] += it.value().to_number<std::int64_t>();
      }
    }
    for (const auto& [id, told] : mTold) {
      const auto count = runs[id];
      if (id.starts_with("bill-") && count > 1) {
        Note(id, base::Cat("ran ", count, " times"));
      }
      if (told.mAnswered + told.mUnknown == 0 && count > 0) {
        Note(id, "was reported as not run, but ran");
      }
      if (told.mAnswered > 0 && count == 0) {
        Note(id, "was answered, but never ran");
      }
    }
  }

  /** Whether no worker runs a request and no owner counts one. */
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
  std::atomic<bool> mStopped{ false };
  std::map<std::string, Told> mTold;
  std::vector<std::string> mProblems;
};

} // namespace

BOOST_DATA_TEST_CASE_F(FaultFixture,
                       requests_under_fault_keep_their_promises,
                       boost::unit_test::data::make(kCases),
                       faultCase)
{
  RunUnder(faultCase);
  CheckRuns();
  BOOST_TEST(WaitUntil([this] { return AreSlotsFree(); }, kWait));
  for (const auto& it : mProblems) {
    BOOST_ERROR(it);
  }
  Told sum;
  for (const auto& [id, it] : mTold) {
    sum.mAnswered += it.mAnswered;
    sum.mNotRun += it.mNotRun;
    sum.mUnknown += it.mUnknown;
  }
  BOOST_TEST_MESSAGE(faultCase.mName << ": answered " << sum.mAnswered
                                     << ", not run " << sum.mNotRun
                                     << ", unknown " << sum.mUnknown);
  BOOST_TEST(sum.mAnswered > 0);
}
