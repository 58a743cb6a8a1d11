#include <algorithm>

#include "cellchoice.h"
#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/evacuation.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

/** Polling interval of a command that waits for a condition. */
constexpr auto kPollInterval = Milliseconds(8);
/** Part of the caller's timeout that is reserved for the reply. */
constexpr auto kReplyMargin = Milliseconds(60);

} // namespace

auto CellHolder::Execute(JobCommand aCommand) -> net::Task<JobReply>
{
  const auto self = shared_from_this();
  const auto deadline = base::MonotonicClock::now() +
                        Milliseconds(aCommand.mTimeoutMs) - kReplyMargin;
  while (mPhase == HolderPhase::TakingOver &&
         base::MonotonicClock::now() < deadline) {
    co_await net::Sleep(kPollInterval);
  }
  if (mPhase != HolderPhase::Active) {
    co_return JobReply{ JobOutcome::CellNotHeld };
  }
  switch (aCommand.mKind) {
    case JobCommandKind::Submit:
      co_return co_await Submit(std::move(aCommand));
    case JobCommandKind::GetState:
      co_return GetState(aCommand.mJobId);
    case JobCommandKind::Cancel:
      co_return co_await Cancel(aCommand.mJobId, deadline);
    case JobCommandKind::ImportJob:
      co_return co_await ImportJob(std::move(aCommand));
    case JobCommandKind::TransferWorker:
      co_return co_await TransferWorker(std::move(aCommand));
    case JobCommandKind::ReserveCapacity:
      co_return ReserveCapacity(aCommand.mRequest);
    case JobCommandKind::SyncHostedJob:
      co_return co_await ConfirmHostedTasks(std::move(aCommand));
    case JobCommandKind::GiveUpJob:
      co_return GiveUpJob(aCommand.mJobId);
    case JobCommandKind::ReturnTasks:
      co_return co_await AcceptReturnedTasks(std::move(aCommand));
    case JobCommandKind::ReportEnd:
      co_return co_await AcceptEnd(std::move(aCommand));
  }
  co_return JobReply{ JobOutcome::NotInCell };
}

auto CellHolder::GetState(const std::string& aId) -> JobReply
{
  if (const auto it = mFinished.find(aId); it != mFinished.end()) {
    return { JobOutcome::Done, it->second, mRow.mName };
  }
  const auto* job = FindOwnJob(aId);
  if (!job) {
    return { JobOutcome::NotInCell };
  }
  // A final state is reported only after it is stored.
  const auto state =
    cell::IsFinal(job->mState) ? cell::JobState::Running : job->mState;
  return { JobOutcome::Done, state, mRow.mName };
}

/** Whether the first tasks of a new job could be started now. */
auto CellHolder::CanStartAtOnce(const cell::StoredJob& aJob) const -> bool
{
  if (StartableShare(GetStatus(), aJob.mSpec) < 1) {
    return false;
  }
  std::vector<cell::WaitingStep> first;
  for (std::uint32_t i = 0; i < aJob.mSpec.mSteps.size(); ++i) {
    const auto& step = aJob.mSpec.mSteps[i];
    if (step.mAfter.empty() && !step.mIsLongRunning) {
      first.push_back({ i, step.mCount });
    }
  }
  return cell::HasRoomForSteps(
    mState, aJob, first, base::MonotonicClock::now());
}

auto CellHolder::Submit(JobCommand aCommand) -> net::Task<JobReply>
{
  const auto& id = aCommand.mJobId;
  const auto deadline = base::MonotonicClock::now() +
                        Milliseconds(aCommand.mTimeoutMs) - kReplyMargin;
  while (mUnresolvedJobs.contains(id) &&
         base::MonotonicClock::now() < deadline) {
    co_await net::Sleep(kPollInterval);
  }
  if (mUnresolvedJobs.contains(id)) {
    co_return JobReply{ JobOutcome::Uncertain };
  }
  if (mFinished.contains(id) || FindOwnJob(id)) {
    co_return JobReply{ JobOutcome::Done, cell::JobState::Queued, mRow.mName };
  }
  if (mIsShuttingDown || !CanSendOrders()) {
    co_return JobReply{ JobOutcome::CellNotHeld };
  }
  const auto isDeclined =
    cell::IsClosed(mState) ||
    (aCommand.mMustStartAtOnce && !CanStartAtOnce(aCommand.mJob)) ||
    (aCommand.mMustBeAbleToRun && !cell::CanRunJob(mState, aCommand.mJob));
  if (isDeclined) {
    co_return JobReply{ JobOutcome::Declined };
  }
  mUnresolvedJobs.insert(id);
  auto reply = co_await CommitJob(aCommand.mJob, aCommand.mIdVersion, deadline);
  if (reply.mOutcome == JobOutcome::Uncertain) {
    net::SpawnTask(
      mContext.mExecutor,
      ResolveSubmission(std::move(aCommand.mJob), aCommand.mIdVersion));
    co_return reply;
  }
  mUnresolvedJobs.erase(id);
  co_return reply;
}

