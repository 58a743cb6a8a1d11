#include "storeclient.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::platform {

namespace {

/** Whether the outcome of a commit can be resolved by reading its rows back. */
auto IsResolvable(const std::vector<TableWrite>& aWrites) -> bool
{
  constexpr std::size_t kMaxRows = 64;
  return aWrites.size() <= kMaxRows &&
         std::ranges::all_of(aWrites, [](const TableWrite& aWrite) {
           return aWrite.mExpectedVersion && aWrite.mValue;
         });
}

auto IsRetryable(const absl::Status& aStatus) -> bool
{
  return base::IsKind(aStatus, kNoResponse) ||
         base::IsKind(aStatus, kNotReached);
}

} // namespace

StoreClient::StoreClient(ITable& aTable,
                         base::Metrics& aMetrics,
                         StoreClientOptions aOptions)
  : mTable(aTable)
  , mOptions(aOptions)
  , mReadBuckets(MakeTableUseBuckets(aOptions.mReadsPerSecond,
                                     base::MonotonicClock::now()))
  , mWriteBuckets(MakeTableUseBuckets(aOptions.mWritesPerSecond,
                                      base::MonotonicClock::now()))
  , mRandom(aOptions.mSeed)
{
  for (const auto& it : kTableUseNames) {
    const auto counter = [&](std::string_view aWhat) {
      return &aMetrics.FindCounter(
        base::Cat("store_", aWhat, "_total{use=\"", it.mName, "\"}"));
    };
    CountersOf(it.mValue) = { counter("reads"),     counter("writes"),
                              counter("conflicts"), counter("unknowns"),
                              counter("refused"),   counter("retries") };
  }
}

auto StoreClient::CountersOf(TableUse aUse) -> TableUseCounters&
{
  return mCounters[static_cast<std::size_t>(aUse)];
}

auto StoreClient::SetEntryCount(std::size_t aCount) -> void
{
  const auto count = static_cast<double>(std::max<std::size_t>(1, aCount));
  const auto lock = std::lock_guard(mMutex);
  SetRate(mReadBuckets, mOptions.mReadsPerSecond / count);
  SetRate(mWriteBuckets, mOptions.mWritesPerSecond / count);
}

auto StoreClient::Admit(TableUseBuckets& aBuckets,
                        TableUse aUse,
                        base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  auto wait = base::Microseconds(0);
  {
    const auto lock = std::lock_guard(mMutex);
    const auto now = base::MonotonicClock::now();
    wait = TokenDelay(aBuckets, aUse, now);
    if (now + wait < aDeadline) {
      wait = TakeToken(aBuckets, aUse, now);
    }
  }
  if (base::MonotonicClock::now() + wait >= aDeadline) {
    CountersOf(aUse).mRefused->Add();
    co_return base::MakeError(kStoreBusy,
                              base::Cat("the call rate share of ",
                                        base::NameOf(kTableUseNames, aUse),
                                        " is exhausted"));
  }
  if (wait.count() > 0) {
    co_await net::Sleep(wait);
  }
  co_return absl::OkStatus();
}

auto StoreClient::WaitToRetry(TableUse aUse,
                              int aRetry,
                              base::MonotonicTime aDeadline) -> net::Task<bool>
{
  auto wait = base::Milliseconds(0);
  {
    const auto lock = std::lock_guard(mMutex);
    wait = BackoffDelay(mOptions.mBackoff, aRetry, mRandom);
    if (base::MonotonicClock::now() + wait >= aDeadline ||
        !TakeRetry(mRetries)) {
      co_return false;
    }
  }
  CountersOf(aUse).mRetries->Add();
  co_await net::Sleep(wait);
  co_return true;
}

auto StoreClient::RecordSuccess() -> void
{
  const auto lock = std::lock_guard(mMutex);
  OnSuccess(mRetries);
}

auto StoreClient::AttemptDeadline(base::MonotonicTime aDeadline) const
  -> base::MonotonicTime
{
  return std::min(aDeadline,
                  base::MonotonicClock::now() + mOptions.mAttemptTimeout);
}

