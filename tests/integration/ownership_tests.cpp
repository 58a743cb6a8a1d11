#define BOOST_TEST_MODULE ownership_processes
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <deque>
#include <random>
#include <thread>

#include "cluster.h"
#include "eelgrasspost/base/text.h"

namespace {

using namespace eelgrasspost;
using harness::Cluster;
using harness::ClusterOptions;
using harness::WaitUntil;
namespace json = base::json;

constexpr int kSlots = 2;
constexpr int kCallers = 12;
constexpr auto kWait = base::Milliseconds(20000);
/** Longer than any lease. */
constexpr auto kPastLease = base::Milliseconds(7000);
constexpr auto kCallTimeout = base::Milliseconds(4000);

auto Options() -> ClusterOptions
{
  ClusterOptions out;
  out.mEntriesPerDomain = 3;
  out.mWorkersPerDomain = 4;
  out.mSlots = kSlots;
  return out;
}

/** Callers that keep all slots busy through all entries. */
class Load
{
public:
  explicit Load(const Cluster& aCluster)
  {
    for (const auto& it : aCluster.mEntries) {
      mPorts.emplace_back(it.mHttp.mPort);
    }
    for (int i = 0; i < kCallers; ++i) {
      mThreads.emplace_back([this, i] { Call(i); });
    }
  }

  ~Load()
  {
    mIsStopping = true;
    mThreads.clear();
  }

  auto Move(std::size_t aEntry, const net::Address& aAddress) -> void
  {
    mPorts[aEntry] = aAddress.mPort;
  }

  /** Waits until so many more requests have been answered. */
  auto WaitForAnswers(int aCount) -> bool
  {
    const auto wanted = mAnswered + aCount;
    return WaitUntil([&] { return mAnswered >= wanted; }, kWait);
  }

  std::atomic<int> mAnswered{ 0 };
  /** Requests whose connection broke after they had been sent. */
  std::atomic<int> mCutOff{ 0 };

private:
  auto Call(int aCaller) -> void
  {
    auto random = std::mt19937(static_cast<unsigned>(aCaller));
    harness::SyncHttp http;
    auto request = net::HttpRequest();
    request.mMethod = "GET";
    request.mTarget = "/services/quotes/site?work_ms=20";
    for (int n = 0; !mIsStopping; ++n) {
      const auto port = mPorts[random() % mPorts.size()].load();
      request.mFields = { { "Request-Id", base::Cat(aCaller, "-", n) } };
      const auto exchange =
        http.Exchange({ "127.0.0.1", port }, request, kCallTimeout);
      if (exchange.mStatus.ok() && exchange.mResponse.mStatus == 200) {
        ++mAnswered;
      } else if (!exchange.mStatus.ok() &&
                 exchange.mProgress == net::SendProgress::MaybeSent) {
        ++mCutOff;
      }
    }
  }

  std::deque<std::atomic<std::uint16_t>> mPorts;
  std::atomic<bool> mIsStopping{ false };
  std::vector<std::jthread> mThreads;
};

struct OwnershipFixture
{
  OwnershipFixture()
  {
    BOOST_TEST_REQUIRE(mCluster.WaitForOwners());
    mCluster.PutInForce(mCluster.NoteAdding("quotes", true));
  }

  ~OwnershipFixture()
  {
    for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
      const auto observed = mCluster.Observed(i);
      const auto most = base::NumberField(observed, "most_requests");
      BOOST_TEST(most <= kSlots);
    }
  }

  /** Cuts datagrams and messages from one entry to another. */
  auto Cut(std::size_t aFrom, std::size_t aTo) -> void
  {
    json::object fault;
    fault["from"] = mCluster.mEntries[aFrom].mIp;
    fault["cut_to"] = true;
    mCluster.Fault(mCluster.mEntries[aTo].mId, std::move(fault));
  }

  auto HealCut(std::size_t aFrom, std::size_t aTo) -> void
  {
    mCluster.Heal(mCluster.mEntries[aTo].mId, mCluster.mEntries[aFrom].mIp);
  }

  auto Restart(std::size_t aEntry, Load& aLoad) -> void
  {
    mCluster.StartEntry(aEntry);
    aLoad.Move(aEntry, mCluster.mEntries[aEntry].mHttp);
  }

  /** Whether every worker has exactly one owner among the entries. */
  auto WaitForSingleOwners() -> bool
  {
    const auto isSingle = [&] {
      std::size_t held = 0;
      for (std::size_t i = 0; i < mCluster.mEntries.size(); ++i) {
        const auto status = mCluster.Status(i);
        const auto* workers = base::ArrayField(status, "owned_workers");
        held += workers == nullptr ? 0 : workers->size();
      }
      return held == mCluster.mWorkers.size();
    };
    return mCluster.WaitForOwners(kWait) && WaitUntil(isSingle, kWait);
  }

