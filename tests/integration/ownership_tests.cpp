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
constexpr auto kTimeout = base::Milliseconds(20000);
/** Longer than any lease. */
constexpr auto kPastLease = base::Milliseconds(7000);
constexpr auto kCallTimeout = base::Milliseconds(4000);

auto MakeOptions() -> ClusterOptions
{
  ClusterOptions out;
  out.mEntriesPerDomain = 3;
  out.mWorkersPerDomain = 4;
  out.mSlots = kSlots;
  return out;
}

/** Runs callers that keep all slots busy through all entries. */
class LoadGenerator
{
public:
  explicit LoadGenerator(const Cluster& aCluster)
  {
    for (const auto& it : aCluster.mEntries) {
      mPorts.emplace_back(it.mHttp.mPort);
    }
    for (int i = 0; i < kCallers; ++i) {
      mThreads.emplace_back([this, i] { SendRequests(i); });
    }
  }

  ~LoadGenerator()
  {
    mIsStopping = true;
    mThreads.clear();
  }

  auto SetAddress(std::size_t aEntry, const net::Address& aAddress) -> void
  {
    mPorts[aEntry] = aAddress.mPort;
  }

  /** Waits until a number of further requests have been answered. */
  auto WaitForResponses(int aCount) -> bool
  {
    const auto target = mResponseCount + aCount;
    return WaitUntil([&] { return mResponseCount >= target; }, kTimeout);
  }

  std::atomic<int> mResponseCount{ 0 };
  /** Requests whose connection was lost after they may have been sent. */
  std::atomic<int> mInterruptedCount{ 0 };

private:
  auto SendRequests(int aCaller) -> void
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
        ++mResponseCount;
      } else if (!exchange.mStatus.ok() &&
                 exchange.mProgress == net::SendProgress::MaybeSent) {
        ++mInterruptedCount;
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
    mCluster.ApplyNote(mCluster.MakeServiceNote("quotes", true));
  }

  ~OwnershipFixture()
  {
    for (std::size_t i = 0; i < mCluster.mWorkers.size(); ++i) {
      const auto observed = mCluster.ReadObservation(i);
      const auto maxRequests = base::NumberField(observed, "most_requests");
      BOOST_TEST(maxRequests <= kSlots);
    }
  }

  /** Blocks datagrams and messages from one entry to another. */
  auto BlockLink(std::size_t aFrom, std::size_t aTo) -> void
  {
    json::object fault;
    fault["from"] = mCluster.mEntries[aFrom].mIp;
    fault["cut_to"] = true;
    mCluster.InjectFault(mCluster.mEntries[aTo].mId, std::move(fault));
  }

  auto UnblockLink(std::size_t aFrom, std::size_t aTo) -> void
  {
    mCluster.ClearFault(mCluster.mEntries[aTo].mId,
                        mCluster.mEntries[aFrom].mIp);
  }

  auto Restart(std::size_t aEntry, LoadGenerator& aLoad) -> void
  {
    mCluster.StartEntry(aEntry);
    aLoad.SetAddress(aEntry, mCluster.mEntries[aEntry].mHttp);
  }

  /** Waits until every worker has exactly one owner among the entries. */
  auto WaitForSingleOwners() -> bool
  {
    const auto hasSingleOwners = [&] {
      std::size_t ownedCount = 0;
      for (std::size_t i = 0; i < mCluster.mEntries.size(); ++i) {
        const auto status = mCluster.Status(i);
        const auto* workers = base::ArrayField(status, "owned_workers");
        ownedCount += workers == nullptr ? 0 : workers->size();
      }
      return ownedCount == mCluster.mWorkers.size();
    };
    return mCluster.WaitForOwners(kTimeout) &&
           WaitUntil(hasSingleOwners, kTimeout);
  }

  /** Counts the audit records about a kind of object in the table. */
  auto CountAuditRecords(const std::string& aObjectKind) -> std::size_t
  {
    json::object scan;
    scan["prefix"] = "audit/";
    scan["limit"] = 1000;
    const auto response =
      mCluster.Http().Post(mCluster.Platform(), "/table/scan", scan);
    const auto text = base::ToText(response);
    std::size_t out = 0;
    const auto name = base::Cat("/", aObjectKind, "/");
    for (auto at = text.find(name); at != std::string::npos;
         at = text.find(name, at + 1)) {
      ++out;
    }
    return out;
  }

  Cluster mCluster{ MakeOptions() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ownership_processes, OwnershipFixture)

