#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "eelgrasspost/dispatch/iplatform.h"
#include "eelgrasspost/net/iopool.h"

namespace eelgrasspost::dispatch::testing {

/** An end that a worker lists until it is acknowledged. */
struct FakeEnd
{
  std::string mWorker;
  cell::EndRow mRow;
};

/** Workers that execute all orders; the test ends their runs. */
class FakeWorkers final : public IWorkerOrders
{
public:
  std::vector<cell::Order> mStarts;
  std::vector<cell::Order> mStops;
  std::map<std::string, std::string> mWorkerOf;
  std::map<std::string, cell::RunningRow> mRunning;
  /** Each worker numbers its ends itself. */
  std::vector<FakeEnd> mEnds;
  /** Highest number that was acknowledged to a worker. */
  std::uint64_t mAcknowledged = 0;
  /** Starts of tasks that were running on another worker. */
  std::size_t mOverlaps = 0;
  /** By worker and task: the highest attempt that was stopped or has ended
   * there; the worker refuses to start it and earlier ones. */
  std::map<std::string, std::map<std::string, std::uint64_t>> mSettledAttempts;
  /** Highest fencing token that each worker has seen. */
  std::map<std::string, std::uint64_t> mTokens;
  /** Start times of the workers' incarnations; 1 where none is given. */
  std::map<std::string, std::int64_t> mIncarnations;
  std::int64_t mClockMs = 100000;
  std::map<std::string, std::int64_t> mStartedAtMs;
  /** Orders get no reply and are kept. */
  bool mHoldsOrders = false;
  /** The same for some workers only. */
  std::set<std::string> mHoldingWorkers;
  std::vector<std::pair<WorkerCall, cell::Order>> mHeldOrders;
  /** Workers that execute renewals but whose replies are lost. */
  std::set<std::string> mLosesReplies;
  /** Number of the next renewals that are executed late, without a reply. */
  std::size_t mLateRenewals = 0;
  /** Workers that do not reply to renewals. */
  std::set<std::string> mUnresponsive;
  /** Ports of workers; another worker replies at each other port. */
  std::map<std::string, std::uint16_t> mPorts;
  /** Renewals wait for an end, as those of the platform's workers do. */
  bool mWaitsForEnds = false;
  /** Ends per reply. */
  std::size_t mMaxListedEnds = 500;
  /** Tasks that crash each worker that starts them. */
  std::set<std::string> mDeadlyTasks;
  /** Listed capacity of workers; starts on others are not checked. */
  std::map<std::string, cell::Resources> mCapacities;
  /** Capacity that may still be used shortly after it was reduced. */
  std::map<std::string, cell::Resources> mFormerCapacities;
  /** Workers that are listed as draining. */
  std::set<std::string> mDraining;
  /** What one task needs, by the id of its job. */
  std::map<std::string, cell::Resources> mNeeds;
  /** Starts that exceeded the capacity of their worker, described. */
  std::vector<std::string> mExcessiveStarts;
  /** By worker: calls with lower tokens are lost. */
  std::map<std::string, std::uint64_t> mLowestHeardTokens;
  /** By worker: calls with higher tokens are lost. */
  std::map<std::string, std::uint64_t> mHighestHeardTokens;
  /** The workers' clocks show the time; otherwise each call advances them. */
  bool mHasRealClock = false;
  /** By worker: the latest lease end that it was sent, also without a reply. */
  std::map<std::string, std::int64_t> mLeaseEnds;
  /** When a lease was sent last. */
  MonotonicTime mLeaseSentAt{};
  /** By worker: when the lease of its incarnation ends, as the worker counts
   * it; only with real clocks. */
  std::map<std::string, MonotonicTime> mLeasesEndAt;
  /** Lease ends, received by a worker, that only the clock of a former
   * incarnation explains. */
  std::size_t mForeignLeases = 0;

  auto End(const std::string& aTask, cell::EndKind aKind) -> void
  {
    const auto attempt = mRunning.at(aTask).mAttempt;
    const auto& worker = mWorkerOf.at(aTask);
    auto& settled = mSettledAttempts[worker][aTask];
    settled = std::max(settled, attempt);
    mRunning.erase(aTask);
    mEnds.push_back(
      { worker, { ++mLastEnds[worker], aTask, attempt, aKind, "" } });
  }

