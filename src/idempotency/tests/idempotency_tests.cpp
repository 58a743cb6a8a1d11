#define BOOST_TEST_MODULE idempotency
#include <deque>
#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/idempotency/idempotencymodule.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"
#include "internal/keyrecord.h"

namespace {

using namespace eelgrasspost;
using namespace eelgrasspost::idempotency;
using platform::TableRow;
using platform::TableUse;
using platform::TableWrite;

/** Fault injected into one commit of the fake table. */
enum class CommitFault
{
  None,
  LoseResponse,
  Drop,
  /** Is applied after the caller got kNoResponse. */
  ApplyLate,
  Refuse,
};

constexpr auto kLateDelay = base::Milliseconds(60);

struct FakeTable : platform::ITable
{
  auto Read(TableUse, std::string aKey, base::MonotonicTime)
    -> net::Task<absl::StatusOr<std::optional<TableRow>>> override
  {
    if (mIsUnavailable) {
      co_return base::MakeError(platform::kNotReached, "table unavailable");
    }
    const auto it = mRows.find(aKey);
    co_return it == mRows.end() ? std::optional<TableRow>() : it->second;
  }
  auto Scan(TableUse,
            std::string aPrefix,
            std::string,
            std::size_t,
            base::MonotonicTime)
    -> net::Task<absl::StatusOr<std::vector<TableRow>>> override
  {
    std::vector<TableRow> out;
    for (const auto& [key, it] : mRows) {
      if (key.starts_with(aPrefix)) {
        out.push_back(it);
      }
    }
    co_return out;
  }
  auto Commit(TableUse, std::vector<TableWrite> aWrites, base::MonotonicTime)
    -> net::Task<absl::Status> override
  {
    ++mCommits;
    co_await net::Sleep(base::Milliseconds(2));
    auto fault = mIsUnavailable ? CommitFault::Refuse : CommitFault::None;
    if (!mFaults.empty()) {
      fault = mFaults.front();
      mFaults.pop_front();
    }
    if (fault == CommitFault::Refuse) {
      co_return base::MakeError(platform::kNotReached, "table unavailable");
    }
    if (fault == CommitFault::ApplyLate) {
      net::SpawnTask(mExecutor, ApplyLate(aWrites));
    } else if (fault != CommitFault::Drop && !Apply(aWrites)) {
      co_return base::MakeError(platform::kVersionConflict,
                                "row version differs");
    }
    if (fault != CommitFault::None) {
      co_return base::MakeError(platform::kNoResponse, "injected fault");
    }
    co_return absl::OkStatus();
  }
  auto ApplyLate(std::vector<TableWrite> aWrites) -> net::Task<void>
  {
    co_await net::Sleep(kLateDelay);
    mWasAppliedLate = Apply(aWrites) || mWasAppliedLate;
  }
  auto Apply(const std::vector<TableWrite>& aWrites) -> bool
  {
    for (const auto& it : aWrites) {
      const auto row = mRows.find(it.mKey);
      const auto version = row == mRows.end() ? 0 : row->second.mVersion;
      if (it.mExpectedVersion && *it.mExpectedVersion != version) {
        return false;
      }
    }
    for (const auto& it : aWrites) {
      if (!it.mValue) {
        mRows.erase(it.mKey);
        continue;
      }
      auto& row = mRows[it.mKey];
      row = { it.mKey, *it.mValue, row.mVersion + 1 };
    }
    return true;
  }

  net::asio::any_io_executor mExecutor;
  std::map<std::string, TableRow> mRows;
  std::deque<CommitFault> mFaults;
  bool mIsUnavailable = false;
  bool mWasAppliedLate = false;
  int mCommits = 0;
};

struct FakeObjects : platform::IObjectStore
{
  auto Put(std::string aKey, std::string aBytes, base::MonotonicTime)
    -> net::Task<absl::Status> override
  {
    mObjects[aKey] = std::move(aBytes);
    co_return absl::OkStatus();
  }
  auto Get(std::string aKey, base::MonotonicTime)
    -> net::Task<absl::StatusOr<std::optional<std::string>>> override
  {
    const auto it = mObjects.find(aKey);
    co_return it == mObjects.end() ? std::optional<std::string>() : it->second;
  }

  std::map<std::string, std::string> mObjects;
};

struct KeyFixture
{
  KeyFixture()
  {
    mTable.mExecutor = mContext.get_executor();
    mOptions.mClaimTimeout = base::Milliseconds(40);
    mOptions.mFirstRequestWait = base::Milliseconds(100);
    mOptions.mMinCommitInterval = base::Milliseconds(1);
    mOptions.mSweepInterval = base::Milliseconds(5);
  }