  /** Audit records of a sort in the table. */
  auto CountAudited(const std::string& aSort) -> std::size_t
  {
    json::object scan;
    scan["prefix"] = "audit/";
    scan["limit"] = 1000;
    const auto answer =
      mCluster.Http().Post(mCluster.Platform(), "/table/scan", scan);
    const auto text = base::ToText(answer);
    std::size_t out = 0;
    const auto name = base::Cat("/", aSort, "/");
    for (auto at = text.find(name); at != std::string::npos;
         at = text.find(name, at + 1)) {
      ++out;
    }
    return out;
  }

  Cluster mCluster{ Options() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ownership_processes, OwnershipFixture)

BOOST_AUTO_TEST_CASE(entry_killed_under_load_its_workers_are_owned_again)
{
  Load load(mCluster);
  BOOST_TEST(load.WaitForAnswers(50));
  mCluster.mEntries[1].mProcess->Kill();
  BOOST_TEST(mCluster.WaitForOwners(kWait));
  BOOST_TEST(load.WaitForAnswers(200));
  Restart(1, load);
  BOOST_TEST(WaitForSingleOwners());
  BOOST_TEST(load.WaitForAnswers(50));
}

BOOST_AUTO_TEST_CASE(entry_paused_past_its_lease_and_resumed_never_overloads)
{
  Load load(mCluster);
  BOOST_TEST(load.WaitForAnswers(50));
  mCluster.mEntries[1].mProcess->Pause();
  std::this_thread::sleep_for(kPastLease);
  mCluster.mEntries[1].mProcess->Resume();
  BOOST_TEST(load.WaitForAnswers(200));
  BOOST_TEST(WaitForSingleOwners());
}

BOOST_AUTO_TEST_CASE(entries_cut_from_each_other_never_overload_and_converge)
{
  struct Case
  {
    const char* mName;
    bool mIsCutThere;
    bool mIsCutBack;
  };
  constexpr Case kCases[] = { { "one way", true, false },
                              { "the other way", false, true },
                              { "both ways", true, true } };
  Load load(mCluster);
  for (const auto& it : kCases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      for (const std::size_t other : { 1, 2 }) {
        if (it.mIsCutThere) {
          Cut(0, other);
        }
        if (it.mIsCutBack) {
          Cut(other, 0);
        }
      }
      std::this_thread::sleep_for(base::Milliseconds(4000));
      BOOST_TEST(load.WaitForAnswers(50));
      for (const std::size_t other : { 1, 2 }) {
        HealCut(0, other);
        HealCut(other, 0);
      }
      BOOST_TEST(WaitForSingleOwners());
    }
  }
}

BOOST_AUTO_TEST_CASE(platform_cut_off_and_entry_killed_ownership_still_moves)
{
  Load load(mCluster);
  json::object fault;
  fault["refuse"] = true;
  mCluster.Fault("platform", std::move(fault));
  mCluster.mEntries[2].mProcess->Kill();
  BOOST_TEST(mCluster.WaitForOwners(kWait));
  BOOST_TEST(load.WaitForAnswers(100));
}

BOOST_AUTO_TEST_CASE(store_away_longer_than_a_lease_owners_go_on)
{
  Load load(mCluster);
  json::object fault;
  fault["down"] = true;
  mCluster.PlatformFault(fault);
  std::this_thread::sleep_for(kPastLease);
  BOOST_TEST(load.WaitForAnswers(200));
  BOOST_TEST(WaitForSingleOwners());
}

BOOST_AUTO_TEST_CASE(worker_restarted_under_load_is_claimed_again)
{
  Load load(mCluster);
  BOOST_TEST(load.WaitForAnswers(50));
  json::object restart;
  restart["restart"] = true;
  mCluster.Http().Post(mCluster.mWorkers[0].mDirect, "/faults", restart);
  BOOST_TEST(WaitForSingleOwners());
  BOOST_TEST(load.WaitForAnswers(100));
}

BOOST_AUTO_TEST_CASE(entries_replaced_in_turn_under_load_cut_off_no_request)
{
  Load load(mCluster);
  for (std::size_t i = 0; i < mCluster.mEntries.size(); ++i) {
    BOOST_TEST(load.WaitForAnswers(50));
    mCluster.mEntries[i].mProcess->Terminate();
    BOOST_TEST(mCluster.mEntries[i].mProcess->Wait() == 0);
    Restart(i, load);
    BOOST_TEST(WaitForSingleOwners());
  }
  BOOST_TEST(load.mCutOff == 0);
  const auto isAudited = [&] {
    return CountAudited("planned_stop") == mCluster.mEntries.size() &&
           CountAudited("ownership") > 0;
  };
  BOOST_TEST(WaitUntil(isAudited, kWait));
}

BOOST_AUTO_TEST_SUITE_END()
