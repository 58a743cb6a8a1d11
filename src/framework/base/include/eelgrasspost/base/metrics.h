#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrasspost::base {

/** A value that only increases. */
class Counter
{
public:
  auto Add(std::uint64_t aCount = 1) -> void
  {
    mValue.fetch_add(aCount, std::memory_order_relaxed);
  }
  auto Value() const -> std::uint64_t
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> mValue{ 0 };
};

/** A value that can increase and decrease. */
class Gauge
{
public:
  auto Set(std::int64_t aValue) -> void
  {
    mValue.store(aValue, std::memory_order_relaxed);
  }
  auto Add(std::int64_t aDelta) -> void
  {
    mValue.fetch_add(aDelta, std::memory_order_relaxed);
  }
  auto Value() const -> std::int64_t
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> mValue{ 0 };
};

/** Histogram of durations in microseconds on a logarithmic axis. Thread-safe.
 */
class Histogram
{
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram&) = delete;
  auto operator=(const Histogram&) -> Histogram& = delete;

  auto Record(double aMicroseconds) -> void;
  auto Count() const -> std::uint64_t;
  /** Returns the upper bound, in microseconds, of the bin that contains a
   * quantile (0..1). */
  auto Quantile(double aQuantile) const -> double;
  /** Appends the time series in the Prometheus text format. */
  auto Render(std::string_view aName, std::string& aOut) const -> void;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/**
 * The metrics of one process. A metric is created when it is first looked up.
 * The lookup takes a lock, so callers keep the reference; recording takes none.
 * Names are in the Prometheus text format and may end in labels:
 * `requests_total{outcome="answered"}`.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();

  auto FindCounter(std::string_view aName) -> Counter&;
  auto FindGauge(std::string_view aName) -> Gauge&;
  auto FindHistogram(std::string_view aName) -> Histogram&;
  /** Returns all metrics in the Prometheus text format. */
  auto Render() const -> std::string;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace eelgrasspost::base