  auto MakeEntry(const std::string& aName) -> std::unique_ptr<IIdempotency>
  {
    auto dependencies = IdempotencyDependencies{
      mTable, mObjects, mContext.get_executor(), mMetrics, aName
    };
    return MakeIdempotency(std::move(dependencies), mOptions);
  }

  /** Starts a claim; its result is available after RunAll(). */
  auto Start(IIdempotency& aEntry,
             const std::string& aKey,
             const std::string& aDigest = "d") -> std::size_t
  {
    const auto n = mResults.size();
    mResults.emplace_back();
    const auto deadline = base::MonotonicClock::now() + std::chrono::seconds(5);
    net::asio::co_spawn(
      mContext,
      aEntry.Claim({ "bills", aKey, aDigest, deadline }),
      [this, n](const std::exception_ptr&, ClaimResult aResult) {
        mResults[n] = std::move(aResult);
      });
    return n;
  }
  auto RunAll() -> void
  {
    mContext.restart();
    mContext.run();
  }
  auto ClaimNow(IIdempotency& aEntry,
                const std::string& aKey,
                const std::string& aDigest = "d") -> ClaimResult
  {
    const auto n = Start(aEntry, aKey, aDigest);
    RunAll();
    return mResults[n];
  }
  auto CountClaimed() const -> std::ptrdiff_t
  {
    return std::ranges::count(
      mResults, ClaimOutcome::Claimed, &ClaimResult::mOutcome);
  }