  auto Send(WorkerCall aCall,
            const cell::Order& aOrder,
            std::int64_t aLeaseEndMs) -> net::Task<OrderReply> override
  {
    if (aOrder.mKind == cell::OrderKind::Start) {
      NoteLease(aCall.mWorker, aLeaseEndMs);
      mLeaseEndsOfStarts[{ aOrder.mTask, aOrder.mAttempt }] = aLeaseEndMs;
    }
    if (!Hears(aCall)) {
      co_await net::Sleep(Milliseconds(100));
      co_return OrderReply{ cell::OrderOutcome::Unknown };
    }
    if (!IsAtAddress(aCall)) {
      // Another worker replies, with the time on its own clock.
      constexpr std::int64_t kOtherClockMs = 3'600'000;
      co_return OrderReply{ cell::OrderOutcome::OtherIncarnation,
                            kOtherClockMs };
    }
    if (!IsForIncarnation(aCall)) {
      co_return OrderReply{ cell::OrderOutcome::Restarted };
    }
    if (mHoldsOrders || mHoldingWorkers.contains(aCall.mWorker)) {
      mHeldOrders.emplace_back(aCall, aOrder);
      co_return OrderReply{ cell::OrderOutcome::Unknown };
    }
    co_return Execute(aCall, aOrder);
  }

  auto IsAtAddress(const WorkerCall& aCall) const -> bool
  {
    const auto it = mPorts.find(aCall.mWorker);
    return it == mPorts.end() || it->second == aCall.mAddress.mPort;
  }

  /** Executes the held orders, which were not answered. */
  auto ExecuteHeldOrders() -> void
  {
    mHoldsOrders = false;
    for (const auto& [call, order] : mHeldOrders) {
      Execute(call, order);
    }
    mHeldOrders.clear();
  }

  /** Executes the held orders to one worker. */
  auto ExecuteHeldOrders(const std::string& aWorker) -> void
  {
    mHoldingWorkers.erase(aWorker);
    for (const auto& [call, order] : mHeldOrders) {
      if (call.mWorker == aWorker) {
        Execute(call, order);
      }
    }
    std::erase_if(mHeldOrders, [&](const auto& aItem) {
      return aItem.first.mWorker == aWorker;
    });
  }

  auto Execute(const WorkerCall& aCall, const cell::Order& aOrder) -> OrderReply
  {
    if (!AcceptToken(aCall)) {
      return OrderReply{ cell::OrderOutcome::Superseded,
                         ClockOf(aCall.mWorker) };
    }
    auto& settled = mSettledAttempts[aCall.mWorker][aOrder.mTask];
    if (aOrder.mKind == cell::OrderKind::Start) {
      ExtendLease(aCall.mWorker,
                  mLeaseEndsOfStarts[{ aOrder.mTask, aOrder.mAttempt }]);
    }
    if (aOrder.mKind == cell::OrderKind::Start && aOrder.mAttempt <= settled) {
      return OrderReply{ cell::OrderOutcome::Refused, ClockOf(aCall.mWorker) };
    }
    if (aOrder.mKind == cell::OrderKind::Stop) {
      settled = std::max(settled, aOrder.mAttempt);
    }
    if (aOrder.mKind == cell::OrderKind::Start) {
      mStarts.push_back(aOrder);
      CheckCapacity(aCall, aOrder);
      mOverlaps += mRunning.contains(aOrder.mTask) &&
                       mWorkerOf.at(aOrder.mTask) != aCall.mWorker &&
                       !HasLapsed(mWorkerOf.at(aOrder.mTask))
                     ? 1
                     : 0;
      mWorkerOf[aOrder.mTask] = aCall.mWorker;
      mRunning[aOrder.mTask] = { aOrder.mTask, aOrder.mAttempt, "", 1, 0 };
      if (mDeadlyTasks.contains(aOrder.mTask)) {
        Restart(aCall.mWorker);
      }
    }
    if (aOrder.mKind == cell::OrderKind::Stop) {
      mStops.push_back(aOrder);
    }
    ++mClockMs;
    return OrderReply{ cell::OrderOutcome::Done, ClockOf(aCall.mWorker) };
  }

