#include "dispatchentry.h"

#include "controlkeys.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "holdertimes.h"
#include "rangepages.h"

namespace eelgrasspost::dispatch {

namespace {

/** Whether the holder of the worker's cell must be told of a new row. Most rows
 * are heartbeats that change nothing by which it decides. */
auto HasChanged(const cell::WorkerRecord& aKnown,
                const cell::WorkerRecord& aListed) -> bool
{
  return aKnown.mState != aListed.mState ||
         aKnown.mIncarnationStartMs != aListed.mIncarnationStartMs ||
         aKnown.mAddress != aListed.mAddress ||
         aKnown.mService != aListed.mService ||
         aKnown.mCapacity != aListed.mCapacity ||
         aKnown.mLabels != aListed.mLabels;
}

} // namespace

auto DispatchEntry::WatchConfiguration() -> net::Task<void>
{
  const auto onRow = [this](const StoreRow& aRow) {
    if (const auto domain = mPlatform.mFormats.DecodeEvacuation(aRow.mKey)) {
      OnEvacuationRequested(*domain, aRow.mVersion);
      return;
    }
    if (aRow.mKey != mPlatform.mFormats.ConfigurationKey()) {
      return;
    }
    auto decoded = mPlatform.mFormats.DecodeConfiguration(aRow.mValue);
    const auto isNewer =
      decoded.ok() &&
      (!mConfiguration || decoded->mVersion > mConfiguration->mVersion);
    if (isNewer) {
      mConfiguration =
        std::make_shared<const Configuration>(*std::move(decoded));
      mLog.Record(
        kConfigurationApplied,
        { { "version", static_cast<std::int64_t>(mConfiguration->mVersion) },
          { "queues",
            static_cast<std::int64_t>(mConfiguration->mQueues.size()) } });
    }
  };
  const auto onRemoved = [this](const std::string& aKey,
                                std::uint64_t aVersion) {
    if (const auto domain = mPlatform.mFormats.DecodeEvacuation(aKey)) {
      OnEvacuationRemoved(*domain, aVersion);
    }
  };
  co_await mConfigurationWatch.Run(
    onRow, onRemoved, [this] { OnEvacuationsRead(); });
}

auto DispatchEntry::OnControlRow(const StoreRow& aRow) -> void
{
  if (aRow.mKey.starts_with(kEntryPrefix)) {
    OnEntryRow(aRow);
  } else if (aRow.mKey.starts_with("layout/")) {
    if (auto row = net::Decode<LayoutRow>(aRow.mValue); row.ok()) {
      mLayouts[row->mDomain] = *row;
    }
  } else if (aRow.mKey.starts_with(kTransferPrefix)) {
    if (auto row = net::Decode<WorkerTransferRow>(aRow.mValue); row.ok()) {
      OnWorkerTransferRow(*row, aRow.mVersion);
    }
  } else if (aRow.mKey.starts_with(kCellPrefix)) {
    if (auto row = net::Decode<CellRow>(aRow.mValue); row.ok()) {
      OnCellRow(*row, aRow.mVersion);
    }
  }
}

auto DispatchEntry::OnCellRow(const CellRow& aRow, std::uint64_t aVersion)
  -> void
{
  auto& known = mCells[aRow.mName];
  if (aVersion <= known.mVersion) {
    return;
  }
  const auto now = base::BootNow();
  const auto isHolderGone = IsHolderGone(known.mRow);
  const auto isPreviousHolderGone =
    isHolderGone && now >= known.mEarlierHoldersActUntil;
  const auto until = EarlierHoldersActUntil(
    aRow, isHolderGone, known.mEarlierHoldersActUntil, now);
  NoteEarlierClaim(known, aRow, now);
  LogCellChange(known, aRow, isHolderGone);
  known.mRow = aRow;
  known.mPreviousVersion = known.mVersion;
  known.mVersion = aVersion;
  known.mReadAt = now;
  known.mEarlierHoldersActUntil = until;
  mCellsInAdoption.erase(aRow.mName);
  const auto isMine =
    aRow.mHolder == mSettings.mName && aRow.mHolderIncarnation == mIncarnation;
  const auto holder = FindHolder(aRow.mName);
  if (holder && holder->RowVersion() < aVersion) {
    mLog.Record(kCellLost,
                { { "cell", aRow.mName },
                  { "holder", aRow.mHolder },
                  { "term", static_cast<std::int64_t>(aRow.mTerm) } });
    holder->End();
    NoteOwnClaimEnd(*holder);
    mHolders.erase(aRow.mName);
  }
  if (isMine && !FindHolder(aRow.mName)) {
    net::SpawnTask(mPool.Executor(0),
                   AdoptCell(aRow, aVersion, isPreviousHolderGone));
  }
}

auto DispatchEntry::WatchControl() -> net::Task<void>
{
  const auto onAnswer = [this] {
    for (const auto& [name, it] : mHolders) {
      it->ConfirmClaim(mControlWatch.ConfirmedAt());
    }
  };
  co_await mControlWatch.Run(
    [this](const StoreRow& aRow) { OnControlRow(aRow); },
    [this](const std::string& aKey, std::uint64_t) {
      if (aKey == EntryKey(mSettings.mName)) {
        net::SpawnTask(mPool.Executor(0), KeepEntryRow());
      } else if (aKey.starts_with(kEntryPrefix)) {
        mPeers.Remove(aKey.substr(kEntryPrefix.size()));
      }
    },
    onAnswer);
}

auto DispatchEntry::CellOf(const cell::WorkerRecord& aRecord) const
  -> std::optional<std::string>
{
  if (const auto transfer = mWorkerTransfers.find(aRecord.mId);
      transfer != mWorkerTransfers.end()) {
    return transfer->second.mCell;
  }
  const auto it = mLayouts.find(aRecord.mDomain);
  if (it == mLayouts.end()) {
    return std::nullopt;
  }
  return CellOfWorker(aRecord.mId, it->second);
}

auto DispatchEntry::OnWorkerRow(const StoreRow& aRow) -> void
{
  auto record = mPlatform.mFormats.DecodeWorker(aRow.mKey, aRow.mValue);
  if (!record.ok()) {
    // What is known of the worker holds until it writes its row again.
    mLog.Record(
      kWorkerRowIgnored,
      { { "worker", aRow.mKey },
        { "reason", std::string(base::MessageOf(record.status())) } });
    return;
  }
  auto& known = mWorkers[aRow.mKey];
  const auto isNew = known.mId.empty();
  if (isNew) {
    mWorkersChangedAt = base::MonotonicClock::now();
  }
  ApplyHeard(mDrainNotices, *record, aRow.mVersion);
  const auto isChanged = isNew || HasChanged(known, *record);
  const auto beginsToDrain = known.mState == cell::WorkerState::Ready &&
                             record->mState == cell::WorkerState::Draining;
  known = *std::move(record);
  if (!isChanged) {
    return;
  }
  const auto name = CellOf(known);
  const auto holder = name ? FindHolder(*name) : nullptr;
  if (holder) {
    holder->UpdateWorker(known);
  } else if (beginsToDrain) {
    NoteDraining(
      mDrainNotices, known, aRow.mVersion, base::MonotonicClock::now());
  }
}

auto DispatchEntry::OnDrainNotices(const Heartbeat& aHeartbeat) -> void
{
  if (mHolders.empty()) {
    return;
  }
  for (const auto& it : aHeartbeat.mDraining) {
    const auto known = mWorkers.find(it.mWorker);
    const auto isNews =
      known != mWorkers.end() &&
      HearNotice(mDrainNotices, it, known->second, mWorkerWatch.KnownVersion());
    if (!isNews) {
      continue;
    }
    known->second.mState = cell::WorkerState::Draining;
    const auto name = CellOf(known->second);
    if (const auto holder = name ? FindHolder(*name) : nullptr) {
      holder->UpdateWorker(known->second);
      const auto confirmed = std::chrono::duration_cast<Milliseconds>(
        base::BootNow() - mWorkerWatch.ConfirmedAt());
      mLog.Record(kDrainHeard,
                  { { "cell", *name },
                    { "worker", it.mWorker },
                    { "peer", aHeartbeat.mName },
                    { "version", static_cast<std::int64_t>(it.mVersion) },
                    { "read_version",
                      static_cast<std::int64_t>(mWorkerWatch.KnownVersion()) },
                    { "confirmed_ms", confirmed.count() } });
    }
  }
}

auto DispatchEntry::GetWorkerListState() const -> cell::WorkerListState
{
  const auto now = base::BootNow();
  const auto since = [&](base::BootTime aTime) {
    return std::chrono::duration_cast<Milliseconds>(now - aTime);
  };
  // A worker executes a start within the timeout of the order.
  const auto maxAge = Milliseconds(mSettings.mCapacityMs) - kOrderTimeout;
  return cell::ClassifyWorkerList(
    { since(mWorkerWatch.ConfirmedAt()), since(mWorkerWatch.FailedAt()) },
    maxAge,
    kWorkerFeedWait + kStoreTimeout + kRetryInterval * 2);
}

auto DispatchEntry::WatchWorkers() -> net::Task<void>
{
  co_await mWorkerWatch.Run([this](const StoreRow& aRow) { OnWorkerRow(aRow); },
                            [this](const std::string& aKey, std::uint64_t) {
                              mWorkers.erase(aKey);
                              ForgetWorker(mDrainNotices, aKey);
                              for (const auto& [name, it] : mHolders) {
                                it->UnlistWorker(aKey);
                              }
                            },
                            [] {});
}

/** Reads all transfers of workers. */
auto DispatchEntry::ReadTransfers() -> net::Task<bool>
{
  RangeQuery query;
  query.mTable = std::string(kControlTable);
  query.mFrom = std::string(kTransferPrefix);
  query.mBefore = query.mFrom;
  ++query.mBefore.back();
  for (auto hasMore = true; hasMore;) {
    const auto reply = co_await mStore.ReadRange(
      query, base::MonotonicClock::now() + kStoreTimeout);
    if (reply.mOutcome != StoreOutcome::Done) {
      co_return false;
    }
    for (const auto& it : reply.mRows) {
      OnControlRow(it);
    }
    hasMore = ContinueAfter(query, reply);
  }
  co_return true;
}

auto DispatchEntry::OnWorkerTransferRow(const WorkerTransferRow& aRow,
                                        std::uint64_t aVersion) -> void
{
  auto& transfer = mWorkerTransfers[aRow.mWorker];
  if (aVersion <= transfer.mVersion) {
    return;
  }
  transfer = { aRow.mCell, aVersion };
  mLog.Record(kTransferRead,
              { { "worker", aRow.mWorker },
                { "cell", aRow.mCell },
                { "version", static_cast<std::int64_t>(aVersion) } });
  const auto holder = FindHolder(aRow.mCell);
  const auto worker = mWorkers.find(aRow.mWorker);
  if (holder) {
    holder->RaiseMinToken(aRow.mWorker, aVersion);
    if (worker != mWorkers.end()) {
      holder->UpdateWorker(worker->second);
    }
  }
}

} // namespace eelgrasspost::dispatch
