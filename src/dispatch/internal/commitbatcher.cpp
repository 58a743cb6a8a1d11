#include "commitbatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::dispatch {

namespace {

/** The store accepts 100 items (expectations, writes and removals) and 1 MB per
 * transaction; the size limit leaves room for the encoding. */
constexpr std::size_t kMaxItems = 100;
constexpr std::size_t kMaxBytes = 500'000;
/** The timeout of a transaction is this multiple of its usual duration, within
 * the bounds below. Several entries share a partition, and resending a
 * transaction that is still queued there slows down the store further. */
constexpr int kTimeoutFactor = 4;
constexpr auto kMinTimeout = Milliseconds(1500);
constexpr auto kMaxTimeout = Milliseconds(4000);

using Key = std::pair<std::string, std::string>;

auto KeyOf(const RowKey& aRow) -> Key
{
  return { aRow.mTable, aRow.mKey };
}

auto ItemsOf(const StoreTransaction& aTransaction) -> std::size_t
{
  return aTransaction.mExpected.size() + aTransaction.mWrites.size() +
         aTransaction.mRemovals.size();
}

auto BytesOf(const StoreTransaction& aTransaction) -> std::size_t
{
  std::size_t out = 0;
  for (const auto& it : aTransaction.mWrites) {
    out += it.mValue.size();
  }
  return out;
}

/** Rows that a batch expects and changes. */
struct BatchRows
{
  std::map<Key, std::uint64_t> mExpected;
  std::set<Key> mChanged;
  std::size_t mItems = 0;
  std::size_t mBytes = 0;
};

/** Whether a transaction can join a batch: it changes no row that the batch
 * changes or expects, and expects neither a row that the batch changes nor
 * another version of a row that the batch expects. */
auto CanJoin(const BatchRows& aBatchRows, const StoreTransaction& aTransaction)
  -> bool
{
  const auto isFree = [&](const RowKey& aRow) {
    return !aBatchRows.mChanged.contains(KeyOf(aRow)) &&
           !aBatchRows.mExpected.contains(KeyOf(aRow));
  };
  const auto isSame = [&](const RowExpectation& aExpected) {
    const auto key = KeyOf(aExpected.mRow);
    const auto it = aBatchRows.mExpected.find(key);
    return !aBatchRows.mChanged.contains(key) &&
           (it == aBatchRows.mExpected.end() ||
            it->second == aExpected.mVersion);
  };
  return aBatchRows.mItems + ItemsOf(aTransaction) <= kMaxItems &&
         aBatchRows.mBytes + BytesOf(aTransaction) <= kMaxBytes &&
         std::all_of(aTransaction.mExpected.begin(),
                     aTransaction.mExpected.end(),
                     isSame) &&
         std::all_of(
           aTransaction.mWrites.begin(),
           aTransaction.mWrites.end(),
           [&](const RowWrite& aWrite) { return isFree(aWrite.mRow); }) &&
         std::all_of(aTransaction.mRemovals.begin(),
                     aTransaction.mRemovals.end(),
                     isFree);
}

auto RefuseAsTooSlow() -> StoreReply
{
  StoreReply out;
  out.mOutcome = StoreOutcome::Refused;
  out.mError = "the store is too slow to reply in time; retry later";
  return out;
}

auto AddToBatch(BatchRows& aBatchRows, const StoreTransaction& aTransaction)
  -> void
{
  for (const auto& it : aTransaction.mExpected) {
    aBatchRows.mExpected.emplace(KeyOf(it.mRow), it.mVersion);
  }
  for (const auto& it : aTransaction.mWrites) {
    aBatchRows.mChanged.insert(KeyOf(it.mRow));
  }
  for (const auto& it : aTransaction.mRemovals) {
    aBatchRows.mChanged.insert(KeyOf(it));
  }
  aBatchRows.mItems += ItemsOf(aTransaction);
  aBatchRows.mBytes += BytesOf(aTransaction);
}

} // namespace

struct CommitBatcher::PendingCommit
{
  PendingCommit(StoreTransaction aTransaction,
                MonotonicTime aDeadline,
                const net::asio::any_io_executor& aExecutor)
    : mTransaction(std::move(aTransaction))
    , mDeadline(aDeadline)
    , mDone(aExecutor, MonotonicTime::max())
  {
  }

  auto Complete(StoreReply aReply) -> void
  {
    mReply = std::move(aReply);
    mIsCompleted = true;
    mDone.cancel();
  }

  StoreTransaction mTransaction;
  MonotonicTime mDeadline;
  StoreReply mReply;
  bool mIsCompleted = false;
  net::asio::steady_timer mDone;
};

