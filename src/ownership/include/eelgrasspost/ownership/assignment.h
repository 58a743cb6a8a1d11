#pragma once

#include <string>
#include <vector>

#include "eelgrasspost/membership/membershiptypes.h"
#include "eelgrasspost/ownership/ownershiptypes.h"

namespace eelgrasspost::ownership {

/** Whether an entry may own workers of its failure domain. */
auto MayOwn(const membership::Member& aMember) -> bool;

/** Most workers that one of some entries is given: the average, rounded up. */
auto MaxWorkersPerEntry(std::size_t aWorkers, std::size_t aEntries)
  -> std::size_t;

/**
 * Gives each worker to one live entry of its failure domain by highest random
 * weight; each entry gets the average, rounded down or up. A worker whose entry
 * is full goes to its next one; the worker with the least weight gives way. The
 * same workers and members give the same assignment, in any order.
 */
auto AssignWorkers(const std::vector<platform::VmRecord>& aWorkers,
                   const membership::MemberView& aMembers)
  -> std::vector<WorkerAssignment>;

/** Finds a worker in assignments sorted by worker id. */
auto FindAssignmentIn(const std::vector<WorkerAssignment>& aAssignments,
                      std::string_view aWorker) -> const WorkerAssignment*;

} // namespace eelgrasspost::ownership
