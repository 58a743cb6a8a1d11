#include "writebatcher.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::idempotency {

namespace asio = net::asio;

namespace {

constexpr std::size_t kGroupLimit = 64;
constexpr std::size_t kQueueLimit = 4096;
/** Transactions that may wait for the table at once. */
constexpr int kUnderWayLimit = 4;

auto EndOf(const absl::Status& aStatus) -> WriteEnd
{
  if (aStatus.ok()) {
    return WriteEnd::Written;
  }
  if (base::IsKind(aStatus, platform::kVersionConflict)) {
    return WriteEnd::GroupConflict;
  }
  return base::IsKind(aStatus, platform::kNotReached) ? WriteEnd::NotReached
                                                      : WriteEnd::NoAnswer;
}

} // namespace

struct GroupWriter::Pending
{
  Pending(platform::TableWrite aWrite,
          const asio::any_io_executor& aHome,
          base::MonotonicTime aDeadline)
    : mWrite(std::move(aWrite))
    , mDone(aHome, aDeadline)
  {
  }

  platform::TableWrite mWrite;
  asio::steady_timer mDone;
  bool mSent = false;
  bool mGivenUp = false;
  std::optional<WriteEnd> mEnd;
};

GroupWriter::GroupWriter(IdempotencyParts& aParts,
                         const IdempotencyOptions& aOptions)
  : mParts(aParts)
  , mOptions(aOptions)
  , mCommits(aParts.mMetrics.FindCounter("idempotency_commits_total"))
{
}

auto GroupWriter::Write(platform::TableWrite aWrite,
                        base::MonotonicTime aDeadline) -> net::Task<WriteEnd>
{
  if (mQueue.size() >= kQueueLimit) {
    co_return WriteEnd::NotReached;
  }
  auto pending =
    std::make_shared<Pending>(std::move(aWrite), mParts.mHome, aDeadline);
  mQueue.push_back(pending);
  StartDraining();
  boost::system::error_code ec;
  co_await pending->mDone.async_wait(
    asio::redirect_error(asio::use_awaitable, ec));
  if (pending->mEnd) {
    co_return *pending->mEnd;
  }
  pending->mGivenUp = true;
  co_return pending->mSent ? WriteEnd::NoAnswer : WriteEnd::NotReached;
}

auto GroupWriter::StartDraining() -> void
{
  if (!mDraining) {
    mDraining = true;
    net::SpawnTask(mParts.mHome, Drain());
  }
}

auto GroupWriter::Drain() -> net::Task<void>
{
  while (mUnderWay < kUnderWayLimit) {
    const auto now = base::MonotonicClock::now();
    if (now < mNextStart) {
      co_await net::Sleep(
        std::chrono::ceil<base::Microseconds>(mNextStart - now));
    }
    auto group = TakeGroup();
    if (group.empty()) {
      break;
    }
    mNextStart = base::MonotonicClock::now() + mOptions.mGroupInterval;
    ++mUnderWay;
    net::SpawnTask(mParts.mHome, Commit(std::move(group)));
  }
  mDraining = false;
}

auto GroupWriter::TakeGroup() -> Group
{
  Group out;
  std::deque<PendingPtr> rest;
  for (auto& it : mQueue) {
    if (it->mGivenUp) {
      continue;
    }
    const auto fits = out.size() < kGroupLimit;
    if (fits && mRowsUnderWay.insert(it->mWrite.mKey).second) {
      it->mSent = true;
      out.push_back(std::move(it));
    } else {
      rest.push_back(std::move(it));
    }
  }
  mQueue = std::move(rest);
  return out;
}

auto GroupWriter::Commit(Group aGroup) -> net::Task<void>
{
  std::vector<platform::TableWrite> writes;
  for (const auto& it : aGroup) {
    writes.push_back(it->mWrite);
  }
  mCommits.Add();
  const auto status = co_await mParts.mTable.Commit(
    platform::TableUse::IdempotencyKey,
    std::move(writes),
    base::MonotonicClock::now() + mOptions.mCallTimeout);
  const auto end = EndOf(status);
  for (const auto& it : aGroup) {
    mRowsUnderWay.erase(it->mWrite.mKey);
    it->mEnd = end;
    it->mDone.cancel();
  }
  --mUnderWay;
  StartDraining();
}

} // namespace eelgrasspost::idempotency
