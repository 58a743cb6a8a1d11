#pragma once

#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/load/loadtypes.h"

namespace eelgrasspost::load {

/** Parses steps written "RATE:SECONDS" or "FROM-TO:SECONDS", with commas. */
auto ParseSteps(std::string_view aText)
  -> absl::StatusOr<std::vector<LoadStep>>;

/** Random arrivals whose rate follows the steps; the same for a seed. */
auto MakeArrivals(const std::vector<LoadStep>& aSteps, std::uint64_t aSeed)
  -> std::vector<Arrival>;

/** A quantile (0..1) of times in order of size; 0 when there are none. */
auto QuantileOf(const std::vector<base::Microseconds>& aSorted,
                double aQuantile) -> base::Microseconds;

/** Sends all requests and waits for what becomes of them; a result a step. */
auto RunLoad(const LoadPlan& aPlan) -> std::vector<StepResult>;

/** Writes the results as a table with a line for each step. */
auto ToTable(const LoadPlan& aPlan, const std::vector<StepResult>& aResults)
  -> std::string;

} // namespace eelgrasspost::load
