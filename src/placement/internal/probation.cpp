#include "eelgrasspost/placement/probation.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::placement {

namespace {

/** Factor by which each new result reduces the weight of earlier ones. */
constexpr double kDecayPerRecord = 0.98;
/** Assumed failure rate of a job that has not run on other workers yet. */
constexpr double kDefaultFailureRate = 0.5;

} // namespace

ProbationTracker::ProbationTracker(ProbationPolicy aPolicy)
  : mPolicy(aPolicy)
{
}

auto ProbationTracker::FailureRateOnOthers(const JobHistory& aJob,
                                           const std::string& aWorker) const
  -> std::optional<double>
{
  double failures = 0;
  double all = 0;
  for (const auto& [worker, count] : aJob.mFailuresOn) {
    if (worker != aWorker) {
      failures += static_cast<double>(count);
      all += static_cast<double>(count);
    }
  }
  for (const auto& [worker, count] : aJob.mSuccessesOn) {
    if (worker != aWorker) {
      all += static_cast<double>(count);
    }
  }
  return all > 0 ? std::optional(failures / all) : std::nullopt;
}

auto ProbationTracker::Record(const std::string& aWorker,
                              const std::string& aJob,
                              bool aSucceeded,
                              base::MonotonicTime aNow) -> void
{
  auto& worker = mWorkers[aWorker];
  auto& job = mJobs[aJob];
  worker.mSuccesses *= kDecayPerRecord;
  worker.mFailures *= kDecayPerRecord;
  if (aSucceeded) {
    ++job.mSuccessesOn[aWorker];
    worker.mSuccesses += 1;
    worker.mPausedUntil.reset();
    worker.mPause = base::Milliseconds(0);
    return;
  }
  const auto failureRate =
    FailureRateOnOthers(job, aWorker).value_or(kDefaultFailureRate);
  worker.mFailures += 1 - failureRate;
  if (!worker.mPausedUntil) {
    ++job.mFailuresOn[aWorker];
  }
  UpdatePause(worker, aNow);
}

auto ProbationTracker::UpdatePause(WorkerHistory& aWorker,
                                   base::MonotonicTime aNow) -> void
{
  const auto wasPaused = aWorker.mPausedUntil.has_value();
  const auto isFailing =
    aWorker.mFailures >= mPolicy.mMinFailures &&
    aWorker.mFailures >= mPolicy.mExcessFactor * aWorker.mSuccesses;
  if (!wasPaused && !isFailing) {
    return;
  }
  // Failures of attempts that were running when the pause began do not extend
  // it.
  if (wasPaused && aNow < *aWorker.mPausedUntil) {
    return;
  }
  aWorker.mPause = wasPaused ? std::min(aWorker.mPause * 2, mPolicy.mMaxPause)
                             : mPolicy.mInitialPause;
  aWorker.mPausedUntil = aNow + aWorker.mPause;
}

auto ProbationTracker::StateOf(const std::string& aWorker,
                               base::MonotonicTime aNow) const -> ProbationState
{
  const auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end() || !it->second.mPausedUntil) {
    return ProbationState::Good;
  }
  return aNow < *it->second.mPausedUntil ? ProbationState::Paused
                                         : ProbationState::Trial;
}

auto ProbationTracker::ReasonToPark(const std::string& aJob) const
  -> std::optional<std::string>
{
  const auto it = mJobs.find(aJob);
  if (it == mJobs.end()) {
    return std::nullopt;
  }
  std::size_t goodWorkers = 0;
  for (const auto& [worker, count] : it->second.mFailuresOn) {
    const auto history = mWorkers.find(worker);
    const auto isGood =
      history != mWorkers.end() && !history->second.mPausedUntil;
    const auto succeededThere = it->second.mSuccessesOn.contains(worker);
    goodWorkers += isGood && !succeededThere ? 1 : 0;
  }
  if (goodWorkers < mPolicy.mMinWorkersToPark) {
    return std::nullopt;
  }
  return base::Cat(
    "its tasks failed on ",
    goodWorkers,
    " workers that run other jobs successfully; correct the command "
    "and submit the job under a new id");
}

auto ProbationTracker::ForgetJob(const std::string& aJob) -> void
{
  mJobs.erase(aJob);
}

} // namespace eelgrasspost::placement
