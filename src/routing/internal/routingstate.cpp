#include "routingstate.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::routing {

namespace {

constexpr std::int64_t kInverseWeight = 32;

auto ServiceMetricName(std::string_view aName, std::string_view aService)
  -> std::string
{
  return base::Cat(aName, "{service=\"", aService, "\"}");
}

auto RefusalMetricName(std::string_view aService, Refusal aReason)
  -> std::string
{
  return base::Cat("refusals_total{service=\"",
                   aService,
                   "\",reason=\"",
                   base::NameOf(kRefusalNames, aReason),
                   "\"}");
}

} // namespace

auto MovingAverage::Observe(base::Microseconds aSample) -> void
{
  const auto mean = mMicroseconds.load(std::memory_order_relaxed);
  const auto sample = std::max<std::int64_t>(1, aSample.count());
  const auto next =
    mean == 0 ? sample : mean + (sample - mean) / kInverseWeight;
  mMicroseconds.store(next, std::memory_order_relaxed);
}

auto MovingAverage::Value() const -> base::Microseconds
{
  return base::Microseconds(mMicroseconds.load(std::memory_order_relaxed));
}

auto PeerState::Load() const -> std::int64_t
{
  const auto inFlightChange = mInFlight.load() - mInFlightAtHeartbeat.load();
  return std::max<std::int64_t>(0,
                                mUsed.load() + mQueued.load() + inFlightChange);
}

ServiceMetrics::ServiceMetrics(base::Metrics& aMetrics,
                               std::string_view aService)
  : mQueue(aMetrics.FindGauge(ServiceMetricName("queue_length", aService)))
  , mRetries(aMetrics.FindCounter(ServiceMetricName("retries_total", aService)))
  , mForwards(
      aMetrics.FindCounter(ServiceMetricName("forwards_total", aService)))
  , mSpills(aMetrics.FindCounter(ServiceMetricName("spills_total", aService)))
  , mEjections(
      aMetrics.FindCounter(ServiceMetricName("ejections_total", aService)))
  , mRequestTime(
      aMetrics.FindHistogram(base::Cat("request_time_us_", aService)))
  , mAddedTime(aMetrics.FindHistogram(base::Cat("added_time_us_", aService)))
  , mNoWorker(
      aMetrics.FindCounter(RefusalMetricName(aService, Refusal::NoWorker)))
  , mQueueFull(
      aMetrics.FindCounter(RefusalMetricName(aService, Refusal::QueueFull)))
  , mTooLate(
      aMetrics.FindCounter(RefusalMetricName(aService, Refusal::TooLate)))
  , mExpired(
      aMetrics.FindCounter(RefusalMetricName(aService, Refusal::Expired)))
{
}

auto ServiceMetrics::CountRefusal(Refusal aReason) -> void
{
  switch (aReason) {
    case Refusal::NoWorker:
      mNoWorker.Add();
      break;
    case Refusal::QueueFull:
      mQueueFull.Add();
      break;
    case Refusal::TooLate:
      mTooLate.Add();
      break;
    case Refusal::Expired:
      mExpired.Add();
      break;
    case Refusal::None:
      break;
  }
}

} // namespace eelgrasspost::routing
