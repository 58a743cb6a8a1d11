#include "storeaccess.h"

#include <utility>

#include <boost/asio/this_coro.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/storelogevents.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::dispatch {

namespace {

/** Consecutive failed calls after which calls go to peers first. */
constexpr std::uint32_t kFailureLimit = 2;
/** How often a store that does not respond is probed. */
constexpr auto kProbeInterval = Milliseconds(500);
/** About twice the time that a slow store takes for a read. */
constexpr auto kProbeTimeout = Milliseconds(800);
constexpr auto kRefusalLogInterval = Milliseconds(1000);

auto IsAnswer(StoreOutcome aOutcome) -> bool
{
  return aOutcome == StoreOutcome::Done || aOutcome == StoreOutcome::Conflict ||
         aOutcome == StoreOutcome::HistoryTruncated ||
         aOutcome == StoreOutcome::Rejected;
}

} // namespace

StoreAccess::StoreAccess(ISharedStore& aDirect,
                         net::MessageClient& aMessages,
                         const Peers& aPeers,
                         base::Metrics& aMetrics,
                         base::EventLog& aLog)
  : mDirect(aDirect)
  , mMessages(aMessages)
  , mPeers(aPeers)
  , mLog(aLog)
  , mCommits(aMetrics.FindCounter("store_calls_total{use=\"commit\"}"))
  , mReads(aMetrics.FindCounter("store_calls_total{use=\"read\"}"))
  , mFailures(aMetrics.FindCounter("store_failures_total"))
  , mRelayed(aMetrics.FindCounter("store_relayed_total"))
  , mRefusedCommits(
      aMetrics.FindCounter("store_refused_commits_total{until=\"later\"}"))
  , mRejectedCommits(
      aMetrics.FindCounter("store_refused_commits_total{until=\"never\"}"))
  , mCommitTime(aMetrics.FindHistogram("store_commit_time_us"))
  , mCommitBatcher([this](StoreTransaction aTransaction,
                          MonotonicTime aDeadline) -> net::Task<StoreReply> {
    StoreRelay relay;
    relay.mKind = RelayKind::Commit;
    relay.mTransaction = std::move(aTransaction);
    co_return co_await Call(std::move(relay), aDeadline);
  })
{
}

auto StoreAccess::IsDirectlyReachable() const -> bool
{
  return mConsecutiveFailures < kFailureLimit;
}

auto StoreAccess::FindRelayPeer() const -> const Peer*
{
  const auto now = base::MonotonicClock::now();
  for (const auto& [name, it] : mPeers.All()) {
    if (mPeers.IsAlive(it, now) && it.mLastHeartbeat.mReachesStore) {
      return &it;
    }
  }
  return nullptr;
}

auto StoreAccess::IsReachable() const -> bool
{
  return IsDirectlyReachable() || FindRelayPeer() != nullptr;
}

auto StoreAccess::CallDirectly(const StoreRelay& aRelay,
                               MonotonicTime aDeadline) -> net::Task<StoreReply>
{
  mLastAttemptAt = base::MonotonicClock::now();
  const auto sentAt = mLastAttemptAt;
  StoreReply reply;
  switch (aRelay.mKind) {
    case RelayKind::Commit:
      mCommits.Add();
      reply = co_await mDirect.Commit(aRelay.mTransaction, aDeadline);
      break;
    case RelayKind::ReadRange:
      mReads.Add();
      reply = co_await mDirect.ReadRange(aRelay.mRange, aDeadline);
      break;
    case RelayKind::ReadFeed:
      mReads.Add();
      reply = co_await mDirect.ReadFeed(aRelay.mFeed, aDeadline);
      break;
  }
  if (aRelay.mKind == RelayKind::Commit) {
    mCommitTime.Record(
      static_cast<double>(std::chrono::duration_cast<base::Microseconds>(
                            base::MonotonicClock::now() - sentAt)
                            .count()));
  }
  RecordOutcome(reply, sentAt);
  if (aRelay.mKind == RelayKind::Commit &&
      (reply.mOutcome == StoreOutcome::Refused ||
       reply.mOutcome == StoreOutcome::Rejected)) {
    RecordRefusal(aRelay.mTransaction, reply);
  }
  if (reply.mOutcome == StoreOutcome::Unknown && !mIsProbing) {
    // The connection may have gone silent while the store responds on others.
    net::SpawnTask(co_await net::asio::this_coro::executor, Probe());
  }
  co_return reply;
}

auto StoreAccess::RecordOutcome(const StoreReply& aReply, MonotonicTime aSentAt)
  -> void
{
  const auto wasReached = IsDirectlyReachable();
  const auto took = std::chrono::duration_cast<Milliseconds>(
    base::MonotonicClock::now() - aSentAt);
  if (IsAnswer(aReply.mOutcome)) {
    mConsecutiveFailures = 0;
  } else {
    mFailures.Add();
    ++mConsecutiveFailures;
  }
  if (IsDirectlyReachable() != wasReached) {
    mLog.Record(
      wasReached ? kStoreUnreachable : kStoreReachable,
      { { "failures", static_cast<std::int64_t>(mConsecutiveFailures) },
        { "took_ms", took.count() },
        { "relay", FindRelayPeer() ? "yes" : "no" },
        { "reason", aReply.mError } });
  }
}