CommitBatcher::CommitBatcher(Send aSend)
  : mSend(std::move(aSend))
{
}

auto CommitBatcher::Commit(StoreTransaction aTransaction,
                           MonotonicTime aDeadline) -> net::Task<StoreReply>
{
  const auto executor = co_await net::asio::this_coro::executor;
  auto name = aTransaction.mPartition;
  auto& partition = mPartitions[name];
  // Behind the transaction in flight it takes about twice the usual time.
  if (partition.mIsBusy &&
      base::MonotonicClock::now() + 2 * partition.mCommitTime > aDeadline) {
    co_return RefuseAsTooSlow();
  }
  const auto waiting = std::make_shared<PendingCommit>(
    std::move(aTransaction), aDeadline, executor);
  partition.mQueue.push_back(waiting);
  if (!partition.mIsBusy) {
    partition.mIsBusy = true;
    net::SpawnTask(executor, Drain(std::move(name)));
  }
  if (!waiting->mIsCompleted) {
    boost::system::error_code ec;
    // The reply cancels the timer.
    co_await waiting->mDone.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ec));
  }
  co_return std::move(waiting->mReply);
}

auto CommitBatcher::Drain(std::string aPartition) -> net::Task<void>
{
  auto& partition = mPartitions[aPartition];
  while (!partition.mQueue.empty()) {
    auto batch = TakeBatch(partition);
    if (!batch.empty()) {
      co_await SendBatch(partition, std::move(batch));
    }
  }
  partition.mIsBusy = false;
}

/** Takes queued transactions in order. One that cannot join the batch, and
 * later ones that conflict with it, wait for the next batch. */
auto CommitBatcher::TakeBatch(Partition& aPartition) -> Batch
{
  const auto now = base::MonotonicClock::now();
  Batch out;
  BatchRows batchRows;
  BatchRows skippedRows;
  std::deque<std::shared_ptr<PendingCommit>> remaining;
  for (auto& it : aPartition.mQueue) {
    const auto& transaction = it->mTransaction;
    if (it->mDeadline <= now) {
      it->Complete(RefuseAsTooSlow());
    } else if (out.empty() || (CanJoin(batchRows, transaction) &&
                               CanJoin(skippedRows, transaction))) {
      AddToBatch(batchRows, transaction);
      out.push_back(std::move(it));
    } else {
      AddToBatch(skippedRows, transaction);
      remaining.push_back(std::move(it));
    }
  }
  aPartition.mQueue = std::move(remaining);
  return out;
}

auto CommitBatcher::SendBatch(Partition& aPartition, Batch aBatch)
  -> net::Task<void>
{
  auto merged = aBatch.front()->mTransaction;
  auto deadline = aBatch.front()->mDeadline;
  std::set<Key> expected;
  for (const auto& it : merged.mExpected) {
    expected.insert(KeyOf(it.mRow));
  }
  for (std::size_t i = 1; i < aBatch.size(); ++i) {
    const auto& next = aBatch[i]->mTransaction;
    for (const auto& it : next.mExpected) {
      if (expected.insert(KeyOf(it.mRow)).second) {
        merged.mExpected.push_back(it);
      }
    }
    merged.mWrites.insert(
      merged.mWrites.end(), next.mWrites.begin(), next.mWrites.end());
    merged.mRemovals.insert(
      merged.mRemovals.end(), next.mRemovals.begin(), next.mRemovals.end());
    deadline = std::max(deadline, aBatch[i]->mDeadline);
  }
  const auto sentAt = base::MonotonicClock::now();
  const auto limit =
    sentAt + std::clamp(kTimeoutFactor * aPartition.mCommitTime,
                        kMinTimeout,
                        kMaxTimeout);
  auto reply = co_await mSend(std::move(merged), std::min(deadline, limit));
  const auto took = std::chrono::duration_cast<Milliseconds>(
    base::MonotonicClock::now() - sentAt);
  aPartition.mCommitTime = (aPartition.mCommitTime * 3 + took) / 4;
  const auto isOfOne = reply.mOutcome == StoreOutcome::Conflict ||
                       reply.mOutcome == StoreOutcome::Rejected;
  if (aBatch.size() == 1 || !isOfOne) {
    for (const auto& it : aBatch) {
      it->Complete(reply);
    }
    co_return;
  }
  // Finds the transaction at fault by bisection.
  const auto middle = static_cast<std::ptrdiff_t>(aBatch.size() / 2);
  auto second = Batch(aBatch.begin() + middle, aBatch.end());
  aBatch.resize(aBatch.size() / 2);
  co_await SendBatch(aPartition, std::move(aBatch));
  co_await SendBatch(aPartition, std::move(second));
}

} // namespace eelgrasspost::dispatch
