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
  /** Minimum weight of failures for a worker to be put on probation. A failure
   * of a job that always succeeds on other workers weighs 1. */
  double mMinFailures = 1.5;
  /** Minimum ratio of the weight of failures to the number of successes. */
  double mExcessFactor = 3.0;
  /** Pause before a worker on probation gets one trial task; doubles with each
   * further failure. */
  base::Milliseconds mInitialPause{ 30000 };
  base::Milliseconds mMaxPause{ 30 * 60 * 1000 };
  /** Number of different workers in good standing on which a job's tasks must
   * fail to be parked. */
  std::size_t mMinWorkersToPark = 3;
};

/** Whether a worker gets tasks. */
enum class ProbationState : std::uint8_t
{
  Good,
  /** Gets no tasks until its pause ends. */
  Paused,
  /** Gets one task at a time until one succeeds. */
  Trial,
};

inline constexpr auto kProbationStateNames = std::array{
  base::EnumName<ProbationState>{ ProbationState::Good, "good" },
  base::EnumName<ProbationState>{ ProbationState::Paused, "paused" },
  base::EnumName<ProbationState>{ ProbationState::Trial, "trial" },
};

/**
 * Distinguishes workers on which all tasks fail from jobs that fail on all
 * workers. A failure counts against a worker in proportion to the job's success
 * rate on other workers, and against a job only on workers in good standing.
 */
class ProbationTracker
{
public:
  explicit ProbationTracker(ProbationPolicy aPolicy);

  /** Records the result of an attempt. */
  auto Record(const std::string& aWorker,
              const std::string& aJob,
              bool aSucceeded,
              base::MonotonicTime aNow) -> void;
  auto StateOf(const std::string& aWorker, base::MonotonicTime aNow) const
    -> ProbationState;
  /** Why a job should be parked; nullopt if it should not. */
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

  /** Failure rate of a job on other workers; nullopt if it has run on none. */
  auto FailureRateOnOthers(const JobHistory& aJob,
                           const std::string& aWorker) const
    -> std::optional<double>;
  auto UpdatePause(WorkerHistory& aWorker, base::MonotonicTime aNow) -> void;

  ProbationPolicy mPolicy;
  std::map<std::string, WorkerHistory> mWorkers;
  std::map<std::string, JobHistory> mJobs;
};

} // namespace eelgrasspost::placement
