#include "workermonitor.h"

#include <boost/asio/this_coro.hpp>

#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/platform/platformerrors.h"

namespace eelgrasspost::batch {

namespace {

using platform::AttemptState;

auto ToRef(const AttemptKey& aKey) -> platform::AttemptRef
{
  return { aKey.mTask, aKey.mAttempt };
}

} // namespace

auto Subtract(platform::Resources aLeft, const platform::Resources& aRight)
  -> platform::Resources
{
  aLeft.mCpuMillis -= aRight.mCpuMillis;
  aLeft.mMemoryMb -= aRight.mMemoryMb;
  aLeft.mAccelerators -= aRight.mAccelerators;
  return aLeft;
}

auto TimedReport::Find(const AttemptKey& aKey) const
  -> const platform::AttemptReport*
{
  const auto it = mIndexOf.find(aKey);
  return it == mIndexOf.end() ? nullptr : &mReport.mAttempts[it->second];
}

auto MakeTimedReport(platform::WorkerReport aReport,
                     base::MonotonicTime aRequestedAt) -> TimedReport
{
  TimedReport out;
  out.mReport = std::move(aReport);
  out.mRequestedAt = aRequestedAt;
  for (std::size_t i = 0; i < out.mReport.mAttempts.size(); ++i) {
    const auto& it = out.mReport.mAttempts[i];
    out.mIndexOf[{ it.mTask, it.mAttempt }] = i;
  }
  return out;
}

auto FreeCapacity(const HeldWorker& aWorker,
                  const platform::Resources& aReservedForServices)
  -> platform::Resources
{
  if (!aWorker.mReport || aWorker.mReport->mReport.mLeaving) {
    return {};
  }
  auto out = Subtract(aWorker.mLease->mWorker.mResources, aReservedForServices);
  for (const auto& it : aWorker.mReport->mReport.mAttempts) {
    if (it.mState == AttemptState::Running) {
      out = Subtract(out, it.mResources);
    }
  }
  for (const auto& [key, it] : aWorker.mStarting) {
    if (aWorker.mReport->Find(key) == nullptr) {
      out = Subtract(out, it.mCommand.mResources);
    }
  }
  return out;
}

WorkerMonitor::WorkerMonitor(BatchDependencies aDependencies,
                             BatchOptions aOptions,
                             BatchTable& aTable)
  : mDependencies(aDependencies)
  , mOptions(aOptions)
  , mTable(aTable)
{
}

auto WorkerMonitor::SetIsCurrentAttempt(AttemptPredicate aIsCurrentAttempt)
  -> void
{
  mIsCurrentAttempt = std::move(aIsCurrentAttempt);
}

auto WorkerMonitor::Refresh() -> void
{
  const auto view = mDependencies.mOwnership.View();
  std::map<std::string, HeldWorkerPtr> next;
  for (const auto& it : view->mLeases) {
    const auto known = Find(it->mWorker.mId);
    if (known && known->mLease == it) {
      next[it->mWorker.mId] = known;
      continue;
    }
    auto worker = std::make_shared<HeldWorker>();
    worker->mLease = it;
    next[it->mWorker.mId] = std::move(worker);
  }
  mWorkers = std::move(next);
}

auto WorkerMonitor::Find(const std::string& aWorker) const -> HeldWorkerPtr
{
  const auto it = mWorkers.find(aWorker);
  return it == mWorkers.end() ? nullptr : it->second;
}

auto WorkerMonitor::Reserve(const HeldWorkerPtr& aWorker,
                            platform::StartCommand aCommand,
                            platform::FencingToken aToken,
                            std::uint64_t aExpectedVersion) -> void
{
  const auto key = AttemptKey{ aCommand.mTask, aCommand.mAttempt };
  StartingAttempt start;
  start.mCommand = std::move(aCommand);
  start.mToken = std::move(aToken);
  start.mReservedAt = base::MonotonicClock::now();
  start.mExpectedVersion = aExpectedVersion;
  aWorker->mStarting[key] = std::move(start);
}

auto WorkerMonitor::Confirm(const HeldWorkerPtr& aWorker,
                            const AttemptKey& aKey) -> void
{
  const auto it = aWorker->mStarting.find(aKey);
  if (it != aWorker->mStarting.end() &&
      it->second.mPhase == StartPhase::Reserved) {
    it->second.mPhase = StartPhase::Written;
  }
}

auto WorkerMonitor::Release(const HeldWorkerPtr& aWorker,
                            const AttemptKey& aKey) -> void
{
  const auto it = aWorker->mStarting.find(aKey);
  if (it != aWorker->mStarting.end() &&
      it->second.mPhase == StartPhase::Reserved) {
    aWorker->mStarting.erase(it);
  }
}

auto WorkerMonitor::Stop(const HeldWorkerPtr& aWorker,
                         const AttemptKey& aKey,
                         bool aCheckpoint) -> void
{
  aWorker->mToStop[aKey] = aCheckpoint;
}

auto WorkerMonitor::Forget(const HeldWorkerPtr& aWorker, const AttemptKey& aKey)
  -> void
{
  if (!aWorker->mRetained.contains(aKey)) {
    aWorker->mToForget.insert(aKey);
  }
}

auto WorkerMonitor::SendStartsNow(const HeldWorkerPtr& aWorker) -> void
{
  net::SpawnTask(mExecutor, SendStarts(aWorker));
}

auto WorkerMonitor::CallDeadline() const -> base::MonotonicTime
{
  return base::MonotonicClock::now() + mOptions.mCallTimeout;
}

auto WorkerMonitor::Run() -> net::Task<void>
{
  mExecutor = co_await net::asio::this_coro::executor;
  while (true) {
    Refresh();
    for (const auto& [name, it] : mWorkers) {
      if (!it->mIsBusy) {
        it->mIsBusy = true;
        net::SpawnTask(mExecutor, CheckWorker(it));
      }
    }
    co_await net::Sleep(mOptions.mCheckInterval);
  }
}

auto WorkerMonitor::CheckWorker(HeldWorkerPtr aWorker) -> net::Task<void>
{
  const auto isReported = co_await FetchReport(aWorker);
  if (isReported) {
    co_await Renew(aWorker);
    co_await SendStarts(aWorker);
    co_await SendStops(aWorker);
    co_await SendForgets(aWorker);
  }
  aWorker->mIsBusy = false;
}

auto WorkerMonitor::FetchReport(HeldWorkerPtr aWorker) -> net::Task<bool>
{
  const auto requestedAt = base::MonotonicClock::now();
  const auto& lease = *aWorker->mLease;
  auto report = co_await mDependencies.mWorker.Claim(
    lease.mWorker.mControl, lease.Token(), requestedAt + mOptions.mCallTimeout);
  if (!report.ok() || report->mIncarnation != lease.mIncarnation) {
    co_return false;
  }
  aWorker->mReport = MakeTimedReport(*std::move(report), requestedAt);
  RemoveResolvedStarts(*aWorker);
  co_return true;
}

auto WorkerMonitor::RemoveResolvedStarts(HeldWorker& aWorker) -> void
{
  const auto& report = *aWorker.mReport;
  const auto& highest = report.mReport.mHighestToken;
  std::erase_if(aWorker.mStarting, [&](const auto& aStart) {
    const auto& start = aStart.second;
    const auto isReported = report.Find(aStart.first) != nullptr;
    if (isReported && start.mMayArriveLate) {
      aWorker.mRetained[aStart.first] = start.mToken;
    }
    // The worker rejects starts under a token lower than its highest.
    const auto isFenced =
      start.mPhase != StartPhase::Reserved && highest > start.mToken;
    return isReported || isFenced;
  });
  std::erase_if(aWorker.mRetained, [&](const auto& aRetained) {
    return highest > aRetained.second;
  });
}

auto WorkerMonitor::SendStarts(HeldWorkerPtr aWorker) -> net::Task<void>
{
  const auto& lease = *aWorker->mLease;
  if (!ownership::IsUsable(lease, base::MonotonicClock::now())) {
    co_return;
  }
  const auto token = lease.Token();
  std::vector<platform::StartCommand> commands;
  std::vector<AttemptKey> keys;
  for (auto& [key, it] : aWorker->mStarting) {
    if (it.mPhase == StartPhase::Written && it.mToken == token &&
        !it.mIsSending) {
      it.mIsSending = true;
      commands.push_back(it.mCommand);
      keys.push_back(key);
    }
  }
  if (commands.empty()) {
    co_return;
  }
  const auto status = co_await mDependencies.mWorker.Start(
    lease.mWorker.mControl, token, std::move(commands), CallDeadline());
  const auto mayArrive = base::IsKind(status, platform::kNoResponse) ||
                         base::IsKind(status, platform::kMalformedResponse);
  for (const auto& key : keys) {
    if (mayArrive && aWorker->mReport &&
        aWorker->mReport->Find(key) != nullptr) {
      aWorker->mRetained[key] = token;
    }
    const auto it = aWorker->mStarting.find(key);
    if (it == aWorker->mStarting.end()) {
      continue;
    }
    it->second.mIsSending = false;
    it->second.mMayArriveLate = it->second.mMayArriveLate || mayArrive;
    if (status.ok()) {
      it->second.mPhase = StartPhase::Acknowledged;
    }
  }
}

auto WorkerMonitor::Renew(HeldWorkerPtr aWorker) -> net::Task<void>
{
  std::vector<platform::AttemptRef> attempts;
  for (const auto& it : aWorker->mReport->mReport.mAttempts) {
    if (it.mState == AttemptState::Running) {
      attempts.push_back({ it.mTask, it.mAttempt });
    }
  }
  if (attempts.empty()) {
    co_return;
  }
  const auto& lease = *aWorker->mLease;
  (void)co_await mDependencies.mWorker.Renew(lease.mWorker.mControl,
                                             lease.Token(),
                                             std::move(attempts),
                                             mOptions.mAttemptLease,
                                             CallDeadline());
}

auto WorkerMonitor::SendStops(HeldWorkerPtr aWorker) -> net::Task<void>
{
  std::erase_if(aWorker->mToStop, [&](const auto& aStop) {
    const auto* found = aWorker->mReport->Find(aStop.first);
    return !aWorker->mStarting.contains(aStop.first) &&
           (found == nullptr || found->mState != AttemptState::Running);
  });
  co_await SendStopsOf(aWorker, false);
  co_await SendStopsOf(aWorker, true);
}

auto WorkerMonitor::SendStopsOf(HeldWorkerPtr aWorker, bool aCheckpoint)
  -> net::Task<void>
{
  std::vector<platform::AttemptRef> attempts;
  for (const auto& [key, wanted] : aWorker->mToStop) {
    if (wanted == aCheckpoint) {
      attempts.push_back(ToRef(key));
    }
  }
  if (attempts.empty()) {
    co_return;
  }
  const auto& lease = *aWorker->mLease;
  (void)co_await mDependencies.mWorker.Stop(lease.mWorker.mControl,
                                            lease.Token(),
                                            std::move(attempts),
                                            aCheckpoint,
                                            CallDeadline());
}

auto WorkerMonitor::SendForgets(HeldWorkerPtr aWorker) -> net::Task<void>
{
  std::vector<platform::AttemptRef> attempts;
  std::erase_if(aWorker->mToForget, [&](const AttemptKey& aKey) {
    const auto* found = aWorker->mReport->Find(aKey);
    if (found != nullptr && found->mState != AttemptState::Running) {
      attempts.push_back(ToRef(aKey));
    }
    return found == nullptr;
  });
  if (attempts.empty()) {
    co_return;
  }
  const auto& lease = *aWorker->mLease;
  (void)co_await mDependencies.mWorker.Forget(
    lease.mWorker.mControl, lease.Token(), std::move(attempts), CallDeadline());
}

} // namespace eelgrasspost::batch
