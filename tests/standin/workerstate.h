#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/platform/platformtypes.h"
#include "standin.h"

namespace eelgrasspost::standin {

/** One task attempt that a worker runs or has run. */
struct WorkerAttempt
{
  platform::AttemptReport mReport;
  base::MonotonicTime mLeaseUntil;
  /** Length of the whole task, read from "run_ms" of its command. */
  std::int64_t mRunMs = 0;
  bool mFails = false;
  /** Work done before this attempt, read from its checkpoint. */
  std::int64_t mResumedMs = 0;
  std::int64_t mCpuPercent = 100;
  base::MonotonicTime mLastTick;
  /** Place in the observed attempts. */
  std::size_t mObservedAt = 0;
};

/** When an attempt ran, by the worker process's monotonic clock. */
struct ObservedAttempt
{
  std::string mTask;
  std::uint64_t mAttempt = 0;
  std::int64_t mFromMs = 0;
  /** Negative while it runs. */
  std::int64_t mUntilMs = -1;
  std::string mResumedFrom;
};

/** What a test asks of a worker afterwards. */
struct WorkerObservation
{
  std::int64_t mMostRequests = 0;
  std::int64_t mRequestsRun = 0;
  std::int64_t mMostCpuMillis = 0;
  std::int64_t mMostMemoryMb = 0;
  std::vector<ObservedAttempt> mAttempts;
  /** How often each request ran, by request id. */
  std::map<std::string, int> mRunsByRequest;
  /** Task attempts that were started, in order. */
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

/** Whether a claim with a token is taken; raises the highest token. */
auto TakeClaim(WorkerState& aState, const std::string& aToken) -> bool;
/** Whether a command or request with a token is taken: only the newest claim's
 * is, so that a restarted worker takes nothing that was sent before. */
auto TakeToken(const WorkerState& aState, const std::string& aToken) -> bool;
auto ToReport(const WorkerState& aState) -> json::object;
auto ToObservation(const WorkerState& aState) -> json::object;
/** Carries out an agent's command whose token has been taken. */
auto CarryOut(WorkerState& aState,
              const std::string& aTarget,
              const json::object& aBody) -> void;
/** Forgets tokens and work, as a restarted worker does. */
auto Restart(WorkerState& aState) -> void;
/** Lets running attempts make progress, end and lapse. */
auto Advance(WorkerState& aState, base::MonotonicTime aNow) -> void;

} // namespace eelgrasspost::standin
