#define BOOST_TEST_MODULE notes
#include <atomic>
#include <future>
#include <thread>

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

constexpr auto kTimeout = base::Milliseconds(20000);

struct NoteResponse
{
  unsigned mStatus = 0;
  json::object mBody;
};

/** Submits a note as an operator. Uses its own HTTP client, so that threads can
 * submit concurrently. */
auto Submit(const Cluster& aCluster,
            std::size_t aEntry,
            const json::object& aNote,
            const std::string& aOperator) -> NoteResponse
{
  SyncHttp http;
  const auto exchange = http.Exchange(aCluster.mEntries[aEntry].mHttp,
                                      { "POST",
                                        "/release-notes",
                                        { { "Operator", aOperator } },
                                        base::ToText(aNote) });
  if (!exchange.mStatus.ok()) {
    return {};
  }
  return {
    exchange.mResponse.mStatus,
    base::ParseObject(exchange.mResponse.mBody).value_or(json::object())
  };
}

auto MakeNote(Cluster& aCluster,
              std::uint64_t aBase,
              const std::string& aService) -> json::object
{
  auto note = aCluster.MakeServiceNote(aService, true);
  note["base"] = aBase;
  return note;
}

auto RevisionOf(Cluster& aCluster, std::size_t aEntry) -> std::int64_t
{
  return base::NumberField(aCluster.Status(aEntry), "revision", -1);
}

auto WaitForRevision(Cluster& aCluster,
                     const std::vector<std::size_t>& aEntries,
                     std::int64_t aRevision) -> bool
{
  return WaitUntil(
    [&] {
      return std::ranges::all_of(aEntries, [&](std::size_t aEntry) {
        return RevisionOf(aCluster, aEntry) >= aRevision;
      });
    },
    kTimeout);
}

/** Samples the revision of every entry and counts the times that one
 * decreases. */
class RevisionSampler
{
public:
  explicit RevisionSampler(const Cluster& aCluster)
  {
    for (const auto& it : aCluster.mEntries) {
      mEntries.push_back(it.mHttp);
    }
    mThread = std::thread([this] { Run(); });
  }
  ~RevisionSampler() { Stop(); }
  auto Stop() -> int
  {
    mIsStopping = true;
    if (mThread.joinable()) {
      mThread.join();
    }
    return mRegressions;
  }

private:
  auto Run() -> void
  {
    SyncHttp http;
    std::vector<std::int64_t> last(mEntries.size(), 0);
    while (!mIsStopping) {
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        const auto exchange = http.Exchange(
          mEntries[i], { "GET", "/status", {}, "" }, base::Milliseconds(200));
        const auto status = base::ParseObject(exchange.mResponse.mBody);
        if (!exchange.mStatus.ok() || !status.ok()) {
          continue;
        }
        const auto now = base::NumberField(*status, "revision");
        mRegressions += now < last[i] ? 1 : 0;
        last[i] = now;
      }
      std::this_thread::sleep_for(base::Milliseconds(10));
    }
  }

  std::vector<net::Address> mEntries;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mRegressions{ 0 };
  std::thread mThread;
};

auto MakeOptions(int aDomains, int aEntries) -> ClusterOptions
{
  ClusterOptions out;
  out.mDomains = aDomains;
  out.mEntriesPerDomain = aEntries;
  return out;
}

struct NotesFixture
{
  Cluster mCluster{ MakeOptions(1, 4) };
  std::vector<std::size_t> mAll{ 0, 1, 2, 3 };
};

struct PartitionFixture
{
  /** Partitions the second failure domain from the platform and the first. */
  auto SetPartitioned(bool aIsPartitioned) -> void
  {
    json::object fault;
    fault["cut_to"] = aIsPartitioned;
    fault["cut_back"] = aIsPartitioned;
    for (const auto& it : mCluster.mEntries) {
      const auto isInSecond = it.mDomain == "domain-2";
      fault["from"] = it.mIp;
      if (isInSecond) {
        mCluster.InjectFault("platform", fault);
      }
      for (const auto& other : mCluster.mEntries) {
        if (other.mDomain != it.mDomain) {
          mCluster.InjectFault(other.mId, fault);
        }
      }
    }
  }

  // Entries 0 and 2 are in domain 1, entries 1 and 3 in domain 2.
  Cluster mCluster{ MakeOptions(2, 2) };
};

