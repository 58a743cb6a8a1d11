#include <algorithm>
#include <cmath>
#include <random>

#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/load/loadrun.h"

namespace eelgrasspost::load {

namespace {

constexpr auto kBadStep = base::ErrorKind{
  "bad_load_step",
  absl::StatusCode::kInvalidArgument,
  "write RATE:SECONDS or FROM-TO:SECONDS, such as 100:5,100-400:2,400:5",
};

constexpr double kMicrosecondsPerSecond = 1e6;

auto ParseStep(const std::string& aText) -> absl::StatusOr<LoadStep>
{
  const auto parts = base::Split(aText, ':');
  const auto error = base::MakeError(kBadStep, base::Cat("step ", aText));
  if (parts.size() != 2) {
    return error;
  }
  const auto rates = base::Split(parts[0], '-');
  const auto seconds = base::ParseNumber(parts[1]);
  if (rates.empty() || rates.size() > 2 || seconds.value_or(0) <= 0) {
    return error;
  }
  const auto from = base::ParseNumber(rates.front());
  const auto to = base::ParseNumber(rates.back());
  if (from.value_or(0) <= 0 || to.value_or(0) <= 0) {
    return error;
  }
  return LoadStep{ static_cast<double>(*from),
                   static_cast<double>(*to),
                   std::chrono::seconds(*seconds) };
}

auto RateAt(const LoadStep& aStep, double aShare) -> double
{
  return aStep.mFromRate + (aStep.mToRate - aStep.mFromRate) * aShare;
}

} // namespace

auto ParseSteps(std::string_view aText) -> absl::StatusOr<std::vector<LoadStep>>
{
  std::vector<LoadStep> out;
  for (const auto& it : base::Split(aText, ',')) {
    const auto step = ParseStep(it);
    if (!step.ok()) {
      return step.status();
    }
    out.push_back(*step);
  }
  if (out.empty()) {
    return base::MakeError(kBadStep, "no step is given");
  }
  return out;
}

auto MakeArrivals(const std::vector<LoadStep>& aSteps, std::uint64_t aSeed)
  -> std::vector<Arrival>
{
  auto random = std::mt19937_64(aSeed);
  auto gap = std::exponential_distribution<double>(1.0);
  std::vector<Arrival> out;
  double start = 0;
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    const auto length =
      static_cast<double>(base::Microseconds(aSteps[i].mDuration).count());
    double at = 0;
    while (true) {
      const auto rate = RateAt(aSteps[i], at / length);
      at += gap(random) * kMicrosecondsPerSecond / rate;
      if (at >= length) {
        break;
      }
      out.push_back({ base::Microseconds(std::llround(start + at)), i });
    }
    start += length;
  }
  return out;
}

auto QuantileOf(const std::vector<base::Microseconds>& aSorted,
                double aQuantile) -> base::Microseconds
{
  if (aSorted.empty()) {
    return base::Microseconds(0);
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(std::llround(aQuantile * last))];
}

} // namespace eelgrasspost::load
