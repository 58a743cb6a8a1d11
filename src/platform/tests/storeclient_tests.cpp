#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/platform/commitbatcher.h"
#include "eelgrasspost/platform/storeclient.h"
#include "faketable.h"
#include "runtask.h"

namespace {

using namespace eelgrasspost::platform;
using tests::CommitFault;
using tests::RunTask;
namespace base = eelgrasspost::base;
namespace net = eelgrasspost::net;

auto TestDeadline() -> base::MonotonicTime
{
  return base::MonotonicClock::now() + std::chrono::seconds(20);
}

struct ClientFixture
{
  auto Commit(std::vector<TableWrite> aWrites) -> absl::Status
  {
    return RunTask(
      mClient->Commit(TableUse::Ownership, std::move(aWrites), TestDeadline()));
  }
  auto CounterValue(const std::string& aWhat) -> std::uint64_t
  {
    return mMetrics
      .FindCounter(base::Cat("store_", aWhat, "_total{use=\"ownership\"}"))
      .Value();
  }

  tests::FakeTable mTable;
  base::Metrics mMetrics;
  std::unique_ptr<IStoreClient> mClient = MakeStoreClient(mTable, mMetrics, {});
};

struct FaultCase
{
  std::string_view mName;
  std::vector<CommitFault> mFaults;
  int mCommits;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(storeclient, ClientFixture)

BOOST_AUTO_TEST_CASE(conditional_commit_under_faults_is_applied_once)
{
  const std::vector<FaultCase> cases = {
    { "none", {}, 1 },
    { "lost response", { CommitFault::LostResponse }, 1 },
    { "lost request", { CommitFault::LostRequest }, 2 },
    { "not reached", { CommitFault::NotReached }, 2 },
    { "lost request, then lost response",
      { CommitFault::LostRequest, CommitFault::LostResponse },
      2 },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      mTable.mRows.clear();
      mTable.mCommits = 0;
      mTable.mFaults.assign(it.mFaults.begin(), it.mFaults.end());
      BOOST_TEST(Commit({ { "a", "mine", kAbsent } }).ok());
      BOOST_TEST(mTable.mCommits == it.mCommits);
      BOOST_TEST(mTable.mRows["a"].mVersion == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(commit_after_other_write_is_a_conflict)
{
  mTable.mRows["a"] = { "a", "theirs", 1 };
  mTable.mFaults = { CommitFault::LostRequest };
  const auto status = Commit({ { "a", "mine", kAbsent } });
  BOOST_TEST(base::IsKind(status, kVersionConflict));
  BOOST_TEST(CounterValue("conflicts") == 1U);
}

BOOST_AUTO_TEST_CASE(unconditional_commit_without_response_is_not_repeated)
{
  mTable.mFaults = { CommitFault::LostResponse };
  const auto status = Commit({ { "a", "mine", std::nullopt } });
  BOOST_TEST(base::IsKind(status, kNoResponse));
  BOOST_TEST(mTable.mCommits == 1);
  BOOST_TEST(CounterValue("unknowns") == 1U);
}

BOOST_AUTO_TEST_CASE(commit_never_reached_ends_with_retry_budget)
{
  mTable.mFaults.assign(100, CommitFault::NotReached);
  const auto status = Commit({ { "a", "mine", kAbsent } });
  BOOST_TEST(base::IsKind(status, kNotReached));
  BOOST_TEST(mTable.mCommits == 11);
}

BOOST_AUTO_TEST_CASE(call_beyond_share_of_its_use_is_refused_unwritten)
{
  StoreClientOptions options;
  options.mWritesPerSecond = 1;
  const auto client = MakeStoreClient(mTable, mMetrics, options);
  const auto deadline =
    base::MonotonicClock::now() + std::chrono::milliseconds(100);
  auto status = absl::OkStatus();
  for (int i = 0; i < 3 && status.ok(); ++i) {
    status = RunTask(client->Commit(
      TableUse::Audit, { { base::Cat("k", i), "v", kAbsent } }, deadline));
  }
  BOOST_TEST(base::IsKind(status, kStoreBusy));
  BOOST_TEST(mTable.mRows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(batch_with_one_conflict_commits_all_others)
{
  constexpr int kCount = 20;
  constexpr int kConflicting = 7;
  mTable.mRows["key-7"] = { "key-7", "theirs", 1 };
  net::IoPool pool(1);
  const auto batcher =
    MakeCommitBatcher(mTable, TableUse::IdempotencyKey, pool.Executor(0), {});
  std::vector<std::promise<absl::Status>> results(kCount);
  auto commit = [&](std::size_t aIndex) -> net::Task<void> {
    std::vector<TableWrite> writes;
    writes.push_back({ base::Cat("key-", aIndex), "mine", kAbsent });
    results[aIndex].set_value(
      co_await batcher->Commit(std::move(writes), TestDeadline()));
  };
  for (std::size_t i = 0; i < kCount; ++i) {
    pool.Spawn(pool.Executor(0), commit(i));
  }
  pool.Start();
  for (int i = 0; i < kCount; ++i) {
    const auto status = results[static_cast<std::size_t>(i)].get_future().get();
    BOOST_TEST(status.ok() == (i != kConflicting));
  }
  pool.Stop();
  BOOST_TEST(mTable.mCommits < kCount);
}

BOOST_AUTO_TEST_CASE(batch_with_two_claims_of_one_row_commits_the_first)
{
  net::IoPool pool(1);
  const auto batcher =
    MakeCommitBatcher(mTable, TableUse::IdempotencyKey, pool.Executor(0), {});
  std::vector<std::promise<absl::Status>> results(2);
  auto commit = [&](std::size_t aIndex) -> net::Task<void> {
    std::vector<TableWrite> writes;
    writes.push_back({ "key", base::Cat("claim-", aIndex), kAbsent });
    results[aIndex].set_value(
      co_await batcher->Commit(std::move(writes), TestDeadline()));
  };
  pool.Spawn(pool.Executor(0), commit(0));
  pool.Spawn(pool.Executor(0), commit(1));
  pool.Start();
  BOOST_TEST(results[0].get_future().get().ok());
  BOOST_TEST(base::IsKind(results[1].get_future().get(), kVersionConflict));
  pool.Stop();
  BOOST_TEST(mTable.mRows["key"].mValue == "claim-0");
}

BOOST_AUTO_TEST_SUITE_END()