/** Writes a job's rows and retries while the outcome is unknown. */
auto CellHolder::CommitJob(const cell::StoredJob& aJob,
                           std::uint64_t aIdVersion,
                           MonotonicTime aDeadline) -> net::Task<JobReply>
{
  const auto id = aJob.mSpec.mId;
  const auto partition = PartitionOf(id);
  StoreTransaction transaction;
  transaction.mPartition = PartitionName(partition);
  const auto idKey = RowKey{ std::string(kIdTable), id };
  transaction.mExpected = { FenceOf(partition), { idKey, aIdVersion } };
  const auto row =
    JobIdRow{ mRow.mName, cell::JobState::Queued, base::WallClockMs() };
  transaction.mWrites = { { idKey, net::Encode(row) },
                          { { std::string(kJobTable), JobKey(id) },
                            net::Encode(aJob) } };
  auto isOutcomeUnknown = false;
  while (true) {
    const auto sentAt = mContext.mBootNow();
    const auto reply = co_await mContext.mStore.Commit(transaction, aDeadline);
    isOutcomeUnknown =
      isOutcomeUnknown || reply.mOutcome == StoreOutcome::Unknown;
    if (mPhase == HolderPhase::Ended) {
      // The next holder runs a job that was stored.
      co_return JobReply{ reply.mOutcome == StoreOutcome::Done
                            ? JobOutcome::Done
                          : isOutcomeUnknown ? JobOutcome::Uncertain
                                             : JobOutcome::CellNotHeld,
                          cell::JobState::Queued,
                          mRow.mName };
    }
    if (reply.mOutcome == StoreOutcome::Done) {
      NoteFencedWrite(sentAt);
      mRows[id].mJobVersion = reply.mVersion;
      cell::AddJob(mState,
                   aJob,
                   {},
                   false,
                   base::MonotonicClock::now(),
                   base::WallClockMs());
      ScheduleDecision();
      co_return JobReply{ JobOutcome::Done,
                          cell::JobState::Queued,
                          mRow.mName };
    }
    if (reply.mOutcome == StoreOutcome::Conflict) {
      CheckFence(reply);
      for (const auto& it : reply.mRows) {
        if (it.mTable != kIdTable || it.mIsRemoved || it.mVersion == 0) {
          continue;
        }
        const auto found = net::Decode<JobIdRow>(it.mValue);
        if (found.ok() && IsWithheld(*found)) {
          if (it.mVersion == aIdVersion) {
            // The fence has been raised.
            continue;
          }
          co_return JobReply{
            JobOutcome::Withheld, cell::JobState::Queued, {}, it.mVersion
          };
        }
        const auto isOurs = found.ok() && found->mCell == mRow.mName &&
                            !cell::IsFinal(found->mState);
        if (isOurs && mPhase == HolderPhase::Active &&
            !cell::FindJob(mState, id) && !mFinished.contains(id)) {
          // An earlier write whose reply was lost has been applied. It may be
          // an import, of a job that has progress.
          if (!co_await LoadJob(id)) {
            co_return JobReply{ JobOutcome::Uncertain };
          }
        }
        co_return JobReply{ JobOutcome::Done,
                            cell::JobState::Queued,
                            found.ok() ? found->mCell : mRow.mName };
      }
      co_return JobReply{ isOutcomeUnknown ? JobOutcome::Uncertain
                                           : JobOutcome::CellNotHeld };
    }
    if (!isOutcomeUnknown) {
      co_return JobReply{ JobOutcome::Refused };
    }
    if (base::MonotonicClock::now() + kRetryInterval > aDeadline) {
      co_return JobReply{ JobOutcome::Uncertain };
    }
    co_await net::Sleep(kRetryInterval);
  }
}

auto CellHolder::ResolveSubmission(cell::StoredJob aJob,
                                   std::uint64_t aIdVersion) -> net::Task<void>
{
  const auto self = shared_from_this();
  const auto id = aJob.mSpec.mId;
  auto isResolved = false;
  while (!isResolved && mPhase == HolderPhase::Active) {
    co_await net::Sleep(kRetryInterval);
    const auto reply = co_await CommitJob(
      aJob, aIdVersion, base::MonotonicClock::now() + kStoreTimeout);
    isResolved = reply.mOutcome == JobOutcome::Done ||
                 reply.mOutcome == JobOutcome::Withheld;
  }
  mUnresolvedJobs.erase(id);
}

auto CellHolder::Cancel(std::string aId, MonotonicTime aDeadline)
  -> net::Task<JobReply>
{
  const auto isBusy = [&] {
    const auto* job = FindOwnJob(aId);
    return mUnresolvedJobs.contains(aId) || (job && job->mIsMigrating);
  };
  while (isBusy() && base::MonotonicClock::now() < aDeadline) {
    co_await net::Sleep(kPollInterval);
  }
  if (isBusy()) {
    co_return JobReply{ JobOutcome::Uncertain };
  }
  if (!FindOwnJob(aId) && !mFinished.contains(aId)) {
    // The reply to its import may have been lost for longer than it was waited
    // for; the next holder would read its row. No other command may add the job
    // meanwhile.
    mUnresolvedJobs.insert(aId);
    co_await LoadJob(aId);
    mUnresolvedJobs.erase(aId);
  }
  if (auto* job = FindOwnJob(aId); job && !mIsShuttingDown) {
    if (!cell::IsFinal(job->mState)) {
      job->mState = cell::JobState::Cancelled;
    }
    job->mIsDirty = true;
    mState.mDirty.insert(aId);
    ScheduleDecision();
  }
  while (base::MonotonicClock::now() < aDeadline &&
         mPhase == HolderPhase::Active) {
    if (const auto it = mFinished.find(aId); it != mFinished.end()) {
      co_return JobReply{ JobOutcome::Done, it->second, mRow.mName };
    }
    if (!FindOwnJob(aId)) {
      co_return JobReply{ JobOutcome::NotInCell };
    }
    co_await net::Sleep(kPollInterval);
  }
  co_return JobReply{ mPhase == HolderPhase::Active ? JobOutcome::Uncertain
                                                    : JobOutcome::CellNotHeld };
}

} // namespace eelgrasspost::dispatch
