#pragma once

#include <string>
#include <vector>

#include "eelgrasspost/membership/membershiptypes.h"
#include "eelgrasspost/ownership/ownershiptypes.h"

namespace eelgrasspost::ownership {

/** Whether an entry may own workers of its failure domain: it is alive or
 * suspect. */
auto MayOwn(const membership::Member& aMember) -> bool;

/** Maximum number of workers assigned to one entry: the average, rounded up. */
auto MaxWorkersPerEntry(std::size_t aWorkers, std::size_t aEntries)
  -> std::size_t;

/**
 * Assigns each worker to one live entry of its failure domain by rendezvous
 * hashing (highest random weight) with a bounded load: each entry gets the
 * average number of workers, rounded down or up. When an entry exceeds its
 * bound, its worker with the lowest weight moves to the entry with the next
 * lower weight. The result does not depend on the order of the input.
 */
auto AssignWorkers(const std::vector<platform::VmRecord>& aWorkers,
                   const membership::MemberView& aMembers)
  -> std::vector<WorkerAssignment>;

/** Finds a worker by binary search; the assignments are sorted by worker id. */
auto FindAssignmentIn(const std::vector<WorkerAssignment>& aAssignments,
                      std::string_view aWorker) -> const WorkerAssignment*;

} // namespace eelgrasspost::ownership