auto StoreAccess::RecordRefusal(const StoreTransaction& aTransaction,
                                const StoreReply& aReply) -> void
{
  const auto isRejected = aReply.mOutcome == StoreOutcome::Rejected;
  (isRejected ? mRejectedCommits : mRefusedCommits).Add();
  ++mUnloggedRefusals;
  const auto now = base::MonotonicClock::now();
  if (now < mNextRefusalLogAt) {
    return;
  }
  mNextRefusalLogAt = now + kRefusalLogInterval;
  std::size_t bytes = 0;
  const RowWrite* largest = nullptr;
  for (const auto& it : aTransaction.mWrites) {
    bytes += it.mValue.size();
    if (!largest || it.mValue.size() > largest->mValue.size()) {
      largest = &it;
    }
  }
  const auto items = aTransaction.mExpected.size() +
                     aTransaction.mWrites.size() +
                     aTransaction.mRemovals.size();
  mLog.Record(
    kCommitRefused,
    { { "until", isRejected ? "never" : "later" },
      { "partition", aTransaction.mPartition },
      { "items", static_cast<std::int64_t>(items) },
      { "bytes", static_cast<std::int64_t>(bytes) },
      { "largest_row",
        largest ? base::Cat(largest->mRow.mTable, " ", largest->mRow.mKey)
                : std::string() },
      { "largest_row_bytes",
        static_cast<std::int64_t>(largest ? largest->mValue.size() : 0) },
      { "refused", std::exchange(mUnloggedRefusals, 0) },
      { "reason", aReply.mError } });
}

auto StoreAccess::CallThroughPeer(const StoreRelay& aRelay,
                                  MonotonicTime aDeadline)
  -> net::Task<StoreReply>
{
  StoreReply out;
  const auto* peer = FindRelayPeer();
  if (!peer) {
    out.mOutcome = StoreOutcome::Refused;
    out.mError = "neither the store nor a peer that can reach it is reachable";
    co_return out;
  }
  mRelayed.Add();
  auto relay = aRelay;
  relay.mTimeoutMs = base::RemainingMs(aDeadline);
  auto reply = co_await net::CallTyped<StoreReply>(mMessages,
                                                   peer->mRow.mPeers,
                                                   net::MessageKind::StoreRelay,
                                                   std::move(relay),
                                                   aDeadline);
  if (reply.mStatus.ok()) {
    co_return std::move(reply.mReply);
  }
  out.mOutcome = reply.mProgress == net::SendProgress::NothingSent
                   ? StoreOutcome::Refused
                   : StoreOutcome::Unknown;
  out.mError = std::string(base::MessageOf(reply.mStatus));
  co_return out;
}

/** Checks whether the store responds again. Runs in the background: during a
 * network partition it takes its whole timeout. */
auto StoreAccess::Probe() -> net::Task<void>
{
  mIsProbing = true;
  StoreRelay probe;
  probe.mKind = RelayKind::ReadRange;
  probe.mRange.mTable = std::string(kControlTable);
  probe.mRange.mLimit = 1;
  co_await CallDirectly(probe, base::MonotonicClock::now() + kProbeTimeout);
  mIsProbing = false;
}

auto StoreAccess::Call(StoreRelay aRelay, MonotonicTime aDeadline)
  -> net::Task<StoreReply>
{
  if (IsDirectlyReachable()) {
    auto reply = co_await CallDirectly(aRelay, aDeadline);
    // A refused call had no effect and may be retried through a peer.
    if (reply.mOutcome != StoreOutcome::Refused || !FindRelayPeer()) {
      co_return reply;
    }
    co_return co_await CallThroughPeer(aRelay, aDeadline);
  }
  const auto now = base::MonotonicClock::now();
  if (now - mLastAttemptAt > kProbeInterval) {
    mLastAttemptAt = now;
    net::SpawnTask(co_await net::asio::this_coro::executor, Probe());
  }
  if (FindRelayPeer()) {
    co_return co_await CallThroughPeer(aRelay, aDeadline);
  }
  StoreReply out;
  out.mOutcome = StoreOutcome::Refused;
  out.mError = "the store neither answers nor accepts this entry's calls, and "
               "no peer can relay them";
  co_return out;
}

auto StoreAccess::Commit(StoreTransaction aTransaction, MonotonicTime aDeadline)
  -> net::Task<StoreReply>
{
  co_return co_await mCommitBatcher.Commit(std::move(aTransaction), aDeadline);
}

auto StoreAccess::ReadRange(RangeQuery aQuery, MonotonicTime aDeadline)
  -> net::Task<StoreReply>
{
  StoreRelay relay;
  relay.mKind = RelayKind::ReadRange;
  relay.mRange = std::move(aQuery);
  co_return co_await Call(std::move(relay), aDeadline);
}

auto StoreAccess::ReadFeed(FeedQuery aQuery, MonotonicTime aDeadline)
  -> net::Task<StoreReply>
{
  StoreRelay relay;
  relay.mKind = RelayKind::ReadFeed;
  relay.mFeed = std::move(aQuery);
  co_return co_await Call(std::move(relay), aDeadline);
}

auto StoreAccess::Serve(StoreRelay aRelay) -> net::Task<StoreReply>
{
  const auto deadline =
    base::MonotonicClock::now() + Milliseconds(aRelay.mTimeoutMs);
  co_return co_await CallDirectly(aRelay, deadline);
}

} // namespace eelgrasspost::dispatch
