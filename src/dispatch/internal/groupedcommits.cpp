#include "groupedcommits.h"

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

/** The store takes 100 entries and 1 MB in one transaction; the second leaves
 * room for the encoding. */
constexpr std::size_t kMostEntries = 100;
constexpr std::size_t kMostBytes = 500'000;
/** A transaction counts as lost after so many times the usual time, within
 * these bounds: several entries wait for one partition, and to send it again
 * while it waits there makes a slow store slower. */
constexpr int kLostFactor = 4;
constexpr auto kLeastTimeout = Milliseconds(1500);
constexpr auto kMostTimeout = Milliseconds(4000);

using Key = std::pair<std::string, std::string>;

auto KeyOf(const RowKey& aRow) -> Key
{
  return { aRow.mTable, aRow.mKey };
}

auto EntriesOf(const StoreTransaction& aTransaction) -> std::size_t
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

/** What a group expects and changes so far. */
struct Joined
{
  std::map<Key, std::uint64_t> mExpected;
  std::set<Key> mChanged;
  std::size_t mEntries = 0;
  std::size_t mBytes = 0;
};

/** Whether a transaction neither changes what the group changes or expects,
 * nor expects what the group changes or expects otherwise. */
auto Fits(const Joined& aJoined, const StoreTransaction& aTransaction) -> bool
{
  const auto isFree = [&](const RowKey& aRow) {
    return !aJoined.mChanged.contains(KeyOf(aRow)) &&
           !aJoined.mExpected.contains(KeyOf(aRow));
  };
  const auto isSame = [&](const RowExpectation& aExpected) {
    const auto key = KeyOf(aExpected.mRow);
    const auto it = aJoined.mExpected.find(key);
    return !aJoined.mChanged.contains(key) &&
           (it == aJoined.mExpected.end() || it->second == aExpected.mVersion);
  };
  return aJoined.mEntries + EntriesOf(aTransaction) <= kMostEntries &&
         aJoined.mBytes + BytesOf(aTransaction) <= kMostBytes &&
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

auto TooSlow() -> StoreReply
{
  StoreReply out;
  out.mOutcome = StoreOutcome::Refused;
  out.mError = "the store is too slow to answer in time; try again later";
  return out;
}

auto Join(Joined& aJoined, const StoreTransaction& aTransaction) -> void
{
  for (const auto& it : aTransaction.mExpected) {
    aJoined.mExpected.emplace(KeyOf(it.mRow), it.mVersion);
  }
  for (const auto& it : aTransaction.mWrites) {
    aJoined.mChanged.insert(KeyOf(it.mRow));
  }
  for (const auto& it : aTransaction.mRemovals) {
    aJoined.mChanged.insert(KeyOf(it));
  }
  aJoined.mEntries += EntriesOf(aTransaction);
  aJoined.mBytes += BytesOf(aTransaction);
}

} // namespace

struct GroupedCommits::Waiting
{
  Waiting(StoreTransaction aTransaction,
          MonotonicTime aDeadline,
          const net::asio::any_io_executor& aExecutor)
    : mTransaction(std::move(aTransaction))
    , mDeadline(aDeadline)
    , mDone(aExecutor, MonotonicTime::max())
  {
  }

  auto Answer(StoreReply aReply) -> void
  {
    mReply = std::move(aReply);
    mIsAnswered = true;
    mDone.cancel();
  }

  StoreTransaction mTransaction;
  MonotonicTime mDeadline;
  StoreReply mReply;
  bool mIsAnswered = false;
  net::asio::steady_timer mDone;
};

GroupedCommits::GroupedCommits(Send aSend)
  : mSend(std::move(aSend))
{
}