  net::asio::io_context mContext;
  FakeTable mTable;
  FakeObjects mObjects;
  base::Metrics mMetrics;
  IdempotencyOptions mOptions;
  std::vector<ClaimResult> mResults;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(idempotency, KeyFixture)

BOOST_AUTO_TEST_CASE(claim_repeated_at_other_entry_replays_full_response)
{
  const auto entry1 = MakeEntry("entry-1-1");
  const auto entry2 = MakeEntry("entry-2-1");
  for (const auto size : { 10U, 100000U }) {
    const auto key = base::Cat("key-", size);
    const auto body = std::string(size, '\xFE');
    auto first = ClaimNow(*entry1, key);
    BOOST_TEST_REQUIRE((first.mOutcome == ClaimOutcome::Claimed));
    entry1->Finish(first.mHandle,
                   RequestOutcome::Answered,
                   { 201, { { "Bill", "7" } }, body });
    RunAll();
    BOOST_TEST(entry1->PendingRecordCount() == 0U);
    const auto second = ClaimNow(*entry2, key);
    BOOST_TEST_REQUIRE((second.mOutcome == ClaimOutcome::Recorded));
    BOOST_TEST(second.mResponse.mStatus == 201U);
    BOOST_TEST((second.mResponse.mBody == body));
    BOOST_TEST(net::FindField(second.mResponse.mFields, "Bill") == "7");
    const auto other = ClaimNow(*entry2, key, "other digest");
    BOOST_TEST((other.mOutcome == ClaimOutcome::OtherRequest));
  }
  BOOST_TEST(mObjects.mObjects.size() == 1U);
}

BOOST_AUTO_TEST_CASE(claim_while_first_runs_waits_then_is_unknown)
{
  const auto entry1 = MakeEntry("entry-1-1");
  const auto entry2 = MakeEntry("entry-2-1");
  const auto first = ClaimNow(*entry1, "k");
  // As after a crash of the first entry: no outcome is recorded.
  BOOST_TEST((ClaimNow(*entry2, "k").mOutcome == ClaimOutcome::Unknown));
  const auto waiting = Start(*entry2, "k");
  entry1->Finish(first.mHandle, RequestOutcome::Answered, { 200, {}, "late" });
  RunAll();
  BOOST_TEST((mResults[waiting].mOutcome == ClaimOutcome::Recorded));
  BOOST_TEST(mResults[waiting].mResponse.mBody == "late");
}

BOOST_AUTO_TEST_CASE(finish_outcome_decides_whether_key_can_be_claimed_again)
{
  struct Case
  {
    RequestOutcome mOutcome;
    ClaimOutcome mNext;
  };
  constexpr Case kCases[] = {
    { RequestOutcome::NotRun, ClaimOutcome::Claimed },
    { RequestOutcome::Unknown, ClaimOutcome::Unknown },
    { RequestOutcome::Answered, ClaimOutcome::Recorded },
  };
  const auto entry = MakeEntry("entry-1-1");
  for (const auto& it : kCases) {
    const auto key = base::Cat("k", static_cast<int>(it.mOutcome));
    entry->Finish(ClaimNow(*entry, key).mHandle, it.mOutcome, {});
    RunAll();
    BOOST_TEST((ClaimNow(*entry, key).mOutcome == it.mNext));
  }
}

BOOST_AUTO_TEST_CASE(claim_under_store_faults_is_resolved_or_released)
{
  using enum CommitFault;
  struct Case
  {
    std::string_view mName;
    std::deque<CommitFault> mFaults;
    ClaimOutcome mFirst;
    /** Outcome at another entry after all background work has ended. */
    ClaimOutcome mNext;
  };
  const Case cases[] = {
    { "response lost",
      { LoseResponse },
      ClaimOutcome::Claimed,
      ClaimOutcome::Unknown },
    { "dropped", { Drop }, ClaimOutcome::Claimed, ClaimOutcome::Unknown },
    { "refused once",
      { Refuse },
      ClaimOutcome::Claimed,
      ClaimOutcome::Unknown },
    { "late", { ApplyLate }, ClaimOutcome::Claimed, ClaimOutcome::Unknown },
    { "dropped, then late",
      { Drop, ApplyLate, ApplyLate, ApplyLate, ApplyLate, ApplyLate },
      ClaimOutcome::Refused,
      ClaimOutcome::Claimed },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      const auto entry1 = MakeEntry("entry-1-1");
      const auto entry2 = MakeEntry("entry-2-1");
      const auto key = std::string(it.mName);
      mTable.mFaults = it.mFaults;
      BOOST_TEST((ClaimNow(*entry1, key).mOutcome == it.mFirst));
      BOOST_TEST((ClaimNow(*entry2, key).mOutcome == it.mNext));
      mTable.mFaults.clear();
    }
  }
  BOOST_TEST(mTable.mWasAppliedLate);
}

BOOST_AUTO_TEST_CASE(claim_without_store_is_refused_and_leaves_no_row)
{
  const auto entry = MakeEntry("entry-1-1");
  mTable.mIsUnavailable = true;
  const auto refused = ClaimNow(*entry, "k");
  BOOST_TEST((refused.mOutcome == ClaimOutcome::Refused));
  BOOST_TEST(refused.mError.message().find("same Idempotency-Key") !=
             absl::string_view::npos);
  mTable.mIsUnavailable = false;
  BOOST_TEST(mTable.mRows.empty());
  BOOST_TEST((ClaimNow(*entry, "k").mOutcome == ClaimOutcome::Claimed));
}

BOOST_AUTO_TEST_CASE(claim_same_key_concurrently_at_two_entries_succeeds_once)
{
  const auto entry1 = MakeEntry("entry-1-1");
  const auto entry2 = MakeEntry("entry-2-1");
  // The first write of an entry is sent alone; later ones form a batch.
  Start(*entry1, "ahead-1");
  Start(*entry2, "ahead-2");
  for (int i = 0; i < 10; ++i) {
    Start(*entry1, "k");
    Start(*entry2, "k");
  }
  RunAll();
  BOOST_TEST(CountClaimed() == 3);
}

BOOST_AUTO_TEST_CASE(claim_conflict_in_batch_does_not_fail_the_others)
{
  const auto entry = MakeEntry("entry-1-1");
  ClaimNow(*entry, "taken");
  mResults.clear();
  const auto before = mTable.mCommits;
  Start(*entry, "taken");
  for (int i = 0; i < 40; ++i) {
    Start(*entry, base::Cat("new-", i));
  }
  RunAll();
  BOOST_TEST(CountClaimed() == 40);
  BOOST_TEST((mResults[0].mOutcome == ClaimOutcome::Unknown));
  BOOST_TEST(mTable.mCommits - before < 10);
}

BOOST_AUTO_TEST_CASE(sweep_expired_key_is_removed_and_recent_one_kept)
{
  const auto entry = MakeEntry("entry-1-1");
  ClaimNow(*entry, "recent");
  ClaimNow(*entry, "old");
  auto& old = mTable.mRows.at(RowKeyOf("bills", "old"));
  auto record = DecodeRecord(old.mValue).value();
  record.mClaimedMs -= mOptions.mRetention.count();
  old.mValue = EncodeRecord(record);
  net::asio::co_spawn(mContext, entry->Run(), net::asio::detached);
  mContext.restart();
  while (mTable.mRows.size() > 1) {
    mContext.run_one();
  }
  BOOST_TEST(mTable.mRows.contains(RowKeyOf("bills", "recent")));
}

BOOST_AUTO_TEST_SUITE_END()
