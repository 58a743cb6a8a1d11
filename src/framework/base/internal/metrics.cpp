#include "eelgrasspost/base/metrics.h"

#include <map>
#include <mutex>

#include "eelgrasspost/base/text.h"
#include <boost/histogram.hpp>

namespace eelgrasspost::base {

namespace {

namespace bh = boost::histogram;

constexpr unsigned kHistogramBins = 160;
constexpr double kMinMicroseconds = 1.0;
constexpr double kMaxMicroseconds = 1e8;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;
using LatencyHistogram = bh::histogram<std::tuple<LogAxis>, Storage>;

auto BinCount(const LatencyHistogram& aHistogram, int aIndex) -> std::uint64_t
{
  return aHistogram.at(aIndex).value();
}

} // namespace

struct Histogram::Impl
{
  LatencyHistogram mHistogram{ std::make_tuple(
    LogAxis(kHistogramBins, kMinMicroseconds, kMaxMicroseconds)) };
  std::atomic<std::uint64_t> mSum{ 0 };
};

Histogram::Histogram()
  : mImpl(std::make_unique<Impl>())
{
}

Histogram::~Histogram() = default;

auto Histogram::Record(double aMicroseconds) -> void
{
  mImpl->mHistogram(aMicroseconds);
  mImpl->mSum.fetch_add(static_cast<std::uint64_t>(aMicroseconds),
                        std::memory_order_relaxed);
}

auto Histogram::Count() const -> std::uint64_t
{
  std::uint64_t count = 0;
  const int bins = kHistogramBins;
  for (int i = -1; i <= bins; ++i) {
    count += BinCount(mImpl->mHistogram, i);
  }
  return count;
}

auto Histogram::Quantile(double aQuantile) const -> double
{
  const auto total = Count();
  const auto rank = aQuantile * static_cast<double>(total);
  const auto& axis = mImpl->mHistogram.axis(0);
  const int bins = kHistogramBins;
  std::uint64_t cumulative = 0;
  for (int i = -1; i < bins; ++i) {
    cumulative += BinCount(mImpl->mHistogram, i);
    if (static_cast<double>(cumulative) >= rank && cumulative > 0) {
      return axis.value(i + 1);
    }
  }
  return total == 0 ? 0.0 : kMaxMicroseconds;
}

auto Histogram::Render(std::string_view aName, std::string& aOut) const -> void
{
  const auto& axis = mImpl->mHistogram.axis(0);
  const int bins = kHistogramBins;
  std::uint64_t cumulative = BinCount(mImpl->mHistogram, -1);
  for (int i = 0; i < bins; ++i) {
    const auto binCount = BinCount(mImpl->mHistogram, i);
    if (binCount == 0) {
      continue;
    }
    cumulative += binCount;
    Append(aOut,
           aName,
           "_bucket{le=\"",
           axis.value(i + 1),
           "\"} ",
           cumulative,
           "\n");
  }
  const auto total = Count();
  Append(aOut, aName, "_bucket{le=\"+Inf\"} ", total, "\n");
  Append(aOut, aName, "_sum ", mImpl->mSum.load(), "\n");
  Append(aOut, aName, "_count ", total, "\n");
}

struct Metrics::Impl
{
  mutable std::mutex mMutex;
  std::map<std::string, Counter, std::less<>> mCounters;
  std::map<std::string, Gauge, std::less<>> mGauges;
  std::map<std::string, Histogram, std::less<>> mHistograms;
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

auto Metrics::FindCounter(std::string_view aName) -> Counter&
{
  auto lock = std::lock_guard(mImpl->mMutex);
  return mImpl->mCounters[std::string(aName)];
}

auto Metrics::FindGauge(std::string_view aName) -> Gauge&
{
  auto lock = std::lock_guard(mImpl->mMutex);
  return mImpl->mGauges[std::string(aName)];
}

auto Metrics::FindHistogram(std::string_view aName) -> Histogram&
{
  auto lock = std::lock_guard(mImpl->mMutex);
  return mImpl->mHistograms[std::string(aName)];
}

auto Metrics::Render() const -> std::string
{
  auto lock = std::lock_guard(mImpl->mMutex);
  std::string out;
  for (const auto& [name, it] : mImpl->mCounters) {
    Append(out, "eelgrasspost_", name, " ", it.Value(), "\n");
  }
  for (const auto& [name, it] : mImpl->mGauges) {
    Append(out, "eelgrasspost_", name, " ", it.Value(), "\n");
  }
  for (const auto& [name, it] : mImpl->mHistograms) {
    it.Render(Cat("eelgrasspost_", name), out);
  }
  return out;
}

} // namespace eelgrasspost::base
