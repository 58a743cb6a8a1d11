#include "jobs.h"

#include <algorithm>

#include <boost/asio/this_coro.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batcherrors.h"
#include "eelgrasspost/batch/jobcodec.h"
#include "eelgrasspost/net/iopool.h"
#include "keys.h"

namespace eelgrasspost::batch {

namespace {

/** Jobs of at most this many blocks are written in one transaction; the blocks
 * of larger jobs are written later by a coordinator. */
constexpr std::int64_t kMaxBlocksWithJob = 16;
/** Maximum number of cancellations in one transaction. */
constexpr std::size_t kMaxCancelsPerCommit = 250;
/** Calls that cancel more jobs skip the check that the jobs exist. */
constexpr std::size_t kMaxCheckedCancels = 16;

} // namespace

Jobs::Jobs(BatchDependencies aDependencies, BatchOptions aOptions)
  : mDependencies(aDependencies)
  , mOptions(aOptions)
  , mTable(aDependencies.mTable, aDependencies.mMetrics, aOptions.mCallTimeout)
  , mMonitor(aDependencies, aOptions, mTable)
  , mDispatcher(aDependencies, aOptions, mTable, mMonitor)
{
  mMonitor.SetIsCurrentAttempt([this](const AttemptKey& aKey) {
    return mDispatcher.IsCurrentAttempt(aKey);
  });
}

auto Jobs::ReadJob(std::string aJob) -> net::Task<absl::StatusOr<JobRecord>>
{
  const auto row = co_await mTable.Read(JobKey(aJob));
  if (!row.ok()) {
    co_return base::MakeError(kJobsUnavailable, base::MessageOf(row.status()));
  }
  if (!*row) {
    co_return base::MakeError(kUnknownJob, base::Cat("no job ", aJob));
  }
  co_return DecodeJob((*row)->mValue);
}

auto Jobs::Submit(JobSpec aSpec, base::MonotonicTime /*aDeadline*/)
  -> net::Task<absl::Status>
{
  const auto reason =
    UnschedulableReason(aSpec,
                        *mDependencies.mOwnership.View(),
                        mDependencies.mNotes.CurrentState().get());
  if (!reason.empty()) {
    co_return base::MakeError(kUnschedulable, reason);
  }
  const auto blocks = BlocksOf(aSpec);
  const auto isSmall = blocks <= kMaxBlocksWithJob;
  const auto job = JobRecord{ aSpec, false, isSmall ? blocks : 0 };
  std::vector<platform::TableWrite> writes;
  writes.push_back({ JobKey(aSpec.mId), EncodeJob(job), platform::kAbsent });
  if (isSmall) {
    AddNewBlocks(aSpec, 0, blocks, writes);
  } else {
    const auto home = PartitionOf(aSpec.mId, 0);
    writes.push_back(
      { GrowPrefix(home) + aSpec.mId, std::string(), std::nullopt });
    writes.push_back({ ChangeKey(home), std::string(), std::nullopt });
  }
  const auto status = co_await mTable.Commit(std::move(writes));
  if (status.ok()) {
    co_return status;
  }
  const auto present = co_await ReadJob(aSpec.mId);
  if (present.ok()) {
    co_return present->mSpec == aSpec
      ? absl::OkStatus()
      : base::MakeError(kJobIdTaken,
                        base::Cat("another job has the id ", aSpec.mId));
  }
  co_return base::MakeError(kJobOutcomeUnknown, base::MessageOf(status));
}

auto Jobs::ReadLiveBlocks(JobRecord aJob, std::vector<TaskBlock>& aBlocks)
  -> net::Task<absl::Status>
{
  std::set<std::int64_t> ended;
  for (const auto& it : aBlocks) {
    ended.insert(it.mIndex);
  }
  for (std::int64_t i = 0; i < aJob.mBlocksWritten; ++i) {
    if (ended.contains(i)) {
      continue;
    }
    auto row = co_await mTable.Read(BlockKey(aJob.mSpec.mId, i));
    if (row.ok() && !*row) {
      // The block has ended since the ended blocks were scanned.
      row = co_await mTable.Read(DoneKey(aJob.mSpec.mId, i));
    }
    if (!row.ok()) {
      co_return row.status();
    }
    auto block =
      *row ? DecodeBlock((*row)->mValue) : absl::NotFoundError("missing block");
    if (!block.ok()) {
      co_return block.status();
    }
    aBlocks.push_back(*std::move(block));
  }
  co_return absl::OkStatus();
}

auto Jobs::Status(std::string aJob, base::MonotonicTime /*aDeadline*/)
  -> net::Task<absl::StatusOr<JobStatus>>
{
  const auto job = co_await ReadJob(aJob);
  if (!job.ok()) {
    co_return job.status();
  }
  const auto rows = co_await mTable.ScanAll(DonePrefix(aJob));
  if (!rows.ok()) {
    co_return base::MakeError(kJobsUnavailable, base::MessageOf(rows.status()));
  }
  std::vector<TaskBlock> blocks;
  for (const auto& it : *rows) {
    if (auto block = DecodeBlock(it.mValue); block.ok()) {
      blocks.push_back(*std::move(block));
    }
  }
  const auto status = co_await ReadLiveBlocks(*job, blocks);
  if (!status.ok()) {
    co_return base::MakeError(kJobsUnavailable, base::MessageOf(status));
  }
  std::ranges::sort(blocks, {}, &TaskBlock::mIndex);
  const auto state = JobStateOf(*job, blocks);
  co_return JobStatus{ job->mSpec, state, std::move(blocks) };
}

auto Jobs::List(std::string aAfter, base::MonotonicTime /*aDeadline*/)
  -> net::Task<absl::StatusOr<std::vector<JobRecord>>>
{
  const auto after = aAfter.empty() ? std::string() : JobKey(aAfter);
  const auto rows = co_await mTable.ScanPage(std::string(kJobPrefix), after);
  if (!rows.ok()) {
    co_return base::MakeError(kJobsUnavailable, base::MessageOf(rows.status()));
  }
  std::vector<JobRecord> out;
  for (const auto& it : *rows) {
    if (auto job = DecodeJob(it.mValue); job.ok()) {
      out.push_back(*std::move(job));
    }
  }
  co_return out;
}

auto Jobs::CheckJobsExist(std::vector<std::string> aJobs)
  -> net::Task<absl::Status>
{
  for (const auto& it : aJobs) {
    const auto job = co_await ReadJob(it);
    if (!job.ok()) {
      co_return job.status();
    }
  }
  co_return absl::OkStatus();
}

auto Jobs::Cancel(std::vector<std::string> aJobs,
                  base::MonotonicTime /*aDeadline*/) -> net::Task<absl::Status>
{
  if (aJobs.size() <= kMaxCheckedCancels) {
    const auto status = co_await CheckJobsExist(aJobs);
    if (!status.ok()) {
      co_return status;
    }
  }
  for (std::size_t from = 0; from < aJobs.size();
       from += kMaxCancelsPerCommit) {
    const auto until = std::min(from + kMaxCancelsPerCommit, aJobs.size());
    std::vector<platform::TableWrite> writes;
    std::set<std::uint32_t> homes;
    for (auto i = from; i < until; ++i) {
      const auto home = PartitionOf(aJobs[i], 0);
      writes.push_back({ CancelPrefix(home) + aJobs[i],
                         std::string(kCancelRequested),
                         std::nullopt });
      homes.insert(home);
    }
    for (const auto it : homes) {
      writes.push_back({ ChangeKey(it), std::string(), std::nullopt });
    }
    const auto status = co_await mTable.Commit(std::move(writes));
    if (!status.ok()) {
      co_return base::MakeError(kJobsUnavailable, base::MessageOf(status));
    }
  }
  co_return absl::OkStatus();
}

auto Jobs::HandlePlaceRequest(const PlaceRequest& aRequest) -> PlaceReply
{
  for (const auto& it : aRequest.mOutcomes) {
    const auto worker = mMonitor.Find(it.mWorker);
    const auto key = AttemptKey{ it.mTask, it.mAttempt };
    if (worker && it.mIsWritten) {
      mMonitor.Confirm(worker, key);
      mMonitor.SendStartsNow(worker);
    } else if (worker) {
      mMonitor.Release(worker, key);
    }
  }
  const auto notes = mDependencies.mNotes.CurrentState();
  auto index =
    MakeCapacityIndex(mMonitor, notes.get(), base::MonotonicClock::now());
  PlaceReply out;
  for (const auto& it : aRequest.mItems) {
    const auto worker = AllocateCapacity(
      index,
      { it.mResources, it.mUsedMs, it.mDeclaredMs, it.mFailedOn },
      mSeed++);
    if (!worker) {
      continue;
    }
    const auto& lease = *worker->mLease;
    const auto token = lease.Token();
    mMonitor.Reserve(worker,
                     { it.mTask,
                       it.mAttempt,
                       it.mResources,
                       mOptions.mAttemptLease.count(),
                       it.mCheckpoint,
                       it.mCommand },
                     token,
                     it.mExpectedVersion);
    out.mPlaced.push_back(
      { it.mTask, lease.mWorker.mId, token, lease.mIncarnation });
  }
  return out;
}

auto Jobs::Run() -> net::Task<void>
{
  const auto executor = co_await net::asio::this_coro::executor;
  net::SpawnTask(executor, mMonitor.Run());
  net::SpawnTask(executor, mMonitor.RunReconciliation());
  co_await mDispatcher.Run();
}

} // namespace eelgrasspost::batch
