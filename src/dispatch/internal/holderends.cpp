#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** Number of ended jobs that are kept, as workers list many ends of one job. */
constexpr std::size_t kMaxEndedElsewhere = 1000;

/** An end as the progress that it makes; nothing if it names no task. */
auto ProgressOfEnd(const cell::EndRow& aEnd)
  -> std::optional<cell::TaskProgress>
{
  const auto parts = base::Split(aEnd.mTask, '.');
  if (parts.size() != 4) {
    return std::nullopt;
  }
  const auto occurrence = base::ParseNumber<std::uint32_t>(parts[1]);
  const auto step = base::ParseNumber<std::uint32_t>(parts[2]);
  const auto index = base::ParseNumber<std::uint32_t>(parts[3]);
  if (!occurrence || !step || !index) {
    return std::nullopt;
  }
  cell::TaskProgress out;
  out.mOccurrence = *occurrence;
  out.mStep = *step;
  out.mIndex = *index;
  out.mIsDone = aEnd.mKind == cell::EndKind::Done;
  if (!out.mIsDone) {
    out.mFailedAttempts = { aEnd.mAttempt };
  }
  return out;
}

} // namespace

/** Reports the ends that a worker lists, of jobs that this cell does not have,
 * to the cells that have them. */
auto CellHolder::SettleForeignEnds(std::string aWorker) -> net::Task<void>
{
  const auto self = shared_from_this();
  while (mPhase == HolderPhase::Active) {
    auto it = mState.mWorkers.find(aWorker);
    if (it == mState.mWorkers.end() || it->second->mForeignEnds.empty()) {
      break;
    }
    const auto incarnation = it->second->mIncarnationStartMs;
    const auto end = it->second->mForeignEnds.begin()->second;
    if (!co_await SettleForeignEnd(end)) {
      co_await net::Sleep(kRetryInterval);
      continue;
    }
    it = mState.mWorkers.find(aWorker);
    if (it != mState.mWorkers.end() &&
        it->second->mIncarnationStartMs == incarnation) {
      it->second->mForeignEnds.erase(end.mNumber);
      ScheduleDecision();
    }
  }
  mSettlingWorkers.erase(aWorker);
}

auto CellHolder::SettleForeignEnd(cell::EndRow aEnd) -> net::Task<bool>
{
  const auto progress = ProgressOfEnd(aEnd);
  const auto id = aEnd.mTask.substr(0, aEnd.mTask.find('.'));
  if (!progress || mFinished.contains(id) || mEndedElsewhere.contains(id)) {
    co_return true;
  }
  const auto row = co_await ReadIdRow(id);
  if (!row) {
    co_return false;
  }
  if (row->mCell.empty() || cell::IsFinal(row->mState)) {
    // Nobody starts a task of it.
    if (mEndedElsewhere.size() >= kMaxEndedElsewhere) {
      mEndedElsewhere.clear();
    }
    mEndedElsewhere.insert(id);
    co_return true;
  }
  JobCommand command;
  command.mKind = JobCommandKind::ReportEnd;
  command.mCell = row->mCell;
  command.mJobId = id;
  command.mProgress.mTasks = { *progress };
  command.mTimeoutMs = kStoreTimeout.count();
  JobReply reply;
  if (row->mCell == mRow.mName) {
    reply = co_await AcceptEnd(std::move(command));
  } else {
    reply = co_await mContext.mExecute(std::move(command));
  }
  co_return reply.mOutcome == JobOutcome::Done;
}

/** Replies after the end is stored; the other cell acknowledges it then. */
auto CellHolder::AcceptEnd(JobCommand aCommand) -> net::Task<JobReply>
{
  const auto& id = aCommand.mJobId;
  if (mFinished.contains(id)) {
    co_return JobReply{ JobOutcome::Done, mFinished.at(id), mRow.mName };
  }
  if (mIsShuttingDown || !CanSendOrders()) {
    co_return JobReply{ JobOutcome::Refused };
  }
  if (!FindOwnJob(id) && !mUnresolvedJobs.contains(id)) {
    // Its import may have been executed after its reply was waited for.
    mUnresolvedJobs.insert(id);
    co_await LoadJob(id);
    mUnresolvedJobs.erase(id);
  }
  auto* job = FindOwnJob(id);
  if (!job) {
    co_return JobReply{ JobOutcome::NotInCell };
  }
  if (job->mIsMigrating) {
    co_return JobReply{ JobOutcome::Refused };
  }
  auto isKnown = true;
  for (const auto& it : aCommand.mProgress.mTasks) {
    isKnown = isKnown && cell::ApplyForeignEnd(
                           mState, *job, it, base::MonotonicClock::now());
  }
  if (!isKnown) {
    co_return JobReply{ JobOutcome::Refused };
  }
  if (!job->mIsDirty && !mIsFlushing) {
    // It was stored before.
    co_return JobReply{ JobOutcome::Done, job->mState, mRow.mName };
  }
  ScheduleDecision();
  // A flush also ends a job whose last task this was.
  co_await Flush();
  job = FindOwnJob(id);
  const auto isStored = mFinished.contains(id) || (job && !job->mIsDirty);
  co_return JobReply{ isStored && mPhase == HolderPhase::Active
                        ? JobOutcome::Done
                        : JobOutcome::Uncertain };
}

} // namespace eelgrasspost::dispatch
