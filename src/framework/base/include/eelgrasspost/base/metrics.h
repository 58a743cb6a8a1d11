#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrasspost::base {

/** A count that only grows. */
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

/** A value that goes up and down. */
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

/** Durations in microseconds on a logarithmic axis; safe from any thread. */
class Histogram
{
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram&) = delete;
  auto operator=(const Histogram&) -> Histogram& = delete;

  auto Record(double aMicroseconds) -> void;
  auto Count() const -> std::uint64_t;
  /** Upper bound in microseconds of the bin that holds a quantile (0..1). */
  auto Quantile(double aQuantile) const -> double;
  /** Appends the series in the Prometheus text format. */
  auto Render(std::string_view aName, std::string& aOut) const -> void;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/**
 * The metrics of one process. Finding a metric takes a lock, so callers keep
 * the reference; recording takes none. Names are in the usual text format and
 * may end in labels: `requests_total{outcome="answered"}`.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();

  auto FindCounter(std::string_view aName) -> Counter&;
  auto FindGauge(std::string_view aName) -> Gauge&;
  auto FindHistogram(std::string_view aName) -> Histogram&;
  /** All metrics in the Prometheus text format. */
  auto Render() const -> std::string;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace eelgrasspost::base
