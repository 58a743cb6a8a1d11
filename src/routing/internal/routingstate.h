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

/** Exponential moving average of durations. Thread-safe; a concurrent sample
 * may be lost. */
class MovingAverage
{
public:
  auto Observe(base::Microseconds aSample) -> void;
  /** Returns 0 before the first sample. */
  auto Value() const -> base::Microseconds;

private:
  std::atomic<std::int64_t> mMicroseconds{ 0 };
};

/** Runtime state of an owned worker. */
struct WorkerState
{
  /** Current concurrency limit; kNoLimit before the first response. */
  std::atomic<std::int64_t> mLimit{ kNoLimit };
  std::mutex mMutex;
  LimiterState mLimiter;

  static constexpr std::int64_t kNoLimit = 1 << 30;
};

/** Runtime state of a service's endpoint on an owned worker. */
struct EndpointState
{
  /** Written under the lock of the service, read without it. */
  std::atomic<bool> mEjected{ false };
  std::atomic<int> mConsecutiveFailures{ 0 };
  EndpointHealth mHealth;
};

using EndpointStatePtr = std::shared_ptr<EndpointState>;

/** Runtime state of another entry. */
struct PeerState
{
  std::atomic<std::int64_t> mSlots{ 0 };
  std::atomic<std::int64_t> mUsed{ 0 };
  std::atomic<std::int64_t> mQueued{ 0 };
  /** Requests that this entry has forwarded and that are not answered yet. */
  std::atomic<std::int64_t> mInFlight{ 0 };
  std::atomic<std::int64_t> mInFlightAtHeartbeat{ 0 };
  /** After a refusal, no request is forwarded to the peer before this time. */
  std::atomic<base::MonotonicTime> mBackoffUntil{};
  std::uint64_t mHeartbeat = 0;

  /** Estimated slots in use plus waiting requests: as reported, corrected by
   * the change of the requests in flight from this entry since the report. */
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
  /** The worker of the granted slot; guarded by the lock of the service's
   * queue. */
  const PlannedWorker* mGranted = nullptr;
  /** Keeps the plan alive to which mGranted points. */
  ServicePlanPtr mPlan;
  /** Reason reported to the waiter if no slot is granted. */
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

/** Runtime state of a service, kept across plans. */
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