  auto Renew(WorkerCall aCall, LeaseRenewal aRenewal)
    -> net::Task<LeaseRenewalReply> override
  {
    NoteLease(aCall.mWorker, aRenewal.mLeaseEndMs);
    const auto incarnation = IncarnationOf(aCall.mWorker);
    co_await net::Sleep(Milliseconds(5));
    LeaseRenewalReply out;
    if (!mUnresponsive.contains(aCall.mWorker) && Hears(aCall) &&
        !IsForIncarnation(aCall)) {
      out.mOutcome = cell::OrderOutcome::Restarted;
      co_return out;
    }
    if (mWaitsForEnds && !mUnresponsive.contains(aCall.mWorker) &&
        !HasEnds(aCall.mWorker)) {
      co_await net::Sleep(Milliseconds(aRenewal.mWaitMs));
    }
    if (mUnresponsive.contains(aCall.mWorker) || !Hears(aCall)) {
      co_return out;
    }
    if (mHasRealClock && incarnation != IncarnationOf(aCall.mWorker)) {
      // The connection has ended with the former incarnation.
      co_return out;
    }
    if (!IsAtAddress(aCall)) {
      out.mOutcome = cell::OrderOutcome::OtherIncarnation;
      co_return out;
    }
    const auto isLate = mLateRenewals > 0;
    if (isLate) {
      --mLateRenewals;
      co_await net::Sleep(Milliseconds(400));
    }
    if (!AcceptToken(aCall)) {
      out.mOutcome = cell::OrderOutcome::Superseded;
      co_return out;
    }
    ExtendLease(aCall.mWorker, aRenewal.mLeaseEndMs);
    mAcknowledged = std::max(mAcknowledged, aRenewal.mStoredEnds);
    std::erase_if(mEnds, [&](const FakeEnd& aEnd) {
      return aEnd.mWorker == aCall.mWorker &&
             aEnd.mRow.mNumber <= aRenewal.mStoredEnds;
    });
    if (isLate || mLosesReplies.contains(aCall.mWorker)) {
      co_return out;
    }
    out.mOutcome = cell::OrderOutcome::Done;
    out.mReport.mIncarnationStartMs = IncarnationOf(aCall.mWorker);
    mClockMs += 10;
    out.mReport.mClockMs = ClockOf(aCall.mWorker);
    for (auto& [name, it] : mRunning) {
      if (mWorkerOf.at(name) == aCall.mWorker) {
        it.mPercent += 1;
        out.mReport.mRunning.push_back(it);
      }
    }
    for (const auto& it : mEnds) {
      if (it.mWorker == aCall.mWorker &&
          out.mReport.mEnds.size() < mMaxListedEnds) {
        out.mReport.mEnds.push_back(it.mRow);
      }
    }
    out.mReport.mMayHaveMoreEnds = out.mReport.mEnds.size() >= mMaxListedEnds;
    co_return out;
  }

  /** Ends a worker's incarnation and its runs and starts the next one. */
  auto Restart(const std::string& aWorker) -> void
  {
    mIncarnations[aWorker] = IncarnationOf(aWorker) + 1;
    mTokens.erase(aWorker);
    mSettledAttempts.erase(aWorker);
    mLeasesEndAt.erase(aWorker);
    mStartedAtMs[aWorker] = mHasRealClock ? RealClockMs() : mClockMs;
    mLastEnds.erase(aWorker);
    mAcknowledged = 0;
    std::erase_if(mEnds,
                  [&](const FakeEnd& aEnd) { return aEnd.mWorker == aWorker; });
    std::erase_if(mRunning, [&](const auto& aItem) {
      return mWorkerOf.at(aItem.first) == aWorker;
    });
  }

  /** A worker's clock, which starts anew with each incarnation. */
  auto ClockOf(const std::string& aWorker) const -> std::int64_t
  {
    const auto now = mHasRealClock ? RealClockMs() : mClockMs;
    const auto it = mStartedAtMs.find(aWorker);
    return it == mStartedAtMs.end() ? now : now - it->second + 1;
  }

  /** Whether the runs of a worker have ended with its lease. */
  auto HasLapsed(const std::string& aWorker) const -> bool
  {
    const auto it = mLeasesEndAt.find(aWorker);
    return it != mLeasesEndAt.end() &&
           base::MonotonicClock::now() >= it->second;
  }

  auto HasEnds(const std::string& aWorker) const -> bool
  {
    return std::any_of(mEnds.begin(), mEnds.end(), [&](const FakeEnd& aEnd) {
      return aEnd.mWorker == aWorker;
    });
  }