BOOST_AUTO_TEST_CASE(entry_killed_under_load_its_workers_are_taken_over)
{
  LoadGenerator load(mCluster);
  BOOST_TEST(load.WaitForResponses(50));
  mCluster.mEntries[1].mProcess->Kill();
  BOOST_TEST(mCluster.WaitForOwners(kTimeout));
  BOOST_TEST(load.WaitForResponses(200));
  Restart(1, load);
  BOOST_TEST(WaitForSingleOwners());
  BOOST_TEST(load.WaitForResponses(50));
}

BOOST_AUTO_TEST_CASE(
  entry_resumed_after_its_lease_expired_never_overloads_a_worker)
{
  LoadGenerator load(mCluster);
  BOOST_TEST(load.WaitForResponses(50));
  mCluster.mEntries[1].mProcess->Pause();
  std::this_thread::sleep_for(kPastLease);
  mCluster.mEntries[1].mProcess->Resume();
  BOOST_TEST(load.WaitForResponses(200));
  BOOST_TEST(WaitForSingleOwners());
}

BOOST_AUTO_TEST_CASE(entries_partitioned_never_overload_a_worker_and_converge)
{
  struct Case
  {
    const char* mName;
    bool mBlocksOutgoing;
    bool mBlocksIncoming;
  };
  constexpr Case kCases[] = { { "one way", true, false },
                              { "the other way", false, true },
                              { "both ways", true, true } };
  LoadGenerator load(mCluster);
  for (const auto& it : kCases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      for (const std::size_t other : { 1, 2 }) {
        if (it.mBlocksOutgoing) {
          BlockLink(0, other);
        }
        if (it.mBlocksIncoming) {
          BlockLink(other, 0);
        }
      }
      std::this_thread::sleep_for(base::Milliseconds(4000));
      BOOST_TEST(load.WaitForResponses(50));
      for (const std::size_t other : { 1, 2 }) {
        UnblockLink(0, other);
        UnblockLink(other, 0);
      }
      BOOST_TEST(WaitForSingleOwners());
    }
  }
}

BOOST_AUTO_TEST_CASE(entry_killed_without_platform_its_workers_are_taken_over)
{
  LoadGenerator load(mCluster);
  json::object fault;
  fault["refuse"] = true;
  mCluster.InjectFault("platform", std::move(fault));
  mCluster.mEntries[2].mProcess->Kill();
  BOOST_TEST(mCluster.WaitForOwners(kTimeout));
  BOOST_TEST(load.WaitForResponses(100));
}

BOOST_AUTO_TEST_CASE(store_unavailable_longer_than_a_lease_owners_keep_serving)
{
  LoadGenerator load(mCluster);
  json::object fault;
  fault["down"] = true;
  mCluster.SetPlatformFaults(fault);
  std::this_thread::sleep_for(kPastLease);
  BOOST_TEST(load.WaitForResponses(200));
  BOOST_TEST(WaitForSingleOwners());
}

BOOST_AUTO_TEST_CASE(worker_restarted_under_load_is_claimed_again)
{
  LoadGenerator load(mCluster);
  BOOST_TEST(load.WaitForResponses(50));
  json::object restart;
  restart["restart"] = true;
  mCluster.Http().Post(mCluster.mWorkers[0].mDirect, "/faults", restart);
  BOOST_TEST(WaitForSingleOwners());
  BOOST_TEST(load.WaitForResponses(100));
}

BOOST_AUTO_TEST_CASE(entries_replaced_in_turn_under_load_interrupt_no_request)
{
  LoadGenerator load(mCluster);
  for (std::size_t i = 0; i < mCluster.mEntries.size(); ++i) {
    BOOST_TEST(load.WaitForResponses(50));
    mCluster.mEntries[i].mProcess->Terminate();
    BOOST_TEST(mCluster.mEntries[i].mProcess->Wait() == 0);
    Restart(i, load);
    BOOST_TEST(WaitForSingleOwners());
  }
  BOOST_TEST(load.mInterruptedCount == 0);
  const auto isAudited = [&] {
    return CountAuditRecords("planned_stop") == mCluster.mEntries.size() &&
           CountAuditRecords("ownership") > 0;
  };
  BOOST_TEST(WaitUntil(isAudited, kTimeout));
}

BOOST_AUTO_TEST_SUITE_END()
