#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "eelgrasspost/cell/interference.h"
#include "eelgrasspost/cell/jobtypes.h"

namespace eelgrasspost::cell {

enum class RunPhase : std::uint8_t
{
  /** The start was sent and is not answered yet. */
  Starting,
  /** The start got no answer; the worker may still carry it out. */
  OutcomeUnknown,
  Running,
  Stopping,
};

/** One run of a task on a worker. It occupies its resources until the worker
 * lists its end or the end is certain for another reason. */
struct Run
{
  /** Null when it is neither the current run of a task of the cell nor the
   * duplicate of one. */
  Task* mTask = nullptr;
  /** A second run of a task whose current run is slow. */
  bool mIsDuplicate = false;
  std::uint64_t mAttempt = 0;
  RunPhase mPhase = RunPhase::Starting;
  Resources mNeed;
  /** False for a run of a task that the cell does not have. It may need more
   * than the worker's capacity, which may have been higher when it started. */
  bool mIsNeedKnown = true;
  bool mIsBestEffort = false;
  bool mIsLongRunning = false;
  bool mCheckpoints = false;
  std::int64_t mTargetTailMs = 0;
  /** Index in the cell's interference table. */
  std::size_t mImageIndex = 0;
  /** When the start was sent; zero when a previous holder sent it. */
  MonotonicTime mStartedAt{};
  MonotonicTime mConfirmedAt{};
  double mPercent = 0;
  MonotonicTime mPercentMovedAt{};
  double mLoad = 0;
  std::string mCheckpoint;
  MonotonicTime mStopSentAt{};
  bool mStopInFlight = false;
  bool mStopAnswered = false;
  MonotonicTime mStopAnsweredAt{};
  /** CPU share in percent: the last one that the worker accepted, and the one
   * that it should have. */
  int mCpuShare = 100;
  int mWantedCpuShare = 100;
  bool mCpuShareInFlight = false;
};

struct Reservation
{
  Resources mNeed;
  MonotonicTime mUntil{};
  /** Since when capacity is reserved for the task, on any worker. */
  MonotonicTime mSince{};
};

/** Room that a worker keeps for a waiting short task. */
struct Gathering
{
  std::string mTask;
  Resources mNeed;
  /** When it is expected to be complete. */
  MonotonicTime mCompleteAt{};
};

struct Worker
{
  WorkerRecord mRecord;
  /** Lowest capacity that was listed for this incarnation, by resource. */
  Resources mLowestCapacity;
  /** Start of the incarnation that answered last; 0 before the first answer. */
  std::int64_t mIncarnationStartMs = 0;
  /** It has reported under this holder's fencing token: its runs are known. */
  bool mIsKnown = false;
  /** The address at which it replied last to this holder. */
  net::Address mRepliedFrom;
  /** It is being transferred to another cell and gets no more starts. */
  bool mIsTransferring = false;
  /** It is in the platform's list. */
  bool mIsListed = true;
  /** Runs by the names of their tasks. */
  std::unordered_map<std::string, Run> mRuns;
  /** Resources reserved by the runs; best-effort tasks reserve no CPU. */
  Resources mUsed;
  /** Number of runs whose needs are not known; nothing is started beside them.
   */
  std::uint32_t mRunsOfUnknownNeed = 0;
  /** CPU millis that the best-effort runs would use at full speed. */
  std::int64_t mBestEffortCpuMillis = 0;
  /** Highest number of an end that was applied. */
  std::uint64_t mSeenEnds = 0;
  /** Ends up to this number are stored and may be acknowledged. */
  std::uint64_t mStoredEnds = 0;
  /** The jobs of the ends that are not stored, by number. */
  std::map<std::uint64_t, std::string> mUnstoredEnds;
  /** It lists as many ends as it can. */
  bool mMayHaveMoreEnds = false;
  /** Ends, by number, of jobs that the cell does not have. */
  std::map<std::uint64_t, EndRow> mForeignEnds;
  std::int64_t mLastClockMs = 0;
  MonotonicTime mLastContact{};
  /** When its last report was applied; replies to orders are none. */
  MonotonicTime mReportedAt{};
  /** When a call to it first failed, other than by a timeout, since the last
   * contact. */
  std::optional<MonotonicTime> mUnreachableSince;
  /** Another worker is listed at its address. */
  bool mIsReplaced = false;
  /** When a task was last started on it. */
  MonotonicTime mLastStartAt{};
  /** Until then only a task under which workers have crashed may be started on
   * it, and none after that one. */
  MonotonicTime mIsolatedUntil{};
  /** If it doesn't answer again, every lease granted to it has expired by
   * this time. */
  MonotonicTime mLeasesExpiredAt{};
  /** No starts before this time; set after a start that was not answered or was
   * refused. */
  MonotonicTime mSuspectUntil{};
  /** Until then it may execute a start that was not answered: after a restart
   * even one whose run was stopped. */
  MonotonicTime mLateStartsUntil{};
  /** Consecutive failed ends; those of the same job count once. */
  std::uint32_t mConsecutiveFailures = 0;
  std::string mLastFailedJob;
  /** It gets no new work before this time. */
  MonotonicTime mProbationUntil{};
  MonotonicTime mDrainingSince{};
  /** Resources that other tasks leave free for waiting long-running ones, by
   * the names of these. All of them fit beside the long-running runs. */
  std::map<std::string, Reservation, std::less<>> mReservations;
  /** Planned anew in each round of placement; see lookahead.h. */
  std::optional<Gathering> mGathering;
  /** A new report is needed to find out what became of a run. */
  bool mNeedsPoll = false;
  /** Since when a call without a reply, or a reply that does not fit its clock,
   * suggests that it has restarted. It gets no starts, and no acknowledgements
   * of ends, until it replies to a later poll. */
  std::optional<MonotonicTime> mMayHaveRestartedSince;
  /** What the best-effort runs would use at full speed, by image. */
  std::vector<ImageUse> mBestEffortUses;
  /** Images of the serving runs, each with the number of its runs. */
  std::vector<std::pair<std::size_t, std::uint32_t>> mServingImages;
  /** CPU millis that the serving runs have reserved. */
  std::int64_t mServingCpuMillis = 0;
  /** Rise of its tail latencies that best-effort tasks don't explain, and the
   * time of the last update. */
  WorkerTailOffset mTailOffset;
  MonotonicTime mTailOffsetAt{};
  /** CPU share, in percent, of the best-effort runs that raise a serving tail
   * over its target; set by feedback from the tails. */
  int mBestEffortCpuShare = 100;
  MonotonicTime mBestEffortCpuShareChangedAt{};
  /** The serving image that was last over its target. */
  std::size_t mOverTargetImage = 0;
  /** Since when a serving tail has been over its target without a pause, while
   * best-effort tasks run. */
  std::optional<MonotonicTime> mOverTargetSince;
  /** Start of the current period in which best-effort tasks are throttled. */
  MonotonicTime mThrottledSince{};
};

} // namespace eelgrasspost::cell
