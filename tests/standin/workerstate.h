#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/platform/platformtypes.h"
#include "standin.h"

namespace eelgrasspost::standin {

/** A task attempt that a worker runs or has run. */
struct WorkerAttempt
{
  platform::AttemptReport mReport;
  base::MonotonicTime mLeaseExpiresAt;
  /** Duration of the whole task, read from "run_ms" of its command. */
  std::int64_t mRunMs = 0;
  bool mIsFailing = false;
  /** Work done by earlier attempts, read from the checkpoint. */
  std::int64_t mResumedMs = 0;
  std::int64_t mCpuPercent = 100;
  base::MonotonicTime mLastAdvancedAt;
  /** Index into WorkerObservation::mAttempts. */
  std::size_t mObservedIndex = 0;
};

/** When an attempt ran, by the monotonic clock of the stand-in process. */
struct ObservedAttempt
{
  std::string mTask;
  std::uint64_t mAttempt = 0;
  std::int64_t mStartMs = 0;
  /** Negative while the attempt runs. */
  std::int64_t mEndMs = -1;
  std::string mResumedFrom;
};

/** What a worker records for the assertions of a test. */
struct WorkerObservation
{
  std::int64_t mMaxRequests = 0;
  std::int64_t mRequestCount = 0;
  std::int64_t mMaxCpuMillis = 0;
  std::int64_t mMaxMemoryMb = 0;
  std::vector<ObservedAttempt> mAttempts;
  /** Number of runs by request id. */
  std::map<std::string, int> mRunCountByRequest;
  /** Task attempts in the order of their starts. */
  json::array mStarts;
};

struct WorkerState
{
  std::string mId;
  std::string mIncarnation;
  platform::FencingToken mHighestToken;
  bool mLeaving = false;
  bool mIgnoresTokens = false;
  bool mFailsAll = false;
  std::int64_t mExtraRequestMs = 0;
  std::set<std::string> mRequests;
  std::map<std::string, WorkerAttempt> mAttempts;
  WorkerObservation mObserved;
};

/** Accepts a claim unless its fencing token is lower than the highest one
 * seen; raises the highest token. */
auto AcceptClaim(WorkerState& aState, const std::string& aToken) -> bool;
/** Whether a command or request carries the token of the newest claim. Any
 * other is refused, so that a restarted worker accepts nothing that was sent
 * before its restart. */
auto IsCurrentToken(const WorkerState& aState, const std::string& aToken)
  -> bool;
auto ToReport(const WorkerState& aState) -> json::object;
auto ToObservation(const WorkerState& aState) -> json::object;
/** Executes an agent command whose token was accepted. */
auto ExecuteCommand(WorkerState& aState,
                    const std::string& aTarget,
                    const json::object& aBody) -> void;
/** Drops tokens, requests and attempts, as a restart of a worker does. */
auto Restart(WorkerState& aState) -> void;
/** Advances running attempts: their progress, completion and lease expiry. */
auto AdvanceAttempts(WorkerState& aState, base::MonotonicTime aNow) -> void;

} // namespace eelgrasspost::standin
