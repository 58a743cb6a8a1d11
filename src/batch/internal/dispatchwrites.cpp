#include <algorithm>

#include "dispatcher.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batchlogevents.h"
#include "eelgrasspost/batch/jobcodec.h"
#include "eelgrasspost/platform/platformerrors.h"
#include "keys.h"

namespace eelgrasspost::batch {

namespace {

/** Maximum number of cancellations that one transaction applies. */
constexpr std::size_t kMaxAppliedCancels = 128;
/** Maximum number of blocks that one transaction adds to a job. */
constexpr std::int64_t kMaxBlocksPerGrowth = 128;

} // namespace

auto Dispatcher::CancelBlocks(const std::string& aJob, std::uint32_t aPartition)
  -> void
{
  for (auto& [key, block] : mBlocks) {
    if (block.mPartition != aPartition || block.mBlock.mSpec.mId != aJob) {
      continue;
    }
    auto index = block.mBlock.mIndex * kTasksPerBlock;
    for (auto& it : block.mBlock.mTasks) {
      const auto wasRunning = it.mState == TaskState::Running;
      if (ApplyCancel(it)) {
        block.mIsDirty = true;
        if (wasRunning) {
          mPlannedEnds.push_back(
            { it.mWorker, { TaskName(aJob, index), it.mAttempt }, true });
        }
      }
      ++index;
    }
  }
}

auto Dispatcher::ApplyCancellations(std::vector<platform::TableWrite>& aWrites)
  -> net::Task<void>
{
  for (auto& [partition, state] : mPartitions) {
    if (state.mIsStale) {
      continue;
    }
    for (const auto& it : state.mCancelRequests) {
      if (aWrites.size() >= kMaxAppliedCancels) {
        co_return;
      }
      if (it.mValue == kCancelRequested &&
          !co_await FanOutCancellation(partition, it)) {
        continue;
      }
      CancelBlocks(it.mJob, partition);
      aWrites.push_back(
        { CancelPrefix(partition) + it.mJob, std::nullopt, it.mVersion });
      mPlannedCancels.push_back({ partition, it.mJob });
    }
  }
}

auto Dispatcher::FanOutCancellation(std::uint32_t aPartition,
                                    PartitionRequest aRequest)
  -> net::Task<bool>
{
  const auto first = mBlocks.find(BlockKey(aRequest.mJob, 0));
  if (first != mBlocks.end() && BlocksOf(first->second.mBlock.mSpec) == 1) {
    co_return true;
  }
  const auto row = co_await mTable.Read(JobKey(aRequest.mJob));
  if (!row.ok()) {
    co_return false;
  }
  auto job = *row ? DecodeJob((*row)->mValue) : absl::NotFoundError("no job");
  if (!job.ok() || BlocksOf(job->mSpec) == 1) {
    co_return true;
  }
  if (job->mCancelled) {
    co_return true;
  }
  job->mCancelled = true;
  std::vector<platform::TableWrite> writes;
  writes.push_back(
    { JobKey(aRequest.mJob), EncodeJob(*job), (*row)->mVersion });
  std::set<std::uint32_t> otherPartitions;
  for (std::int64_t i = 0; i < job->mBlocksWritten; ++i) {
    otherPartitions.insert(PartitionOf(aRequest.mJob, i));
  }
  otherPartitions.erase(aPartition);
  for (const auto it : otherPartitions) {
    writes.push_back({ CancelPrefix(it) + aRequest.mJob,
                       std::string(kCancelAccepted),
                       std::nullopt });
    writes.push_back({ ChangeKey(it), std::string(), std::nullopt });
  }
  const auto status = co_await mTable.Commit(std::move(writes));
  co_return status.ok();
}

auto Dispatcher::GrowJobs() -> net::Task<void>
{
  const auto partitions = mPartitions;
  for (const auto& [partition, state] : partitions) {
    if (state.mIsStale) {
      continue;
    }
    for (const auto& it : state.mGrowRequests) {
      co_await Grow(partition, it);
    }
  }
}

auto Dispatcher::Grow(std::uint32_t aPartition, PartitionRequest aRequest)
  -> net::Task<void>
{
  mPartitions[aPartition].mIsStale = true;
  const auto row = co_await mTable.Read(JobKey(aRequest.mJob));
  if (!row.ok()) {
    co_return;
  }
  auto job = *row ? DecodeJob((*row)->mValue) : absl::NotFoundError("no job");
  const auto marker = GrowPrefix(aPartition) + aRequest.mJob;
  std::vector<platform::TableWrite> writes;
  if (!job.ok() || job->mCancelled) {
    writes.push_back({ marker, std::nullopt, aRequest.mVersion });
    (void)co_await mTable.Commit(std::move(writes));
    co_return;
  }
  const auto from = job->mBlocksWritten;
  const auto until = std::min(from + kMaxBlocksPerGrowth, BlocksOf(job->mSpec));
  AddNewBlocks(job->mSpec, from, until, writes);
  job->mBlocksWritten = until;
  writes.push_back(
    { JobKey(aRequest.mJob), EncodeJob(*job), (*row)->mVersion });
  if (until == BlocksOf(job->mSpec)) {
    writes.push_back({ marker, std::nullopt, aRequest.mVersion });
  }
  (void)co_await mTable.Commit(std::move(writes));
}

auto Dispatcher::AddWrites(const CachedBlock& aBlock,
                           std::vector<platform::TableWrite>& aWrites) const
  -> void
{
  const auto& block = aBlock.mBlock;
  const auto key = BlockKey(block.mSpec.mId, block.mIndex);
  if (!HasEnded(block)) {
    aWrites.push_back({ key, EncodeBlock(block), aBlock.mVersion });
    return;
  }
  aWrites.push_back({ key, std::nullopt, aBlock.mVersion });
  aWrites.push_back({ DoneKey(block.mSpec.mId, block.mIndex),
                      EncodeBlock(block),
                      std::nullopt });
}

auto Dispatcher::CommitDirty(std::vector<platform::TableWrite> aWrites)
  -> net::Task<void>
{
  mCommitting.clear();
  for (const auto& [key, block] : mBlocks) {
    if (block.mIsDirty) {
      AddWrites(block, aWrites);
      mCommitting.push_back(key);
    }
  }
  if (aWrites.empty()) {
    co_return;
  }
  const auto status = co_await mTable.Commit(std::move(aWrites));
  if (status.ok()) {
    mStarts.Add(mPlannedRemoteStarts.size());
    HandleCommitted();
  } else {
    HandleCommitFailure(status);
  }
  const auto isOutcomeKnown =
    status.ok() || base::IsKind(status, platform::kVersionConflict) ||
    base::IsKind(status, platform::kNotReached);
  if (isOutcomeKnown) {
    co_await NotifyOwners(status.ok());
  }
  mPlannedRemoteStarts.clear();
  mPlannedStarts.clear();
  mPlannedEnds.clear();
  mPlannedCancels.clear();
}

auto Dispatcher::HandleCommitted() -> void
{
  for (const auto& key : mCommitting) {
    auto& block = mBlocks[key];
    block.mIsDirty = false;
    ++block.mVersion;
    if (HasEnded(block.mBlock)) {
      mBlocks.erase(key);
    }
  }
  std::set<HeldWorkerPtr> workers;
  for (const auto& it : mPlannedStarts) {
    mMonitor.Confirm(it.mWorker, it.mKey);
    workers.insert(it.mWorker);
  }
  mStarts.Add(mPlannedStarts.size());
  for (const auto& it : workers) {
    mMonitor.SendStartsNow(it);
  }
  mEnds.Add(mPlannedEnds.size());
  for (const auto& it : mPlannedEnds) {
    const auto worker = mMonitor.Find(it.mWorker);
    if (!worker) {
      continue;
    }
    if (it.mMustStop) {
      mMonitor.Stop(worker, it.mKey, false);
    } else {
      mMonitor.Forget(worker, it.mKey);
    }
  }
  for (const auto& it : mPlannedCancels) {
    std::erase_if(mPartitions[it.mPartition].mCancelRequests,
                  [&](const PartitionRequest& aRequest) {
                    return aRequest.mJob == it.mJob;
                  });
  }
}

auto Dispatcher::HandleCommitFailure(const absl::Status& aStatus) -> void
{
  const auto isConflict = base::IsKind(aStatus, platform::kVersionConflict);
  const auto isUnwritten =
    isConflict || base::IsKind(aStatus, platform::kNotReached);
  if (isConflict) {
    mConflicts.Add();
  }
  base::Log(isConflict ? kWriteConflict : kTableUnavailable,
            base::MessageOf(aStatus));
  // If the outcome is unknown, the capacity stays reserved until the worker
  // monitor has read the row.
  for (const auto& it : mPlannedStarts) {
    if (isUnwritten) {
      mMonitor.Release(it.mWorker, it.mKey);
    }
  }
  for (const auto& key : mCommitting) {
    mPartitions[mBlocks[key].mPartition].mIsStale = true;
  }
  for (const auto& it : mPlannedCancels) {
    mPartitions[it.mPartition].mIsStale = true;
  }
}

} // namespace eelgrasspost::batch
