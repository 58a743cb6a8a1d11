#pragma once

#include "eelgrasspost/admission/admission.h"
#include "eelgrasspost/cell/cellstate.h"

namespace eelgrasspost::cell {

/** What a job that ends by itself needs to be of use to its caller, by the
 * estimates of its submitter. */
auto DemandOf(const JobSpec& aJob, const Queue& aQueue) -> admission::JobDemand;

/** Whether admission decides on a job: one that runs once, starts at once and
 * ends by itself. */
auto IsSubjectToAdmission(const JobSpec& aJob) -> bool;

/** The accepted work that waits for room in a cell and how fast it is done.
 * Work of jobs that are done too late to be of use does not count. Empty, so
 * that nothing is refused, if the workers belong to several services. */
auto MeasureLoad(const CellState& aCell, MonotonicTime aNow)
  -> admission::CellLoad;

/** Updates the rates at which work is done; called regularly. */
auto UpdateRates(CellState& aCell, MonotonicTime aNow) -> void;

} // namespace eelgrasspost::cell
