#include "eelgrasspost/placement/probation.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::placement {

namespace {

/** Older ends of attempts count this much with each new one. */
constexpr double kKeepPerRecord = 0.98;
/** Assumed for a job that has run nowhere else yet. */
constexpr double kUnknownFailureShare = 0.5;

} // namespace

ProbationBook::ProbationBook(ProbationPolicy aPolicy)
  : mPolicy(aPolicy)
{
}

auto ProbationBook::FailureShareElsewhere(const JobHistory& aJob,
                                          const std::string& aWorker) const
  -> std::optional<double>
{
  double failures = 0;
  double all = 0;
  for (const auto& [worker, count] : aJob.mFailuresAt) {
    if (worker != aWorker) {
      failures += static_cast<double>(count);
      all += static_cast<double>(count);
    }
  }
  for (const auto& [worker, count] : aJob.mSuccessesAt) {
    if (worker != aWorker) {
      all += static_cast<double>(count);
    }
  }
  return all > 0 ? std::optional(failures / all) : std::nullopt;
}

auto ProbationBook::Record(const std::string& aWorker,
                           const std::string& aJob,
                           bool aSucceeded,
                           base::MonotonicTime aNow) -> void
{
  auto& worker = mWorkers[aWorker];
  auto& job = mJobs[aJob];
  worker.mSuccesses *= kKeepPerRecord;
  worker.mFailures *= kKeepPerRecord;
  if (aSucceeded) {
    ++job.mSuccessesAt[aWorker];
    worker.mSuccesses += 1;
    worker.mPausedUntil.reset();
    worker.mPause = base::Milliseconds(0);
    return;
  }
  const auto elsewhere =
    FailureShareElsewhere(job, aWorker).value_or(kUnknownFailureShare);
  worker.mFailures += 1 - elsewhere;
  if (!worker.mPausedUntil) {
    ++job.mFailuresAt[aWorker];
  }
  Judge(worker, aNow);
}

auto ProbationBook::Judge(WorkerHistory& aWorker, base::MonotonicTime aNow)
  -> void
{
  const auto wasPaused = aWorker.mPausedUntil.has_value();
  const auto isBad =
    aWorker.mFailures >= mPolicy.mLeastFailures &&
    aWorker.mFailures >= mPolicy.mExcessFactor * aWorker.mSuccesses;
  if (!wasPaused && !isBad) {
    return;
  }
  // Attempts that were under way when the pause began do not lengthen it.
  if (wasPaused && aNow < *aWorker.mPausedUntil) {
    return;
  }
  aWorker.mPause = wasPaused
                     ? std::min(aWorker.mPause * 2, mPolicy.mLongestPause)
                     : mPolicy.mFirstPause;
  aWorker.mPausedUntil = aNow + aWorker.mPause;
}

auto ProbationBook::Standing(const std::string& aWorker,
                             base::MonotonicTime aNow) const -> WorkerStanding
{
  const auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end() || !it->second.mPausedUntil) {
    return WorkerStanding::Good;
  }
  return aNow < *it->second.mPausedUntil ? WorkerStanding::Paused
                                         : WorkerStanding::Trial;
}

auto ProbationBook::ReasonToPark(const std::string& aJob) const
  -> std::optional<std::string>
{
  const auto it = mJobs.find(aJob);
  if (it == mJobs.end()) {
    return std::nullopt;
  }
  std::size_t goodWorkers = 0;
  for (const auto& [worker, count] : it->second.mFailuresAt) {
    const auto history = mWorkers.find(worker);
    const auto isGood =
      history != mWorkers.end() && !history->second.mPausedUntil;
    const auto succeededThere = it->second.mSuccessesAt.contains(worker);
    goodWorkers += isGood && !succeededThere ? 1 : 0;
  }
  if (goodWorkers < mPolicy.mWorkersToPark) {
    return std::nullopt;
  }
  return base::Cat("its tasks failed on ",
                   goodWorkers,
                   " workers that run other work well; correct the command "
                   "and submit the job under a new id");
}

auto ProbationBook::ForgetJob(const std::string& aJob) -> void
{
  mJobs.erase(aJob);
}

} // namespace eelgrasspost::placement
