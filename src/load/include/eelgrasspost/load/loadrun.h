#pragma once

#include <string_view>

#include <absl/status/statusor.h>

#include "eelgrasspost/load/loadtypes.h"

namespace eelgrasspost::load {

/** Parses comma-separated steps "RATE:SECONDS" or "FROM-TO:SECONDS". */
auto ParseSteps(std::string_view aText)
  -> absl::StatusOr<std::vector<LoadStep>>;

/** Random arrivals with exponential gaps whose rate follows the steps;
 * deterministic for a seed. */
auto MakeArrivals(const std::vector<LoadStep>& aSteps, std::uint64_t aSeed)
  -> std::vector<Arrival>;

/** A quantile (0..1) of ascending times; 0 when there are none. */
auto QuantileOf(const std::vector<base::Microseconds>& aSorted,
                double aQuantile) -> base::Microseconds;

/** Sends all requests and waits for their outcomes; one result for each step.
 */
auto RunLoad(const LoadPlan& aPlan) -> std::vector<StepResult>;

/** Formats the results as a table with a line for each step. */
auto ToTable(const LoadPlan& aPlan, const std::vector<StepResult>& aResults)
  -> std::string;

} // namespace eelgrasspost::load
