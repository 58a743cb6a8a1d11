#include <algorithm>

#include "dispatcher.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batchlogevents.h"
#include "keys.h"

namespace eelgrasspost::batch {

auto Dispatcher::PendingInOrder() const -> std::vector<TaskSlot>
{
  struct Candidate
  {
    TaskSlot mTask;
    bool mIsUrgent = false;
    std::int64_t mUsedMs = 0;
  };
  std::vector<Candidate> candidates;
  for (const auto& [key, block] : mBlocks) {
    const auto state = mPartitions.find(block.mPartition);
    if (state == mPartitions.end() || state->second.mIsStale) {
      continue;
    }
    for (std::size_t i = 0; i < block.mBlock.mTasks.size(); ++i) {
      const auto& task = block.mBlock.mTasks[i];
      if (task.mState == TaskState::Pending) {
        candidates.push_back(
          { { key, i }, block.mBlock.mSpec.mUrgent, task.mUsedMs });
      }
    }
  }
  // Declared run times are unreliable, so tasks that have used less time go
  // first.
  std::ranges::stable_sort(candidates,
                           [](const Candidate& aLeft, const Candidate& aRight) {
                             return aLeft.mIsUrgent != aRight.mIsUrgent
                                      ? aLeft.mIsUrgent
                                      : aLeft.mUsedMs < aRight.mUsedMs;
                           });
  std::vector<TaskSlot> out;
  out.reserve(candidates.size());
  for (auto& it : candidates) {
    out.push_back(std::move(it.mTask));
  }
  return out;
}

auto Dispatcher::PlaceLocally() -> std::vector<TaskSlot>
{
  const auto notes = mDependencies.mNotes.CurrentState();
  auto index =
    MakeCapacityIndex(mMonitor, notes.get(), base::MonotonicClock::now());
  std::vector<TaskSlot> left;
  for (auto& it : PendingInOrder()) {
    auto& block = mBlocks[it.mKey];
    if (!Place(block, it.mSlot, index) &&
        !ParkIfUnschedulable(block, it.mSlot)) {
      left.push_back(std::move(it));
    }
  }
  return left;
}

auto Dispatcher::ParkIfUnschedulable(CachedBlock& aBlock, std::size_t aSlot)
  -> bool
{
  const auto& spec = aBlock.mBlock.mSpec;
  const auto reason =
    UnschedulableReason(spec,
                        *mDependencies.mOwnership.View(),
                        mDependencies.mNotes.CurrentState().get());
  if (reason.empty() || !ApplyPark(aBlock.mBlock.mTasks[aSlot], reason)) {
    return false;
  }
  aBlock.mIsDirty = true;
  base::Log(kTaskParked, base::Cat(spec.mId, ": ", reason));
  return true;
}

auto Dispatcher::Place(CachedBlock& aBlock,
                       std::size_t aSlot,
                       CapacityIndex& aIndex) -> bool
{
  const auto& spec = aBlock.mBlock.mSpec;
  auto& task = aBlock.mBlock.mTasks[aSlot];
  const auto worker = AllocateCapacity(
    aIndex,
    { spec.mResources, task.mUsedMs, spec.mDeclaredRunMs, task.mFailedOn },
    mSeed++);
  if (!worker) {
    return false;
  }
  const auto& lease = *worker->mLease;
  const auto token = lease.Token();
  if (!ApplyStart(task, lease.mWorker.mId, token, lease.mIncarnation)) {
    return false;
  }
  const auto key = AttemptKey{ TaskNameOf(aBlock, aSlot), task.mAttempt };
  mMonitor.Reserve(worker,
                   { key.mTask,
                     key.mAttempt,
                     spec.mResources,
                     mOptions.mAttemptLease.count(),
                     task.mCheckpoint,
                     spec.mCommand },
                   token,
                   aBlock.mVersion);
  aBlock.mIsDirty = true;
  mPlannedStarts.push_back({ worker, key });
  return true;
}

} // namespace eelgrasspost::batch