  auto NeedOf(const std::string& aTask) const -> cell::Resources
  {
    const auto it = mNeeds.find(aTask.substr(0, aTask.find('.')));
    return it == mNeeds.end() ? cell::Resources{} : it->second;
  }

  auto CountStarts(const std::string& aTask) const -> std::size_t
  {
    return static_cast<std::size_t>(
      std::count_if(mStarts.begin(), mStarts.end(), [&](const auto& aOrder) {
        return aOrder.mTask == aTask;
      }));
  }

  auto IncarnationOf(const std::string& aWorker) const -> std::int64_t
  {
    const auto it = mIncarnations.find(aWorker);
    return it == mIncarnations.end() ? 1 : it->second;
  }

private:
  auto NoteLease(const std::string& aWorker, std::int64_t aEndMs) -> void
  {
    if (aEndMs > 0) {
      auto& end = mLeaseEnds[aWorker];
      end = std::max(end, aEndMs);
      mLeaseSentAt = base::MonotonicClock::now();
    }
  }

  /** The platform's calls reach the incarnation that they name, or none. */
  auto IsForIncarnation(const WorkerCall& aCall) const -> bool
  {
    return aCall.mIncarnationStartMs == 0 ||
           aCall.mIncarnationStartMs == IncarnationOf(aCall.mWorker);
  }

  static auto RealClockMs() -> std::int64_t
  {
    return std::chrono::duration_cast<Milliseconds>(
             base::MonotonicClock::now().time_since_epoch())
      .count();
  }

  /** A lease beyond the longest one is shortened to it, and no lease is
   * shortened afterwards. */
  auto ExtendLease(const std::string& aWorker, std::int64_t aEndMs) -> void
  {
    constexpr std::int64_t kMaxLeaseMs = 6000;
    if (!mHasRealClock || aEndMs <= 0) {
      return;
    }
    const auto left = aEndMs - ClockOf(aWorker);
    mForeignLeases += left > kMaxLeaseMs ? 1 : 0;
    auto& end = mLeasesEndAt[aWorker];
    end = std::max(end,
                   base::MonotonicClock::now() +
                     Milliseconds(std::min(kMaxLeaseMs, left)));
  }

  auto AcceptToken(const WorkerCall& aCall) -> bool
  {
    auto& token = mTokens[aCall.mWorker];
    if (aCall.mToken < token) {
      return false;
    }
    token = aCall.mToken;
    return true;
  }

  auto Hears(const WorkerCall& aCall) const -> bool
  {
    const auto highest = mHighestHeardTokens.find(aCall.mWorker);
    if (highest != mHighestHeardTokens.end() &&
        aCall.mToken > highest->second) {
      return false;
    }
    const auto it = mLowestHeardTokens.find(aCall.mWorker);
    return it == mLowestHeardTokens.end() || aCall.mToken >= it->second;
  }

  auto CheckCapacity(const WorkerCall& aCall, const cell::Order& aOrder) -> void
  {
    const auto& worker = aCall.mWorker;
    const auto listed = mCapacities.find(worker);
    if (listed == mCapacities.end()) {
      return;
    }
    const auto former = mFormerCapacities.find(worker);
    const auto& capacity =
      former == mFormerCapacities.end() ? listed->second : former->second;
    auto cpu = NeedOf(aOrder.mTask).mCpuMillis;
    auto memory = NeedOf(aOrder.mTask).mMemoryMb;
    std::string runs;
    for (const auto& [name, it] : mRunning) {
      if (name != aOrder.mTask && mWorkerOf.at(name) == worker) {
        cpu += NeedOf(name).mCpuMillis;
        memory += NeedOf(name).mMemoryMb;
        runs += " " + name + "/" + std::to_string(it.mAttempt);
      }
    }
    if (cpu > capacity.mCpuMillis || memory > capacity.mMemoryMb) {
      mExcessiveStarts.push_back(
        aOrder.mTask + "/" + std::to_string(aOrder.mAttempt) + " on " + worker +
        ": " + std::to_string(cpu) + " of " +
        std::to_string(capacity.mCpuMillis) + " CPU millis, beside" + runs);
    }
  }

  std::map<std::string, std::uint64_t> mLastEnds;
  /** By task and attempt: the lease end that the start carries. */
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t>
    mLeaseEndsOfStarts;
};

} // namespace eelgrasspost::dispatch::testing