auto StoreClient::Read(TableUse aUse,
                       std::string aKey,
                       base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::optional<TableRow>>>
{
  for (int retry = 0;; ++retry) {
    const auto admitted = co_await Admit(mReadBuckets, aUse, aDeadline);
    if (!admitted.ok()) {
      co_return admitted;
    }
    CountersOf(aUse).mReads->Add();
    auto row = co_await mTable.Read(aUse, aKey, AttemptDeadline(aDeadline));
    if (row.ok()) {
      RecordSuccess();
      co_return row;
    }
    const auto shouldRetry =
      IsRetryable(row.status()) && co_await WaitToRetry(aUse, retry, aDeadline);
    if (!shouldRetry) {
      co_return row;
    }
  }
}

auto StoreClient::Scan(TableUse aUse,
                       std::string aPrefix,
                       std::string aAfter,
                       std::size_t aLimit,
                       base::MonotonicTime aDeadline)
  -> net::Task<absl::StatusOr<std::vector<TableRow>>>
{
  for (int retry = 0;; ++retry) {
    const auto admitted = co_await Admit(mReadBuckets, aUse, aDeadline);
    if (!admitted.ok()) {
      co_return admitted;
    }
    CountersOf(aUse).mReads->Add();
    auto rows = co_await mTable.Scan(
      aUse, aPrefix, aAfter, aLimit, AttemptDeadline(aDeadline));
    if (rows.ok()) {
      RecordSuccess();
      co_return rows;
    }
    const auto shouldRetry = IsRetryable(rows.status()) &&
                             co_await WaitToRetry(aUse, retry, aDeadline);
    if (!shouldRetry) {
      co_return rows;
    }
  }
}

auto StoreClient::ResolveCommit(TableUse aUse,
                                const std::vector<TableWrite>& aWrites,
                                base::MonotonicTime aDeadline)
  -> net::Task<CommitOutcome>
{
  std::vector<FoundRow> rows;
  for (const auto& it : aWrites) {
    auto row = co_await Read(aUse, it.mKey, aDeadline);
    if (!row.ok()) {
      co_return CommitOutcome::Unknown;
    }
    rows.push_back(*std::move(row));
  }
  co_return ClassifyCommit(aWrites, rows);
}

auto StoreClient::Commit(TableUse aUse,
                         std::vector<TableWrite> aWrites,
                         base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  auto mayBeApplied = false;
  for (int retry = 0;; ++retry) {
    auto status = co_await Admit(mWriteBuckets, aUse, aDeadline);
    if (status.ok()) {
      CountersOf(aUse).mWrites->Add();
      status =
        co_await mTable.Commit(aUse, aWrites, AttemptDeadline(aDeadline));
    }
    if (status.ok()) {
      RecordSuccess();
      co_return status;
    }
    mayBeApplied = mayBeApplied || base::IsKind(status, kNoResponse);
    const auto isConflict = base::IsKind(status, kVersionConflict);
    if (isConflict && !mayBeApplied) {
      CountersOf(aUse).mConflicts->Add();
      co_return status;
    }
    if (mayBeApplied && IsResolvable(aWrites)) {
      const auto outcome = co_await ResolveCommit(aUse, aWrites, aDeadline);
      if (outcome == CommitOutcome::Applied) {
        co_return absl::OkStatus();
      }
      if (outcome == CommitOutcome::Conflict) {
        CountersOf(aUse).mConflicts->Add();
        co_return base::MakeError(kVersionConflict,
                                  "another write changed a row");
      }
    }
    const auto isSafe = !mayBeApplied || IsResolvable(aWrites);
    const auto isWorthRetrying = IsRetryable(status) || isConflict;
    const auto shouldRetry =
      isSafe && isWorthRetrying && co_await WaitToRetry(aUse, retry, aDeadline);
    if (!shouldRetry) {
      if (!mayBeApplied) {
        co_return status;
      }
      CountersOf(aUse).mUnknowns->Add();
      co_return base::MakeError(
        kNoResponse, "a commit had no response and its outcome is unknown");
    }
  }
}

auto MakeStoreClient(ITable& aTable,
                     base::Metrics& aMetrics,
                     StoreClientOptions aOptions)
  -> std::unique_ptr<IStoreClient>
{
  return std::make_unique<StoreClient>(aTable, aMetrics, aOptions);
}

} // namespace eelgrasspost::platform
