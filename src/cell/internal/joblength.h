#pragma once

#include <vector>

#include "eelgrasspost/cell/jobtypes.h"

namespace eelgrasspost::cell {

/** A result that takes more than this many times the objective is of no use. */
inline constexpr double kWorthlessFactor = 3.0;

/** Length of the critical path through the steps that have tasks left, by
 * estimated run times. */
auto CriticalPathMs(const JobSpec& aSpec,
                    const std::vector<std::uint32_t>& aTasks) -> double;
/** The same for all steps. */
auto CriticalPathMs(const JobSpec& aSpec) -> double;

/** Time in which a job should be done. */
auto ObjectiveMs(const JobSpec& aSpec, const Queue& aQueue) -> double;

} // namespace eelgrasspost::cell