struct StressCase
{
  std::string_view mName;
  int mDelayMs;
  int mDropPercent;
  bool mPausesEntry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(notes)

BOOST_FIXTURE_TEST_CASE(
  notes_submitted_concurrently_with_lost_responses_one_wins_one_conflicts,
  NotesFixture)
{
  json::object fault;
  for (std::uint64_t round = 0; round < 5; ++round) {
    fault["lose_answers"] = 2;
    mCluster.SetPlatformFaults(fault);
    const auto first = MakeNote(mCluster, round, base::Cat("a-", round));
    const auto second = MakeNote(mCluster, round, base::Cat("b-", round));
    auto other = std::async(std::launch::async,
                            [&] { return Submit(mCluster, 1, second, "ben"); });
    const auto one = Submit(mCluster, 0, first, "ana");
    const auto two = other.get();
    fault["lose_answers"] = 0;
    mCluster.SetPlatformFaults(fault);
    const auto hasFirstWon = one.mStatus == 200;
    BOOST_TEST((two.mStatus == 200) != hasFirstWon);
    const auto& loser = hasFirstWon ? two : one;
    const auto expected = base::Cat("revision ", round + 1, " is the newest");
    BOOST_TEST(loser.mStatus == 409U);
    BOOST_TEST(base::TextField(loser.mBody, "message").find(expected) !=
               std::string::npos);
    // Both operators retry, each through the other entry.
    const auto oneAgain = Submit(mCluster, 1, first, "ana");
    const auto twoAgain = Submit(mCluster, 0, second, "ben");
    BOOST_TEST(oneAgain.mStatus == one.mStatus);
    BOOST_TEST(twoAgain.mStatus == two.mStatus);
    BOOST_TEST(
      WaitForRevision(mCluster, mAll, static_cast<std::int64_t>(round) + 1));
  }
  const auto audit =
    mCluster.Http().Get(mCluster.mEntries[0].mHttp, "/audit?object=note/3");
  const auto body = base::ParseObject(audit.mResponse.mBody);
  BOOST_TEST_REQUIRE(body.ok());
  BOOST_TEST(base::ArrayField(*body, "records")->size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(
  note_accepted_before_store_outage_still_reaches_all_entries,
  NotesFixture)
{
  BOOST_TEST_REQUIRE(WaitForRevision(mCluster, mAll, 0));
  const auto response = Submit(mCluster, 2, MakeNote(mCluster, 0, "a"), "ana");
  json::object fault;
  fault["down"] = true;
  mCluster.SetPlatformFaults(fault);
  BOOST_TEST(response.mStatus == 200U);
  BOOST_TEST(WaitForRevision(mCluster, mAll, 1));
  // No further note is accepted, and the error says that it was not submitted.
  const auto rejected = Submit(mCluster, 0, MakeNote(mCluster, 1, "b"), "ana");
  BOOST_TEST(base::TextField(rejected.mBody, "error") == "note_not_submitted");
  fault["down"] = false;
  mCluster.SetPlatformFaults(fault);
  const auto later = Submit(mCluster, 0, MakeNote(mCluster, 1, "b"), "ana");
  BOOST_TEST(base::NumberField(later.mBody, "revision") == 2);
}

BOOST_FIXTURE_TEST_CASE(
  entry_restarted_in_partitioned_domain_adopts_the_revision_of_its_peer,
  PartitionFixture)
{
  mCluster.ApplyNote(MakeNote(mCluster, 0, "a"));
  mCluster.ApplyNote(MakeNote(mCluster, 1, "b"));
  SetPartitioned(true);
  mCluster.mEntries[3].mProcess->Kill();
  mCluster.StartEntry(3);
  const auto ready = [&] {
    const auto exchange =
      mCluster.Http().Get(mCluster.mEntries[3].mHttp, "/ready");
    return exchange.mStatus.ok() && exchange.mResponse.mStatus == 200;
  };
  BOOST_TEST(WaitUntil(ready, kTimeout));
  BOOST_TEST(RevisionOf(mCluster, 3) == 2);
  RevisionSampler sampler(mCluster);
  for (std::uint64_t n = 2; n < 6; ++n) {
    const auto note = MakeNote(mCluster, n, base::Cat("c-", n));
    BOOST_TEST(Submit(mCluster, 0, note, "ana").mStatus == 200U);
  }
  BOOST_TEST(WaitForRevision(mCluster, { 0, 2 }, 6));
  BOOST_TEST(RevisionOf(mCluster, 1) == 2);
  BOOST_TEST(RevisionOf(mCluster, 3) == 2);
  SetPartitioned(false);
  BOOST_TEST(WaitForRevision(mCluster, { 0, 1, 2, 3 }, 6));
  BOOST_TEST(sampler.Stop() == 0);
}

BOOST_FIXTURE_TEST_CASE(entry_started_without_store_and_peers_is_not_ready,
                        PartitionFixture)
{
  mCluster.ApplyNote(MakeNote(mCluster, 0, "a"));
  SetPartitioned(true);
  mCluster.mEntries[1].mProcess->Kill();
  mCluster.mEntries[3].mProcess->Kill();
  mCluster.StartEntry(3);
  std::this_thread::sleep_for(base::Milliseconds(2000));
  const auto ready = mCluster.Http().Get(mCluster.mEntries[3].mHttp, "/ready");
  BOOST_TEST(ready.mResponse.mStatus == 503U);
  SetPartitioned(false);
  BOOST_TEST(WaitForRevision(mCluster, { 3 }, 1));
}

BOOST_AUTO_TEST_CASE(
  notes_under_faults_reach_all_entries_and_revisions_never_decrease)
{
  const std::vector<StressCase> cases = {
    { "lost datagrams", 0, 20, false },
    { "slow store", 1000, 0, false },
    { "paused entry", 0, 0, true },
    { "paused entry, lost datagrams", 0, 20, true },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      Cluster cluster(MakeOptions(1, 4));
      const std::vector<std::size_t> all{ 0, 1, 2, 3 };
      BOOST_TEST_REQUIRE(WaitForRevision(cluster, all, 0));
      json::object platform;
      platform["delay_ms"] = it.mDelayMs;
      cluster.SetPlatformFaults(platform);
      json::object datagramLoss;
      datagramLoss["drop_percent"] = it.mDropPercent;
      for (const auto& entry : cluster.mEntries) {
        cluster.InjectFault(entry.mId, datagramLoss);
      }
      RevisionSampler sampler(cluster);
      constexpr std::uint64_t kNotes = 4;
      for (std::uint64_t n = 0; n < kNotes; ++n) {
        if (it.mPausesEntry && n == 1) {
          cluster.mEntries[3].mProcess->Pause();
        }
        const auto note = MakeNote(cluster, n, base::Cat("s-", n));
        BOOST_TEST(Submit(cluster, n % 3, note, "ana").mStatus == 200U);
      }
      if (it.mPausesEntry) {
        cluster.mEntries[3].mProcess->Resume();
      }
      BOOST_TEST(WaitForRevision(cluster, all, kNotes));
      BOOST_TEST(sampler.Stop() == 0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
