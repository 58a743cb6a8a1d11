#pragma once

#include "eelgrasspost/base/logging.h"
#include "eelgrasspost/cell/celltypes.h"

namespace eelgrasspost::dispatch {

inline constexpr auto kEntryStarted = base::LogEvent{
  900,
  base::LogLevel::Info,
  "the entry has started",
  "none",
};

inline constexpr auto kStopRequested = base::LogEvent{
  901,
  base::LogLevel::Info,
  "the entry received a stop signal and releases its cells",
  "none",
};

inline constexpr auto kReloadRequested = base::LogEvent{
  902,
  base::LogLevel::Info,
  "the entry received a reload signal; settings are read only at startup",
  "restart the entry to apply changed settings",
};

inline constexpr auto kConfigurationApplied = base::LogEvent{
  903,
  base::LogLevel::Info,
  "a new configuration is applied",
  "none",
};

inline constexpr auto kCellClaimed = base::LogEvent{
  910,
  base::LogLevel::Info,
  "the entry has claimed a cell and starts to take it over",
  "none",
};

inline constexpr auto kCellActive = base::LogEvent{
  911,
  base::LogLevel::Info,
  "the takeover of a cell is complete",
  "none",
};

inline constexpr auto kCellLost = base::LogEvent{
  912,
  base::LogLevel::Warn,
  "another entry has claimed the cell; this entry stops managing it",
  "none; see the log of the other entry for the reason",
};

inline constexpr auto kConnectionGivenUp = base::LogEvent{
  951,
  base::LogLevel::Warn,
  "a connection that has gone silent is given up",
  "none if it is rare; calls on it ended with an unknown outcome, the next "
  "ones use a new connection",
};

inline constexpr auto kJobRequestAnswered = base::LogEvent{
  920,
  base::LogLevel::Info,
  "a submission or cancellation was answered",
  "see the outcome and the reason",
};

inline constexpr auto kCancellationCompleted = base::LogEvent{
  921,
  base::LogLevel::Info,
  "a cancellation whose caller got no certain response is complete",
  "none; took_ms counts from that response",
};

inline constexpr auto kTaskPlaced = base::LogEvent{
  930,
  base::LogLevel::Info,
  "a task is started on a worker",
  "none; value is the task's waiting time in ms; since_contact_ms is the time "
  "since its lost run was heard of",
};

inline constexpr auto kOrderFailed = base::LogEvent{
  931,
  base::LogLevel::Warn,
  "a worker did not execute an order",
  "see the reason and the detail; value is the kind of the order",
};

inline constexpr auto kRunEnded = base::LogEvent{
  932,
  base::LogLevel::Info,
  "a worker reports the end of a run",
  "none; value is the sequence number of the end",
};

inline constexpr auto kRunStopped = base::LogEvent{
  933,
  base::LogLevel::Info,
  "a run is stopped and its task is rescheduled",
  "see the reason",
};

inline constexpr auto kRunsLost = base::LogEvent{
  934,
  base::LogLevel::Warn,
  "the runs on a worker are considered lost",
  "check the worker; value is the number of runs",
};

inline constexpr auto kWorkerOnProbation = base::LogEvent{
  935,
  base::LogLevel::Warn,
  "a worker is on probation and temporarily gets no new tasks",
  "check the worker",
};

inline constexpr auto kCpuShareChanged = base::LogEvent{
  936,
  base::LogLevel::Info,
  "the CPU share of best-effort tasks on a worker has changed",
  "none; value is the ratio of tail latency to its target",
};

inline constexpr auto kJobEnded = base::LogEvent{
  937,
  base::LogLevel::Info,
  "a job has ended",
  "see the reason",
};

inline constexpr auto kJobMigrated = base::LogEvent{
  938,
  base::LogLevel::Info,
  "a job that waited for capacity is migrated to another cell",
  "none; an outcome other than 0 means that the job stayed or that the outcome "
  "is being resolved",
};

inline constexpr auto kWorkerTransferred = base::LogEvent{
  939,
  base::LogLevel::Info,
  "a worker is transferred to a cell that has no capacity for a long-running "
  "task",
  "none; add workers if this persists",
};

inline constexpr auto kTaskHosted = base::LogEvent{
  940,
  base::LogLevel::Info,
  "a long-running task that found no capacity is moved to another cell",
  "none; add workers if this persists",
};

inline constexpr auto kWorkerReconciled = base::LogEvent{
  941,
  base::LogLevel::Info,
  "what a previous holder started on a worker is known or has ended",
  "none; the reason is the evidence",
};

inline constexpr auto kForeignRunFound = base::LogEvent{
  942,
  base::LogLevel::Info,
  "a worker lists a run that this holder did not start",
  "none after a takeover; 'placed_elsewhere' means that a task has two runs",
};

inline constexpr auto kCapacityChanged = base::LogEvent{
  943,
  base::LogLevel::Info,
  "the platform lists a worker with another capacity",
  "none; value is the new capacity in CPU millis",
};

inline constexpr auto kWorkerListStateChanged = base::LogEvent{
  944,
  base::LogLevel::Info,
  "the list of workers has become outdated, or current again",
  "check the store; no task starts while the list is unconfirmed",
};

inline constexpr auto kCrashCounted = base::LogEvent{
  945,
  base::LogLevel::Warn,
  "a worker crashed shortly after it was told to start a task",
  "none for the first crash under a task; its job fails after the second; "
  "value is the number of crashes",
};

inline constexpr auto kTaskWaits = base::LogEvent{
  946,
  base::LogLevel::Warn,
  "a long-running task without a run waits",
  "see the reason; add workers if it is 'no_room' for long; 'room_reserved': "
  "short tasks on the worker in reserved_on have to end",
};

inline constexpr auto kHostRefused = base::LogEvent{
  947,
  base::LogLevel::Info,
  "a cell did not reserve capacity for a long-running task of another cell",
  "none; another cell is asked; outcome is that of the request",
};

inline constexpr auto kNoHostCell = base::LogEvent{
  948,
  base::LogLevel::Warn,
  "no other cell reports capacity for a long-running task that waits",
  "add workers if this persists",
};

inline constexpr auto kTasksReturned = base::LogEvent{
  949,
  base::LogLevel::Info,
  "a cell returns long-running tasks that it cannot start to the owning cell",
  "none; outcome 0 means that the owning cell took them back",
};

inline constexpr auto kLayoutCreated = base::LogEvent{
  950,
  base::LogLevel::Info,
  "the cells of a domain are created",
  "none; their number depends on the workers and on the largest cpu_share of "
  "an entry at this time, and does not change later",
};

inline constexpr auto kEndWithoutJob = base::LogEvent{
  952,
  base::LogLevel::Warn,
  "a worker lists the end of a run of a job that its cell does not have",
  "none for a job that has ended; otherwise another cell has the job",
};

inline constexpr auto kHolderRefused = base::LogEvent{
  953,
  base::LogLevel::Warn,
  "a worker has seen a higher fencing token; the holder of the cell ends",
  "none if another entry has claimed the cell; otherwise see which cell has "
  "the worker",
};

inline constexpr auto kWorkerLent = base::LogEvent{
  954,
  base::LogLevel::Info,
  "a worker leaves a cell for another one",
  "none; an outcome other than 0 means that it stays or that the outcome is "
  "not known",
};

inline constexpr auto kTransferRead = base::LogEvent{
  955,
  base::LogLevel::Info,
  "the entry has read to which cell a worker was transferred",
  "none",
};

inline constexpr auto kFreeCapacity = base::LogEvent{
  956,
  base::LogLevel::Info,
  "a worker has free CPU while long-running tasks wait",
  "see what keeps tasks from it: reserved_for names the task that has reserved "
  "it for longest, missing_cpu_millis what that task still lacks, exclusion "
  "why nothing is started there",
};

inline constexpr auto kReservationDisplaced = base::LogEvent{
  957,
  base::LogLevel::Info,
  "a reservation that has not become complete gives way to a task that can "
  "start at once",
  "none; the subject waits for capacity on another worker",
};

inline constexpr auto kMajorityAccepted = base::LogEvent{
  958,
  base::LogLevel::Info,
  "most workers of a cell that is taken over follow the new holder",
  "none; the previous holder sends no orders 2.5 s later, and the leases that "
  "it "
  "granted to the other workers end after that",
};

inline constexpr auto kWorkerRestarted = base::LogEvent{
  959,
  base::LogLevel::Info,
  "a worker has restarted under its id",
  "none; lease_calls counts the calls with a lease since the last reply of the "
  "former incarnation; what a late one grants to the new one ends after "
  "lease_ms",
};

inline constexpr auto kEvacuationRequested = base::LogEvent{
  960,
  base::LogLevel::Info,
  "the operator requests the evacuation of a failure domain",
  "none; source tells whether the entry read it from the store or heard of it "
  "from a peer; requested_at is the version of the request",
};

inline constexpr auto kEvacuationApplied = base::LogEvent{
  961,
  base::LogLevel::Info,
  "a cell follows the evacuations that are in force",
  "none; domains is empty once all are withdrawn; runs go on; held_back_starts "
  "counts the tasks that found no worker since the first evacuation",
};

inline constexpr auto kEvacuationWithdrawn = base::LogEvent{
  962,
  base::LogLevel::Info,
  "the evacuation of a failure domain is withdrawn",
  "none; tasks start there again",
};

inline constexpr auto kJobNotAdmitted = base::LogEvent{
  963,
  base::LogLevel::Info,
  "a job is refused, as no cell could do it while it is of use",
  "none at a short crest; add workers if this lasts; expected_wait_ms is the "
  "shortest wait of all cells, max_wait_ms the longest with which the "
  "objective "
  "is met; the late waits are those behind all late jobs",
};

inline constexpr auto kGatheredTaskStarted = base::LogEvent{
  966,
  base::LogLevel::Info,
  "a large task starts for which room was gathered",
  "none; value is the task's waiting time in ms",
};

inline constexpr auto kJobOverflows = base::LogEvent{
  968,
  base::LogLevel::Info,
  "a waiting job is moved to a cell that is expected to start it sooner",
  "none; expected_wait_ms and expected_wait_there_ms are the waits that were "
  "compared; 938 tells the outcome",
};

inline constexpr auto kTaskDuplicated = base::LogEvent{
  969,
  base::LogLevel::Info,
  "a slow task got a second run, or one of its two runs has ended",
  "none; for reason started, value is the time in ms by which the second run "
  "is expected to end sooner; many that end with other_done use room in vain: "
  "turn placement.duplicates off",
};

inline constexpr auto kDrainHeard = base::LogEvent{
  972,
  base::LogLevel::Info,
  "a peer has read that a worker drains before this entry has",
  "none if rare; otherwise this entry reads the list of workers late: "
  "confirmed_ms is the age of its last reply",
};

inline constexpr auto kSubmissionSettled = base::LogEvent{
  975,
  base::LogLevel::Info,
  "a submission got no reply from the holder of a cell",
  "none if is_settled is 1: is_accepted tells whether the job is in the cell "
  "named by owner; otherwise check the store, the caller was told that the "
  "outcome is unknown",
};

inline constexpr auto kWorkerRowIgnored = base::LogEvent{
  981,
  base::LogLevel::Warn,
  "a row in the platform's list of workers is ignored",
  "find out which program writes it; what was known of the worker holds",
};

/** Returns the log event of a kind of cell event. */
inline auto FindLogEvent(cell::CellEventKind aKind) -> const base::LogEvent*
{
  switch (aKind) {
    case cell::CellEventKind::TaskPlaced:
      return &kTaskPlaced;
    case cell::CellEventKind::OrderFailed:
      return &kOrderFailed;
    case cell::CellEventKind::RunEnded:
      return &kRunEnded;
    case cell::CellEventKind::RunStopped:
      return &kRunStopped;
    case cell::CellEventKind::RunsLost:
      return &kRunsLost;
    case cell::CellEventKind::WorkerOnProbation:
      return &kWorkerOnProbation;
    case cell::CellEventKind::CpuShareChanged:
      return &kCpuShareChanged;
    case cell::CellEventKind::JobEnded:
      return &kJobEnded;
    case cell::CellEventKind::WorkerReconciled:
      return &kWorkerReconciled;
    case cell::CellEventKind::ForeignRunFound:
      return &kForeignRunFound;
    case cell::CellEventKind::CapacityChanged:
      return &kCapacityChanged;
    case cell::CellEventKind::CrashCounted:
      return &kCrashCounted;
    case cell::CellEventKind::EndWithoutJob:
      return &kEndWithoutJob;
    case cell::CellEventKind::ReservationDisplaced:
      return &kReservationDisplaced;
    case cell::CellEventKind::GatheredTaskStarted:
      return &kGatheredTaskStarted;
    case cell::CellEventKind::TaskDuplicated:
      return &kTaskDuplicated;
  }
  return &kJobEnded;
}

} // namespace eelgrasspost::dispatch
