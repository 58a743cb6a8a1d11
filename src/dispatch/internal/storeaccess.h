#pragma once

#include "eelgrasspost/base/eventlog.h"
#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/dispatch/dispatchtypes.h"
#include "eelgrasspost/net/messages.h"
#include "peers.h"

#include "commitbatcher.h"

namespace eelgrasspost::dispatch {

/** Store call timeout; slow replies take up to 0.5 s, callers wait for 3 s. */
inline constexpr auto kStoreTimeout = Milliseconds(1500);

/**
 * Calls the store directly or, while it refuses this entry, through a peer that
 * can reach it.
 */
class StoreAccess final : public ISharedStore
{
public:
  StoreAccess(ISharedStore& aDirect,
              net::MessageClient& aMessages,
              const Peers& aPeers,
              base::Metrics& aMetrics,
              base::EventLog& aLog);

  auto Commit(StoreTransaction aTransaction, MonotonicTime aDeadline)
    -> net::Task<StoreReply> override;
  auto ReadRange(RangeQuery aQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> override;
  auto ReadFeed(FeedQuery aQuery, MonotonicTime aDeadline)
    -> net::Task<StoreReply> override;

  /** Makes a call for a peer; never relays it further. */
  auto Serve(StoreRelay aRelay) -> net::Task<StoreReply>;

  /** Whether the store responds to this entry directly. */
  auto IsDirectlyReachable() const -> bool;
  /** Whether the store is reachable directly or through a peer. */
  auto IsReachable() const -> bool;

private:
  auto CallDirectly(const StoreRelay& aRelay, MonotonicTime aDeadline)
    -> net::Task<StoreReply>;
  auto Probe() -> net::Task<void>;
  auto Call(StoreRelay aRelay, MonotonicTime aDeadline)
    -> net::Task<StoreReply>;
  auto CallThroughPeer(const StoreRelay& aRelay, MonotonicTime aDeadline)
    -> net::Task<StoreReply>;
  auto FindRelayPeer() const -> const Peer*;
  auto RecordOutcome(const StoreReply& aReply, MonotonicTime aSentAt) -> void;
  auto RecordRefusal(const StoreTransaction& aTransaction,
                     const StoreReply& aReply) -> void;

  ISharedStore& mDirect;
  net::MessageClient& mMessages;
  const Peers& mPeers;
  base::EventLog& mLog;
  base::Counter& mCommits;
  base::Counter& mReads;
  base::Counter& mFailures;
  base::Counter& mRelayed;
  base::Counter& mRefusedCommits;
  base::Counter& mRejectedCommits;
  base::Histogram& mCommitTime;
  CommitBatcher mCommitBatcher;
  std::uint32_t mConsecutiveFailures = 0;
  MonotonicTime mLastAttemptAt{};
  bool mIsProbing = false;
  MonotonicTime mNextRefusalLogAt{};
  std::int64_t mUnloggedRefusals = 0;
};

} // namespace eelgrasspost::dispatch
