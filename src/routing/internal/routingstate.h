#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "admission.h"
#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/net/asio.h"
#include "eelgrasspost/ownership/ownershiptypes.h"
#include "endpointhealth.h"
#include "limiter.h"
#include "retrybudget.h"
#include "spill.h"
#include "waitqueue.h"

namespace eelgrasspost::routing {

/** An average that follows its samples; safe from any thread. */
class MovingAverage
{
public:
  auto Observe(base::Microseconds aSample) -> void;
  /** 0 before the first sample. */
  auto Value() const -> base::Microseconds;

private:
  std::atomic<std::int64_t> mMicroseconds{ 0 };
};

/** What is learned of a worker while it is owned. */
struct WorkerState
{
  /** Slots in use at most, at present; kNoLimit before the first answer. */
  std::atomic<std::int64_t> mLimit{ kNoLimit };
  std::mutex mMutex;
  LimiterState mLimiter;

  static constexpr std::int64_t kNoLimit = 1 << 30;
};

/** What is learned of a service's endpoint on an owned worker. */
struct EndpointState
{
  /** Read without the lock of the service, under which it is written. */
  std::atomic<bool> mEjected{ false };
  std::atomic<int> mConsecutiveFailures{ 0 };
  EndpointHealth mHealth;
};

using EndpointStatePtr = std::shared_ptr<EndpointState>;

/** What is known of another entry. */
struct PeerState
{
  std::atomic<std::int64_t> mSlots{ 0 };
  std::atomic<std::int64_t> mUsed{ 0 };
  std::atomic<std::int64_t> mQueued{ 0 };
  /** Requests that this entry has forwarded and not got an answer to. */
  std::atomic<std::int64_t> mInFlight{ 0 };
  std::atomic<std::int64_t> mInFlightAtHeartbeat{ 0 };
  /** After a refusal, nothing is forwarded until then. */
  std::atomic<base::MonotonicTime> mBackoffUntil{};
  std::uint64_t mHeartbeat = 0;

  /** Slots in use and requests waiting there, corrected by what this entry
   * has sent and got back since the report. */
  auto Load() const -> std::int64_t;
};

struct ServicePlan;
using ServicePlanPtr = std::shared_ptr<const ServicePlan>;
struct PlannedWorker;

/** A request that waits for a slot. */
struct Waiter
{
  explicit Waiter(const net::asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
  {
  }

  boost::asio::steady_timer mTimer;
  /** The slot that it got, under the lock of the service's queue. */
  const PlannedWorker* mGranted = nullptr;
  /** Keeps the granted worker's plan. */
  ServicePlanPtr mPlan;
  /** What it is told when no slot is granted. */
  Refusal mRefusal = Refusal::Expired;
};

using WaiterPtr = std::shared_ptr<Waiter>;

/** Metrics of a service. */
struct ServiceMetrics
{
  ServiceMetrics(base::Metrics& aMetrics, std::string_view aService);

  auto CountRefusal(Refusal aReason) -> void;

  base::Gauge& mQueue;
  base::Counter& mRetries;
  base::Counter& mForwards;
  base::Counter& mSpills;
  base::Counter& mEjections;
  base::Histogram& mRequestTime;
  base::Histogram& mAddedTime;
  base::Counter& mNoWorker;
  base::Counter& mQueueFull;
  base::Counter& mTooLate;
  base::Counter& mExpired;
};

/** What lasts of a service from one plan to the next. */
struct ServiceState
{
  ServiceState(base::Metrics& aMetrics, std::string_view aService)
    : mMetrics(aMetrics, aService)
  {
  }

  std::mutex mMutex;
  WaitQueue<WaiterPtr> mQueue;
  /** Requests in the queue or about to enter it. */
  std::atomic<std::int64_t> mWaiting{ 0 };
  std::atomic<std::int64_t> mEjected{ 0 };
  SpillState mSpill;
  MovingAverage mServiceTime;
  RetryBudget mRetryBudget;
  ServiceMetrics mMetrics;
};

} // namespace eelgrasspost::routing
