#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "eelgrasspost/placement/placementtypes.h"

namespace eelgrasspost::placement {

struct ProbationPolicy
{
  /** Failures that count against a worker before it can be put on probation;
   * one of a job that succeeds elsewhere counts 1. */
  double mMinFailures = 1.5;
  /** How many times more failures than its jobs have elsewhere. */
  double mExcessFactor = 3.0;
  /** Time until a worker on probation gets one task to try; doubles with each
   * further failure. */
  base::Milliseconds mInitialPause{ 30000 };
  base::Milliseconds mMaxPause{ 30 * 60 * 1000 };
  /** Different good workers on which a job's tasks must fail to be parked. */
  std::size_t mMinWorkersToPark = 3;
};

/** Whether a worker gets work. */
enum class ProbationState : std::uint8_t
{
  Good,
  /** Gets nothing until its pause ends. */
  Paused,
  /** Gets one task at a time, to show that it works. */
  Trial,
};

inline constexpr auto kProbationStateNames = std::array{
  base::EnumName<ProbationState>{ ProbationState::Good, "good" },
  base::EnumName<ProbationState>{ ProbationState::Paused, "paused" },
  base::EnumName<ProbationState>{ ProbationState::Trial, "trial" },
};

/**
 * Tells workers that fail all they start from jobs that fail everywhere. A
 * failure counts against a worker by the share of the job's attempts that
 * succeed elsewhere, and against a job only on workers in good standing.
 */
class ProbationTracker
{
public:
  explicit ProbationTracker(ProbationPolicy aPolicy);

  /** Takes in the end of an attempt. */
  auto Record(const std::string& aWorker,
              const std::string& aJob,
              bool aSucceeded,
              base::MonotonicTime aNow) -> void;
  auto StateOf(const std::string& aWorker, base::MonotonicTime aNow) const
    -> ProbationState;
  /** Why a job should be parked; nothing while it should not. */
  auto ReasonToPark(const std::string& aJob) const
    -> std::optional<std::string>;
  auto ForgetJob(const std::string& aJob) -> void;

private:
  struct WorkerHistory
  {
    double mSuccesses = 0;
    double mFailures = 0;
    std::optional<base::MonotonicTime> mPausedUntil;
    base::Milliseconds mPause{ 0 };
  };
  struct JobHistory
  {
    std::map<std::string, std::int64_t> mSuccessesOn;
    std::map<std::string, std::int64_t> mFailuresOn;
  };

  /** Share of a job's attempts that fail on other workers; nothing if it has
   * run on none. */
  auto FailureRateOnOthers(const JobHistory& aJob,
                           const std::string& aWorker) const
    -> std::optional<double>;
  auto UpdatePause(WorkerHistory& aWorker, base::MonotonicTime aNow) -> void;

  ProbationPolicy mPolicy;
  std::map<std::string, WorkerHistory> mWorkers;
  std::map<std::string, JobHistory> mJobs;
};

} // namespace eelgrasspost::placement
