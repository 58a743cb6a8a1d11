#pragma once

#include <array>

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
  "the entry was told to stop; it hands its cells on",
  "none",
};

inline constexpr auto kReloadRequested = base::LogEvent{
  902,
  base::LogLevel::Info,
  "the settings have changed; they are read at the next start",
  "restart the entry to use them",
};

inline constexpr auto kConfigurationApplied = base::LogEvent{
  903,
  base::LogLevel::Info,
  "a configuration is in force",
  "none",
};

inline constexpr auto kCellClaimed = base::LogEvent{
  910,
  base::LogLevel::Info,
  "this entry holds a cell and takes it over",
  "none",
};

inline constexpr auto kCellActive = base::LogEvent{
  911,
  base::LogLevel::Info,
  "a cell was taken over",
  "none",
};

inline constexpr auto kCellLost = base::LogEvent{
  912,
  base::LogLevel::Warn,
  "another entry holds the cell; its decisions end here",
  "none; look for the reason at the other entry",
};

inline constexpr auto kStoreUnreachable = base::LogEvent{
  913,
  base::LogLevel::Warn,
  "the store does not answer this entry",
  "check the store; accepted jobs run on",
};

inline constexpr auto kStoreReachable = base::LogEvent{
  914,
  base::LogLevel::Info,
  "the store answers this entry again",
  "none",
};

inline constexpr auto kJobRequestAnswered = base::LogEvent{
  920,
  base::LogLevel::Info,
  "a submission or cancellation was answered",
  "see the outcome and the reason",
};

inline constexpr auto kTaskPlaced = base::LogEvent{
  930,
  base::LogLevel::Info,
  "a task is started on a worker",
  "none; value is its wait in ms",
};

inline constexpr auto kOrderFailed = base::LogEvent{
  931,
  base::LogLevel::Warn,
  "a worker did not carry an order out",
  "see the reason; value is the kind of order",
};

inline constexpr auto kRunEnded = base::LogEvent{
  932,
  base::LogLevel::Info,
  "a worker lists the end of a run",
  "none; value is the number of the end",
};

inline constexpr auto kRunStopped = base::LogEvent{
  933,
  base::LogLevel::Info,
  "a run is stopped and its task starts elsewhere",
  "see the reason",
};

inline constexpr auto kRunsLost = base::LogEvent{
  934,
  base::LogLevel::Warn,
  "the runs on a worker count as gone",
  "check the worker; value is the number of runs",
};

inline constexpr auto kWorkerOnProbation = base::LogEvent{
  935,
  base::LogLevel::Warn,
  "a worker gets no new tasks for a while",
  "check the worker",
};

inline constexpr auto kPaceChanged = base::LogEvent{
  936,
  base::LogLevel::Info,
  "the processor share of filling tasks on a worker changed",
  "none; value is the tail latency as a share of its target",
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
  "a job that waited for room is handed to another cell",
  "none; an outcome other than 0 means that it stayed or is being settled",
};

inline constexpr auto kWorkerTransferred = base::LogEvent{
  939,
  base::LogLevel::Info,
  "a cell without room for a lasting task has got a worker of another cell",
  "none; add workers if it goes on",
};

inline constexpr auto kTaskHosted = base::LogEvent{
  940,
  base::LogLevel::Info,
  "a lasting task that found no room runs in another cell from now on",
  "none; add workers if it goes on",
};

inline constexpr auto kDispatchLogEvents = std::array{
  kEntryStarted,   kStopRequested,      kReloadRequested, kConfigurationApplied,
  kCellClaimed,    kCellActive,         kCellLost,        kStoreUnreachable,
  kStoreReachable, kJobRequestAnswered, kTaskPlaced,      kOrderFailed,
  kRunEnded,       kRunStopped,         kRunsLost,        kWorkerOnProbation,
  kPaceChanged,    kJobEnded,           kJobMigrated,     kWorkerTransferred,
  kTaskHosted
};

/** The event that stands for a kind of a cell's decisions. */
inline auto FindNoteEvent(cell::CellEventKind aKind) -> const base::LogEvent*
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
      return &kPaceChanged;
    case cell::CellEventKind::JobEnded:
      return &kJobEnded;
  }
  return &kJobEnded;
}

} // namespace eelgrasspost::dispatch
