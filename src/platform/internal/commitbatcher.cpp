#include "eelgrasspost/platform/commitbatcher.h"

#include <deque>
#include <functional>
#include <mutex>
#include <set>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::platform {

namespace asio = net::asio;

namespace {

struct PendingCommit
{
  std::vector<TableWrite> mWrites;
  base::MonotonicTime mDeadline;
  std::function<void(absl::Status)> mDone;
};

using CommitBatch = std::vector<PendingCommit>;

struct BatcherState
{
  BatcherState(ITable& aTable,
               TableUse aUse,
               asio::any_io_executor aExecutor,
               CommitBatcherOptions aOptions)
    : mTable(aTable)
    , mUse(aUse)
    , mExecutor(std::move(aExecutor))
    , mOptions(aOptions)
  {
  }

  ITable& mTable;
  TableUse mUse;
  asio::any_io_executor mExecutor;
  CommitBatcherOptions mOptions;
  std::mutex mMutex;
  std::deque<PendingCommit> mQueue;
  bool mIsSending = false;
};

using BatcherStatePtr = std::shared_ptr<BatcherState>;

/** Takes queued transactions with disjoint rows, in their order. */
auto TakeBatch(BatcherState& aState) -> CommitBatch
{
  const auto lock = std::lock_guard(aState.mMutex);
  CommitBatch batch;
  std::set<std::string> keys;
  std::deque<PendingCommit> rest;
  for (auto& it : aState.mQueue) {
    auto fits = batch.empty() ||
                keys.size() + it.mWrites.size() <= aState.mOptions.mMaxRows;
    for (const auto& write : it.mWrites) {
      fits = fits && !keys.contains(write.mKey);
    }
    // A later transaction with the same rows must not overtake this one.
    for (const auto& write : it.mWrites) {
      keys.insert(write.mKey);
    }
    if (fits) {
      batch.push_back(std::move(it));
    } else {
      rest.push_back(std::move(it));
    }
  }
  aState.mQueue = std::move(rest);
  if (batch.empty()) {
    aState.mIsSending = false;
  }
  return batch;
}

auto CollectWrites(const CommitBatch& aBatch) -> std::vector<TableWrite>
{
  std::vector<TableWrite> out;
  for (const auto& it : aBatch) {
    out.insert(out.end(), it.mWrites.begin(), it.mWrites.end());
  }
  return out;
}

auto SendBatch(BatcherStatePtr aState, CommitBatch aBatch) -> net::Task<void>
{
  const auto deadline = base::MonotonicClock::now() + aState->mOptions.mTimeout;
  const auto status = co_await aState->mTable.Commit(
    aState->mUse, CollectWrites(aBatch), deadline);
  const auto isSplit =
    aBatch.size() > 1 && base::IsKind(status, kVersionConflict);
  if (!isSplit) {
    for (const auto& it : aBatch) {
      it.mDone(status);
    }
    co_return;
  }
  const auto middle = static_cast<std::ptrdiff_t>(aBatch.size() / 2);
  auto second = CommitBatch(std::make_move_iterator(aBatch.begin() + middle),
                            std::make_move_iterator(aBatch.end()));
  aBatch.resize(aBatch.size() / 2);
  co_await SendBatch(aState, std::move(aBatch));
  co_await SendBatch(aState, std::move(second));
}

auto RejectExpired(CommitBatch& aBatch) -> void
{
  const auto now = base::MonotonicClock::now();
  std::erase_if(aBatch, [&](const PendingCommit& aCommit) {
    const auto isLate = aCommit.mDeadline <= now;
    if (isLate) {
      aCommit.mDone(base::MakeError(
        kStoreBusy, "the deadline passed before the batch was sent"));
    }
    return isLate;
  });
}

auto SendLoop(BatcherStatePtr aState) -> net::Task<void>
{
  while (true) {
    co_await net::Sleep(aState->mOptions.mBatchDelay);
    auto batch = TakeBatch(*aState);
    if (batch.empty()) {
      co_return;
    }
    RejectExpired(batch);
    if (!batch.empty()) {
      co_await SendBatch(aState, std::move(batch));
    }
  }
}

class CommitBatcher : public ICommitBatcher
{
public:
  explicit CommitBatcher(BatcherStatePtr aState)
    : mState(std::move(aState))
  {
  }

  auto Commit(std::vector<TableWrite> aWrites, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override
  {
    auto start = [&](auto aHandler) {
      auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
      auto done = [handler](absl::Status aStatus) {
        asio::post(asio::get_associated_executor(*handler),
                   [handler, status = std::move(aStatus)]() mutable {
                     (*handler)(std::move(status));
                   });
      };
      Enqueue({ std::move(aWrites), aDeadline, std::move(done) });
    };
    co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                            void(absl::Status)>(
      start, asio::use_awaitable);
  }

private:
  auto Enqueue(PendingCommit aCommit) -> void
  {
    const auto lock = std::lock_guard(mState->mMutex);
    mState->mQueue.push_back(std::move(aCommit));
    if (!mState->mIsSending) {
      mState->mIsSending = true;
      net::SpawnTask(mState->mExecutor, SendLoop(mState));
    }
  }

  BatcherStatePtr mState;
};

} // namespace

auto MakeCommitBatcher(ITable& aTable,
                       TableUse aUse,
                       asio::any_io_executor aExecutor,
                       CommitBatcherOptions aOptions)
  -> std::unique_ptr<ICommitBatcher>
{
  return std::make_unique<CommitBatcher>(std::make_shared<BatcherState>(
    aTable, aUse, std::move(aExecutor), aOptions));
}

} // namespace eelgrasspost::platform
