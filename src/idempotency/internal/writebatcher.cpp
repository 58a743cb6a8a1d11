#include "writebatcher.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::idempotency {

namespace asio = net::asio;

namespace {

constexpr std::size_t kMaxBatchRows = 64;
constexpr std::size_t kMaxQueuedWrites = 4096;
constexpr int kMaxCommitsInFlight = 4;

auto OutcomeOf(const absl::Status& aStatus) -> WriteOutcome
{
  if (aStatus.ok()) {
    return WriteOutcome::Written;
  }
  if (base::IsKind(aStatus, platform::kVersionConflict)) {
    return WriteOutcome::BatchConflict;
  }
  return base::IsKind(aStatus, platform::kNotReached)
           ? WriteOutcome::NotReached
           : WriteOutcome::NoResponse;
}

} // namespace

struct WriteBatcher::Pending
{
  Pending(platform::TableWrite aWrite,
          const asio::any_io_executor& aExecutor,
          base::MonotonicTime aDeadline)
    : mWrite(std::move(aWrite))
    , mDone(aExecutor, aDeadline)
  {
  }

  platform::TableWrite mWrite;
  asio::steady_timer mDone;
  bool mIsSent = false;
  bool mIsAbandoned = false;
  std::optional<WriteOutcome> mOutcome;
};

WriteBatcher::WriteBatcher(IdempotencyDependencies& aDependencies,
                           const IdempotencyOptions& aOptions)
  : mDependencies(aDependencies)
  , mOptions(aOptions)
  , mCommits(aDependencies.mMetrics.FindCounter("idempotency_commits_total"))
{
}

auto WriteBatcher::Write(platform::TableWrite aWrite,
                         base::MonotonicTime aDeadline)
  -> net::Task<WriteOutcome>
{
  if (mQueue.size() >= kMaxQueuedWrites) {
    co_return WriteOutcome::NotReached;
  }
  auto pending = std::make_shared<Pending>(
    std::move(aWrite), mDependencies.mExecutor, aDeadline);
  mQueue.push_back(pending);
  StartSendLoop();
  boost::system::error_code ec;
  co_await pending->mDone.async_wait(
    asio::redirect_error(asio::use_awaitable, ec));
  if (pending->mOutcome) {
    co_return *pending->mOutcome;
  }
  pending->mIsAbandoned = true;
  co_return pending->mIsSent ? WriteOutcome::NoResponse
                             : WriteOutcome::NotReached;
}

auto WriteBatcher::StartSendLoop() -> void
{
  if (!mIsSending) {
    mIsSending = true;
    net::SpawnTask(mDependencies.mExecutor, SendLoop());
  }
}

auto WriteBatcher::SendLoop() -> net::Task<void>
{
  while (mCommitsInFlight < kMaxCommitsInFlight) {
    const auto now = base::MonotonicClock::now();
    if (now < mNextCommitAt) {
      co_await net::Sleep(
        std::chrono::ceil<base::Microseconds>(mNextCommitAt - now));
    }
    auto batch = TakeBatch();
    if (batch.empty()) {
      break;
    }
    mNextCommitAt = base::MonotonicClock::now() + mOptions.mMinCommitInterval;
    ++mCommitsInFlight;
    net::SpawnTask(mDependencies.mExecutor, Commit(std::move(batch)));
  }
  mIsSending = false;
}

auto WriteBatcher::TakeBatch() -> Batch
{
  Batch out;
  std::deque<PendingPtr> rest;
  for (auto& it : mQueue) {
    if (it->mIsAbandoned) {
      continue;
    }
    const auto fits = out.size() < kMaxBatchRows;
    if (fits && mRowsInFlight.insert(it->mWrite.mKey).second) {
      it->mIsSent = true;
      out.push_back(std::move(it));
    } else {
      rest.push_back(std::move(it));
    }
  }
  mQueue = std::move(rest);
  return out;
}

auto WriteBatcher::Commit(Batch aBatch) -> net::Task<void>
{
  std::vector<platform::TableWrite> writes;
  for (const auto& it : aBatch) {
    writes.push_back(it->mWrite);
  }
  mCommits.Add();
  const auto status = co_await mDependencies.mTable.Commit(
    platform::TableUse::IdempotencyKey,
    std::move(writes),
    base::MonotonicClock::now() + mOptions.mCallTimeout);
  const auto outcome = OutcomeOf(status);
  for (const auto& it : aBatch) {
    mRowsInFlight.erase(it->mWrite.mKey);
    it->mOutcome = outcome;
    it->mDone.cancel();
  }
  --mCommitsInFlight;
  StartSendLoop();
}

} // namespace eelgrasspost::idempotency
