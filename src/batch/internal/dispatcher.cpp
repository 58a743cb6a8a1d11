#include "dispatcher.h"

#include <algorithm>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/batch/batchlogevents.h"
#include "eelgrasspost/batch/jobcodec.h"
#include "eelgrasspost/net/iopool.h"
#include "keys.h"

namespace eelgrasspost::batch {

auto TaskNameOf(const CachedBlock& aBlock, std::size_t aSlot) -> std::string
{
  const auto index =
    aBlock.mBlock.mIndex * kTasksPerBlock + static_cast<std::int64_t>(aSlot);
  return TaskName(aBlock.mBlock.mSpec.mId, index);
}

Dispatcher::Dispatcher(BatchDependencies aDependencies,
                       BatchOptions aOptions,
                       BatchTable& aTable,
                       WorkerMonitor& aMonitor)
  : mDependencies(aDependencies)
  , mOptions(aOptions)
  , mTable(aTable)
  , mMonitor(aMonitor)
  , mStarts(aDependencies.mMetrics.FindCounter("batch_starts_total"))
  , mEnds(aDependencies.mMetrics.FindCounter("batch_ends_recorded_total"))
  , mConflicts(
      aDependencies.mMetrics.FindCounter("batch_write_conflicts_total"))
{
}

auto Dispatcher::Run() -> net::Task<void>
{
  while (true) {
    co_await Tick();
    const auto entries = mDependencies.mMembership.View()->mMembers.size();
    co_await net::Sleep(ScaledInterval(mOptions.mTickInterval, entries));
  }
}

auto Dispatcher::Tick() -> net::Task<void>
{
  UpdatePartitions();
  co_await PollChanges();
  co_await ReloadStale();
  co_await FetchRemoteReports();
  mMonitor.Refresh();
  TrackMissingWorkers();
  co_await GrowJobs();
  ApplyReports();
  std::vector<platform::TableWrite> writes;
  co_await ApplyCancellations(writes);
  co_await PlaceRemotely(PlaceLocally());
  co_await CommitDirty(std::move(writes));
}

auto Dispatcher::IsCurrentAttempt(const AttemptKey& aKey) const -> bool
{
  const auto position = ParseTaskName(aKey.mTask);
  if (!position) {
    return false;
  }
  const auto it = mBlocks.find(BlockKey(position->mJob, position->mBlock));
  if (it == mBlocks.end()) {
    return false;
  }
  const auto& tasks = it->second.mBlock.mTasks;
  return position->mSlot < tasks.size() &&
         tasks[position->mSlot].mState == TaskState::Running &&
         tasks[position->mSlot].mAttempt == aKey.mAttempt;
}

auto Dispatcher::UpdatePartitions() -> void
{
  const auto members = mDependencies.mMembership.View();
  const auto own = PartitionsOf(mDependencies.mMembership.Self().mId, *members);
  std::map<std::uint32_t, PartitionState> next;
  for (const auto it : own) {
    const auto known = mPartitions.find(it);
    next[it] = known == mPartitions.end() ? PartitionState() : known->second;
  }
  mPartitions = std::move(next);
  std::erase_if(mBlocks, [&](const auto& aBlock) {
    return !mPartitions.contains(aBlock.second.mPartition);
  });
}

auto Dispatcher::PollChanges() -> net::Task<void>
{
  const auto now = base::MonotonicClock::now();
  const auto entries = mDependencies.mMembership.View()->mMembers.size();
  if (now < mNextPoll) {
    co_return;
  }
  mNextPoll = now + ScaledInterval(mOptions.mPollInterval, entries);
  const auto rows = co_await mTable.ScanAll(std::string(kChangePrefix));
  if (!rows.ok()) {
    base::Log(kTableUnavailable, base::MessageOf(rows.status()));
    co_return;
  }
  for (const auto& it : *rows) {
    const auto partition = PartitionOfChangeKey(it.mKey);
    const auto known =
      partition ? mPartitions.find(*partition) : mPartitions.end();
    if (known == mPartitions.end()) {
      continue;
    }
    if (known->second.mSeenChangeVersion != it.mVersion) {
      known->second.mSeenChangeVersion = it.mVersion;
      known->second.mIsStale = true;
    }
  }
  // A partition without a change row has never contained a block.
  for (auto& [partition, it] : mPartitions) {
    if (it.mSeenChangeVersion == 0) {
      it.mIsStale = false;
    }
  }
}

auto Dispatcher::ReloadStale() -> net::Task<void>
{
  std::vector<std::uint32_t> stale;
  for (const auto& [partition, it] : mPartitions) {
    if (it.mIsStale && it.mSeenChangeVersion != 0) {
      stale.push_back(partition);
    }
  }
  for (const auto partition : stale) {
    if (!co_await LoadPartition(partition)) {
      co_return;
    }
  }
}

auto Dispatcher::LoadPartition(std::uint32_t aPartition) -> net::Task<bool>
{
  const auto readAt = base::MonotonicClock::now();
  const auto blocks = co_await mTable.ScanAll(BlockPrefix(aPartition));
  const auto cancels = co_await mTable.ScanAll(CancelPrefix(aPartition));
  const auto grows = co_await mTable.ScanAll(GrowPrefix(aPartition));
  if (!blocks.ok() || !cancels.ok() || !grows.ok()) {
    co_return false;
  }
  auto& state = mPartitions[aPartition];
  const auto toRequests = [](const std::vector<platform::TableRow>& aRows) {
    std::vector<PartitionRequest> out;
    out.reserve(aRows.size());
    for (const auto& it : aRows) {
      out.push_back(
        { it.mKey.substr(it.mKey.rfind('/') + 1), it.mVersion, it.mValue });
    }
    return out;
  };
  state.mCancelRequests = toRequests(*cancels);
  state.mGrowRequests = toRequests(*grows);
  CacheBlocks(aPartition, *blocks, readAt);
  state.mIsStale = false;
  co_return true;
}

auto Dispatcher::CacheBlocks(std::uint32_t aPartition,
                             const std::vector<platform::TableRow>& aRows,
                             base::MonotonicTime aReadAt) -> void
{
  std::erase_if(mBlocks, [&](const auto& aBlock) {
    return aBlock.second.mPartition == aPartition;
  });
  for (const auto& it : aRows) {
    auto block = DecodeBlock(it.mValue);
    if (!block.ok()) {
      base::Log(kMalformedRow, it.mKey);
      continue;
    }
    mBlocks[it.mKey] = {
      *std::move(block), it.mVersion, aPartition, aReadAt, false
    };
  }
}

auto Dispatcher::FetchRemoteReports() -> net::Task<void>
{
  const auto now = base::MonotonicClock::now();
  if (now < mNextRemoteReports) {
    co_return;
  }
  mNextRemoteReports = now + mOptions.mCheckInterval;
  std::set<std::string> wanted;
  for (const auto& [key, block] : mBlocks) {
    for (const auto& it : block.mBlock.mTasks) {
      if (it.mState == TaskState::Running && !mMonitor.Find(it.mWorker)) {
        wanted.insert(it.mWorker);
      }
    }
  }
  std::erase_if(mRemoteReports, [&](const auto& aReport) {
    return !wanted.contains(aReport.first);
  });
  const auto view = mDependencies.mOwnership.View();
  for (const auto& it : wanted) {
    const auto* assignment = view->FindAssignment(it);
    if (assignment == nullptr) {
      continue;
    }
    const auto askedAt = base::MonotonicClock::now();
    auto report = co_await mDependencies.mWorker.Report(
      assignment->mWorker.mControl, askedAt + mOptions.mRemoteCallTimeout);
    if (report.ok()) {
      mRemoteReports[it] = MakeTimedReport(*std::move(report), askedAt);
    }
  }
}

auto Dispatcher::ReportOf(const std::string& aWorker) const
  -> const TimedReport*
{
  if (const auto held = mMonitor.Find(aWorker)) {
    return held->mReport ? &*held->mReport : nullptr;
  }
  const auto it = mRemoteReports.find(aWorker);
  return it == mRemoteReports.end() ? nullptr : &it->second;
}

auto Dispatcher::TrackMissingWorkers() -> void
{
  const auto view = mDependencies.mOwnership.View();
  const auto now = base::MonotonicClock::now();
  std::map<std::string, base::MonotonicTime> missing;
  for (const auto& [key, block] : mBlocks) {
    for (const auto& it : block.mBlock.mTasks) {
      if (it.mState != TaskState::Running || view->mAssignments.empty() ||
          view->FindAssignment(it.mWorker) != nullptr) {
        continue;
      }
      const auto known = mMissingSince.find(it.mWorker);
      missing[it.mWorker] = known == mMissingSince.end() ? now : known->second;
    }
  }
  mMissingSince = std::move(missing);
}

auto Dispatcher::IsRemoved(const std::string& aWorker) const -> bool
{
  const auto it = mMissingSince.find(aWorker);
  return it != mMissingSince.end() &&
         base::MonotonicClock::now() - it->second >= mOptions.mRemovedAfter;
}

auto Dispatcher::ApplyReports() -> void
{
  for (auto& [key, block] : mBlocks) {
    if (mPartitions[block.mPartition].mIsStale) {
      continue;
    }
    for (std::size_t i = 0; i < block.mBlock.mTasks.size(); ++i) {
      if (block.mBlock.mTasks[i].mState == TaskState::Running) {
        ApplyReport(block, i);
      }
    }
  }
}

auto Dispatcher::ApplyReport(CachedBlock& aBlock, std::size_t aSlot) -> void
{
  auto& task = aBlock.mBlock.mTasks[aSlot];
  const auto index =
    aBlock.mBlock.mIndex * kTasksPerBlock + static_cast<std::int64_t>(aSlot);
  const auto key =
    AttemptKey{ TaskName(aBlock.mBlock.mSpec.mId, index), task.mAttempt };
  const auto worker = task.mWorker;
  if (IsRemoved(worker)) {
    base::Log(kWorkerRemoved, base::Cat(worker, ", task ", key.mTask));
    aBlock.mIsDirty =
      ApplyOutcome(task, AttemptOutcome::Interrupted, nullptr) ||
      aBlock.mIsDirty;
    return;
  }
  const auto* report = ReportOf(worker);
  if (report == nullptr) {
    return;
  }
  const auto* found = report->Find(key);
  // That an attempt is missing is conclusive only in a report that was
  // requested after its row was read.
  if (found == nullptr && report->mAskedAt < aBlock.mReadAt) {
    return;
  }
  const auto outcome = ClassifyAttempt(task, report->mReport, found);
  if (!ApplyOutcome(task, outcome, found)) {
    return;
  }
  aBlock.mIsDirty = true;
  mPlannedEnds.push_back({ worker, key, false });
  if (task.mState == TaskState::Parked) {
    base::Log(kTaskParked, base::Cat(key.mTask, ": ", task.mReason));
  }
}

} // namespace eelgrasspost::batch
