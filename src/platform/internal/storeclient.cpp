#include "storeclient.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::platform {

namespace {

/** Whether a commit can be settled by reading its rows back. */
auto CanBeSettled(const std::vector<TableWrite>& aWrites) -> bool
{
  constexpr std::size_t kMostRows = 64;
  return aWrites.size() <= kMostRows &&
         std::ranges::all_of(aWrites, [](const TableWrite& aWrite) {
           return aWrite.mExpectedVersion && aWrite.mValue;
         });
}

auto IsRetryable(const absl::Status& aStatus) -> bool
{
  return base::IsKind(aStatus, kNoAnswer) || base::IsKind(aStatus, kNotReached);
}

} // namespace

StoreClient::StoreClient(ITable& aTable,
                         base::Metrics& aMetrics,
                         StoreClientOptions aOptions)
  : mTable(aTable)
  , mOptions(aOptions)
  , mReadBuckets(
      MakeUseBuckets(aOptions.mReadsPerSecond, base::MonotonicClock::now()))
  , mWriteBuckets(
      MakeUseBuckets(aOptions.mWritesPerSecond, base::MonotonicClock::now()))
  , mRandom(aOptions.mSeed)
{
  for (const auto& it : kTableUseNames) {
    const auto counter = [&](std::string_view aWhat) {
      return &aMetrics.FindCounter(
        base::Cat("store_", aWhat, "_total{use=\"", it.mName, "\"}"));
    };
    Of(it.mValue) = { counter("reads"),     counter("writes"),
                      counter("conflicts"), counter("unknowns"),
                      counter("refused"),   counter("retries") };
  }
}

auto StoreClient::Of(TableUse aUse) -> UseCounters&
{
  return mCounters[static_cast<std::size_t>(aUse)];
}

auto StoreClient::SetEntries(std::size_t aCount) -> void
{
  const auto count = static_cast<double>(std::max<std::size_t>(1, aCount));
  const auto lock = std::lock_guard(mMutex);
  SetRate(mReadBuckets, mOptions.mReadsPerSecond / count);
  SetRate(mWriteBuckets, mOptions.mWritesPerSecond / count);
}

auto StoreClient::Admit(UseBuckets& aBuckets,
                        TableUse aUse,
                        base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  auto wait = base::Microseconds(0);
  {
    const auto lock = std::lock_guard(mMutex);
    const auto now = base::MonotonicClock::now();
    wait = WaitForToken(aBuckets, aUse, now);
    if (now + wait < aDeadline) {
      wait = TakeToken(aBuckets, aUse, now);
    }
  }
  if (base::MonotonicClock::now() + wait >= aDeadline) {
    Of(aUse).mRefused->Add();
    co_return base::MakeError(kStoreBusy,
                              base::Cat("the share of ",
                                        base::NameOf(kTableUseNames, aUse),
                                        " is used up"));
  }
  if (wait.count() > 0) {
    co_await net::Sleep(wait);
  }
  co_return absl::OkStatus();
}

auto StoreClient::MayRetry(TableUse aUse,
                           int aRetry,
                           base::MonotonicTime aDeadline) -> net::Task<bool>
{
  auto wait = base::Milliseconds(0);
  {
    const auto lock = std::lock_guard(mMutex);
    wait = BackoffTime(mOptions.mBackoff, aRetry, mRandom);
    if (base::MonotonicClock::now() + wait >= aDeadline ||
        !TakeRetry(mRetries)) {
      co_return false;
    }
  }
  Of(aUse).mRetries->Add();
  co_await net::Sleep(wait);
  co_return true;
}

auto StoreClient::OnAnswer() -> void
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
    Of(aUse).mReads->Add();
    auto row = co_await mTable.Read(aUse, aKey, AttemptDeadline(aDeadline));
    if (row.ok()) {
      OnAnswer();
      co_return row;
    }
    const auto again =
      IsRetryable(row.status()) && co_await MayRetry(aUse, retry, aDeadline);
    if (!again) {
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
    Of(aUse).mReads->Add();
    auto rows = co_await mTable.Scan(
      aUse, aPrefix, aAfter, aLimit, AttemptDeadline(aDeadline));
    if (rows.ok()) {
      OnAnswer();
      co_return rows;
    }
    const auto again =
      IsRetryable(rows.status()) && co_await MayRetry(aUse, retry, aDeadline);
    if (!again) {
      co_return rows;
    }
  }
}

auto StoreClient::Settle(TableUse aUse,
                         const std::vector<TableWrite>& aWrites,
                         base::MonotonicTime aDeadline)
  -> net::Task<CommitVerdict>
{
  std::vector<FoundRow> rows;
  for (const auto& it : aWrites) {
    auto row = co_await Read(aUse, it.mKey, aDeadline);
    if (!row.ok()) {
      co_return CommitVerdict::Unknown;
    }
    rows.push_back(*std::move(row));
  }
  co_return JudgeCommit(aWrites, rows);
}

auto StoreClient::Commit(TableUse aUse,
                         std::vector<TableWrite> aWrites,
                         base::MonotonicTime aDeadline)
  -> net::Task<absl::Status>
{
  auto mayHaveTakenEffect = false;
  for (int retry = 0;; ++retry) {
    auto status = co_await Admit(mWriteBuckets, aUse, aDeadline);
    if (status.ok()) {
      Of(aUse).mWrites->Add();
      status =
        co_await mTable.Commit(aUse, aWrites, AttemptDeadline(aDeadline));
    }
    if (status.ok()) {
      OnAnswer();
      co_return status;
    }
    mayHaveTakenEffect = mayHaveTakenEffect || base::IsKind(status, kNoAnswer);
    const auto isConflict = base::IsKind(status, kVersionConflict);
    if (isConflict && !mayHaveTakenEffect) {
      Of(aUse).mConflicts->Add();
      co_return status;
    }
    if (mayHaveTakenEffect && CanBeSettled(aWrites)) {
      const auto verdict = co_await Settle(aUse, aWrites, aDeadline);
      if (verdict == CommitVerdict::Applied) {
        co_return absl::OkStatus();
      }
      if (verdict == CommitVerdict::Lost) {
        Of(aUse).mConflicts->Add();
        co_return base::MakeError(kVersionConflict,
                                  "another write took a row's version");
      }
    }
    const auto isSafe = !mayHaveTakenEffect || CanBeSettled(aWrites);
    const auto isWorth = IsRetryable(status) || isConflict;
    const auto again =
      isSafe && isWorth && co_await MayRetry(aUse, retry, aDeadline);
    if (!again) {
      if (!mayHaveTakenEffect) {
        co_return status;
      }
      Of(aUse).mUnknowns->Add();
      co_return base::MakeError(kNoAnswer,
                                "a commit had no answer and is not settled");
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