auto GroupedCommits::Commit(StoreTransaction aTransaction,
                            MonotonicTime aDeadline) -> net::Task<StoreReply>
{
  const auto executor = co_await net::asio::this_coro::executor;
  auto name = aTransaction.mPartition;
  auto& partition = mPartitions[name];
  // Behind the one under way it takes about the time of two.
  if (partition.mIsBusy &&
      base::MonotonicClock::now() + 2 * partition.mTook > aDeadline) {
    co_return TooSlow();
  }
  const auto waiting =
    std::make_shared<Waiting>(std::move(aTransaction), aDeadline, executor);
  partition.mQueue.push_back(waiting);
  if (!partition.mIsBusy) {
    partition.mIsBusy = true;
    net::SpawnTask(executor, Drain(std::move(name)));
  }
  if (!waiting->mIsAnswered) {
    boost::system::error_code ec;
    // The answer cancels the timer.
    co_await waiting->mDone.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ec));
  }
  co_return std::move(waiting->mReply);
}

auto GroupedCommits::Drain(std::string aPartition) -> net::Task<void>
{
  auto& partition = mPartitions[aPartition];
  while (!partition.mQueue.empty()) {
    auto group = TakeGroup(partition);
    if (!group.empty()) {
      co_await SendGroup(partition, std::move(group));
    }
  }
  partition.mIsBusy = false;
}

/** Takes transactions in their order; one that does not fit, and those after
 * it that touch its rows, wait for the next group. */
auto GroupedCommits::TakeGroup(Partition& aPartition) -> Group
{
  const auto now = base::MonotonicClock::now();
  Group out;
  Joined joined;
  Joined passed;
  std::deque<std::shared_ptr<Waiting>> rest;
  for (auto& it : aPartition.mQueue) {
    const auto& transaction = it->mTransaction;
    if (it->mDeadline <= now) {
      it->Answer(TooSlow());
    } else if (out.empty() ||
               (Fits(joined, transaction) && Fits(passed, transaction))) {
      Join(joined, transaction);
      out.push_back(std::move(it));
    } else {
      Join(passed, transaction);
      rest.push_back(std::move(it));
    }
  }
  aPartition.mQueue = std::move(rest);
  return out;
}

auto GroupedCommits::SendGroup(Partition& aPartition, Group aGroup)
  -> net::Task<void>
{
  auto whole = aGroup.front()->mTransaction;
  auto deadline = aGroup.front()->mDeadline;
  std::set<Key> expected;
  for (const auto& it : whole.mExpected) {
    expected.insert(KeyOf(it.mRow));
  }
  for (std::size_t i = 1; i < aGroup.size(); ++i) {
    const auto& more = aGroup[i]->mTransaction;
    for (const auto& it : more.mExpected) {
      if (expected.insert(KeyOf(it.mRow)).second) {
        whole.mExpected.push_back(it);
      }
    }
    whole.mWrites.insert(
      whole.mWrites.end(), more.mWrites.begin(), more.mWrites.end());
    whole.mRemovals.insert(
      whole.mRemovals.end(), more.mRemovals.begin(), more.mRemovals.end());
    deadline = std::max(deadline, aGroup[i]->mDeadline);
  }
  const auto sentAt = base::MonotonicClock::now();
  const auto limit =
    sentAt +
    std::clamp(kLostFactor * aPartition.mTook, kLeastTimeout, kMostTimeout);
  auto reply = co_await mSend(std::move(whole), std::min(deadline, limit));
  const auto took = std::chrono::duration_cast<Milliseconds>(
    base::MonotonicClock::now() - sentAt);
  aPartition.mTook = (aPartition.mTook * 3 + took) / 4;
  if (aGroup.size() == 1 || reply.mOutcome != StoreOutcome::Conflict) {
    for (const auto& it : aGroup) {
      it->Answer(reply);
    }
    co_return;
  }
  // One of them is at fault; halves find it.
  const auto middle = static_cast<std::ptrdiff_t>(aGroup.size() / 2);
  auto second = Group(aGroup.begin() + middle, aGroup.end());
  aGroup.resize(aGroup.size() / 2);
  co_await SendGroup(aPartition, std::move(aGroup));
  co_await SendGroup(aPartition, std::move(second));
}

} // namespace eelgrasspost::dispatch
