#include "dispatchentry.h"

#include <algorithm>

#include "controlkeys.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

namespace {

constexpr auto kManageInterval = Milliseconds(150);
/** The cells of a new domain are created once its list of workers has not grown
 * for this time. */
constexpr auto kLayoutDelay = Milliseconds(500);

} // namespace

auto DispatchEntry::IsHolderGone(const CellRow& aRow) const -> bool
{
  if (aRow.mHolder.empty()) {
    return true;
  }
  if (aRow.mHolder == mSettings.mName) {
    return aRow.mHolderIncarnation != mIncarnation;
  }
  const auto* peer = mPeers.Find(aRow.mHolder);
  return peer && HasEnded(peer->mIdentity, aRow.mHolderIncarnation);
}

auto DispatchEntry::MakeClaimView(MonotonicTime aNow) const -> ClaimView
{
  ClaimView out;
  out.mMyName = mSettings.mName;
  out.mMyIncarnation = mIncarnation;
  out.mSinceStart = std::chrono::duration_cast<Milliseconds>(aNow - mStartedAt);
  out.mLive.push_back({ mSettings.mName,
                        mIncarnation,
                        mSettings.mDomain,
                        mIsLeaving,
                        mHolders.size(),
                        mSettings.mCpuShare });
  for (const auto& [name, it] : mPeers.All()) {
    if (it.mLastHeartbeatAt != MonotonicTime{}) {
      const auto sinceHeartbeat =
        std::chrono::duration_cast<Milliseconds>(aNow - it.mLastHeartbeatAt);
      const auto [slot, isNew] =
        out.mSinceLastHeartbeat.emplace(it.mRow.mDomain, sinceHeartbeat);
      slot->second = std::min(slot->second, sinceHeartbeat);
    }
    if (mPeers.IsAlive(it, aNow)) {
      out.mLive.push_back({ name,
                            PresentIncarnation(it.mIdentity),
                            it.mRow.mDomain,
                            it.mLastHeartbeat.mIsLeaving,
                            it.mLastHeartbeat.mCells.size(),
                            it.mRow.mCpuShare });
    } else if (it.mLastHeartbeatAt == MonotonicTime{} &&
               it.mRow.mDomain == mSettings.mDomain &&
               it.mRow.mCpuShare > mSettings.mCpuShare) {
      out.mAwaitsLargerEntry = true;
    }
  }
  const auto bootNow = base::BootNow();
  for (const auto& [name, it] : mCells) {
    out.mCells.push_back(it.mRow);
    out.mSinceRead[name] =
      std::chrono::duration_cast<Milliseconds>(bootNow - it.mReadAt);
  }
  out.mUnheldClaimDelay = MaxLocalDuration(LeaseTime(mSettings)) + kLeaseMargin;
  for (const auto& [name, since] : mUnheldSince) {
    out.mSinceHolderEnded[name] =
      std::chrono::duration_cast<Milliseconds>(aNow - since);
  }
  return out;
}

auto DispatchEntry::FindUnheldCells(MonotonicTime aNow) -> void
{
  for (const auto& [name, it] : mCells) {
    const auto isUnheld =
      it.mRow.mHolder == mSettings.mName &&
      it.mRow.mHolderIncarnation == mIncarnation && !FindHolder(name) &&
      !mCellsInTransition.contains(name) && !mCellsInAdoption.contains(name);
    if (isUnheld) {
      mUnheldSince.emplace(name, aNow);
    } else {
      mUnheldSince.erase(name);
    }
  }
}

auto DispatchEntry::ManageCells() -> net::Task<void>
{
  while (true) {
    co_await net::Sleep(kManageInterval);
    const auto now = base::MonotonicClock::now();
    if (!mControlWatch.IsLoaded()) {
      continue;
    }
    for (const auto& [name, it] : mHolders) {
      if (it->Phase() == HolderPhase::Ended) {
        NoteOwnClaimEnd(*it);
      } else {
        BoundEarlierHolders(*it);
      }
    }
    std::erase_if(mHolders, [](const auto& aItem) {
      return aItem.second->Phase() == HolderPhase::Ended;
    });
    RemoveOldClaimEnds(base::BootNow());
    FindUnheldCells(now);
    const auto view = MakeClaimView(now);
    // A holder must not start anything before it knows what is evacuated.
    const auto mayClaim =
      !mIsLeaving && mIncarnation > 0 &&
      (!FollowsEvacuations() || mConfigurationWatch.IsLoaded());
    const auto claims =
      mayClaim ? CellsToClaim(view) : std::vector<std::string>();
    const auto mustCreateLayout =
      !mLayouts.contains(mSettings.mDomain) && IsFirstClaimant(view);
    // A cell that is claimed and not taken over yet needs the list as well.
    mWorkerWatch.SetActive(!mHolders.empty() || !claims.empty() ||
                           !mCellsInTransition.empty() ||
                           !mCellsInAdoption.empty() || mustCreateLayout);
    if (mWorkerWatch.IsLoaded()) {
      ManageLayouts(view, now);
      for (const auto& it : claims) {
        if (mCellsInTransition.insert(it).second) {
          net::SpawnTask(mPool.Executor(0), ClaimCell(it));
        }
      }
    }
    if (mIsLeaving) {
      // A claim may have succeeded since the stop signal.
      ReleaseAllCells();
    }
    for (const auto& it : CellsToRelease(view)) {
      if (mCellsInTransition.insert(it).second) {
        net::SpawnTask(mPool.Executor(0), ReleaseCell(it));
      }
    }
  }
}

auto DispatchEntry::ManageLayouts(const ClaimView& aView, MonotonicTime aNow)
  -> void
{
  if (aNow - mWorkersChangedAt < kLayoutDelay) {
    return;
  }
  std::map<std::string, std::size_t> counts;
  for (const auto& [id, it] : mWorkers) {
    ++counts[it.mDomain];
  }
  for (const auto& [domain, n] : counts) {
    if (!mLayouts.contains(domain) &&
        mLayoutsInCreation.insert(domain).second) {
      const auto cpuShare = LargestCpuShare(aView, domain);
      const auto cells = CellCountFor(n, cpuShare);
      mLog.Record(kLayoutCreated,
                  { { "domain", domain },
                    { "workers", static_cast<std::int64_t>(n) },
                    { "cpu_share", cpuShare },
                    { "cells", static_cast<std::int64_t>(cells) } });
      net::SpawnTask(mPool.Executor(0), CreateLayout(domain, cells));
    }
  }
}

auto DispatchEntry::CreateLayout(std::string aDomain, std::uint32_t aCells)
  -> net::Task<void>
{
  StoreTransaction transaction;
  const auto add = [&](std::string aKey, std::string aValue) {
    const auto key = RowKey{ std::string(kControlTable), std::move(aKey) };
    transaction.mExpected.push_back({ key, 0 });
    transaction.mWrites.push_back({ key, std::move(aValue) });
  };
  add("layout/" + aDomain, net::Encode(LayoutRow{ aDomain, aCells }));
  for (std::uint32_t i = 0; i < aCells; ++i) {
    CellRow row;
    row.mName = base::Cat(aDomain, "/", i);
    row.mDomain = aDomain;
    add(CellKey(row.mName), net::Encode(row));
  }
  co_await mStore.Commit(std::move(transaction),
                         base::MonotonicClock::now() + kStoreTimeout);
  // Whichever entry was first, the feed delivers the layout.
  co_await net::Sleep(kRetryInterval);
  mLayoutsInCreation.erase(aDomain);
}

auto DispatchEntry::ClaimCell(std::string aCell) -> net::Task<void>
{
  const auto known = mCells.at(aCell);
  auto row = known.mRow;
  row.mHolder = mSettings.mName;
  row.mHolderIncarnation = mIncarnation;
  ++row.mTerm;
  StoreTransaction transaction;
  const auto key = RowKey{ std::string(kControlTable), CellKey(aCell) };
  transaction.mExpected.push_back({ key, known.mVersion });
  transaction.mWrites.push_back({ key, net::Encode(row) });
  const auto reply = co_await mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  if (reply.mOutcome == StoreOutcome::Done) {
    OnCellRow(row, reply.mVersion);
  } else if (reply.mOutcome != StoreOutcome::Conflict) {
    co_await net::Sleep(kRetryInterval);
  }
  mCellsInTransition.erase(aCell);
}

/** Starts the holder of a claimed cell. The entry may not have read yet which
 * workers left the cell before the claim; later transfers fail unless this
 * holder makes them. */
auto DispatchEntry::AdoptCell(CellRow aRow,
                              std::uint64_t aVersion,
                              bool aIsPreviousHolderGone) -> net::Task<void>
{
  const auto claimedAt = base::BootNow();
  const auto isCurrent = [&] {
    return mCells.at(aRow.mName).mVersion == aVersion;
  };
  mCellsInAdoption.insert(aRow.mName);
  while (isCurrent()) {
    const auto isRead = co_await ReadTransfers();
    if (isRead) {
      break;
    }
    co_await net::Sleep(kRetryInterval);
  }
  if (!isCurrent()) {
    co_return;
  }
  mCellsInAdoption.erase(aRow.mName);
  if (!FindHolder(aRow.mName)) {
    StartHolder(aRow, aVersion, claimedAt, aIsPreviousHolderGone);
  }
}

auto DispatchEntry::StartHolder(const CellRow& aRow,
                                std::uint64_t aVersion,
                                base::BootTime aClaimedAt,
                                bool aIsPreviousHolderGone) -> void
{
  const auto cell = aRow.mName;
  auto context = HolderContext{
    mSettings,
    mStore,
    mPlatform.mWorkers,
    mMetrics,
    mLog,
    mPool.Executor(0),
    mIncarnation,
    mPartitions,
    [this, cell](const cell::MigratableJob& aJob) {
      return FindCellWithCapacity(cell, aJob);
    },
    [this, cell](const cell::MigratableJob& aJob) {
      return FindEmptierCell(cell, aJob);
    },
    [this](JobCommand aCommand) { return Execute(std::move(aCommand)); },
    [this, cell](const HostQuery& aQuery) {
      return FindHostCell(cell, aQuery);
    },
    [this, domain = aRow.mDomain] { return FindTransferSources(domain); }
  };
  if (mSettings.mHasOverflow) {
    context.mPlanOverflow = [this, cell](const auto& aCandidates,
                                         std::size_t aMaxMoves) {
      return PlanMoves(cell, aCandidates, aMaxMoves);
    };
  }
  context.mWorkerListState = [this] { return GetWorkerListState(); };
  mLog.Record(kCellClaimed,
              { { "cell", aRow.mName },
                { "term", static_cast<std::int64_t>(aRow.mTerm) },
                { "token", static_cast<std::int64_t>(aVersion) },
                { "previous_gone",
                  static_cast<std::int64_t>(aIsPreviousHolderGone ? 1 : 0) } });
  auto holder = std::make_shared<CellHolder>(context, aRow, aVersion);
  mHolders[aRow.mName] = holder;
  for (const auto& [id, it] : mWorkers) {
    if (CellOf(it) == aRow.mName) {
      holder->UpdateWorker(it);
    }
  }
  for (const auto& [id, it] : mWorkerTransfers) {
    if (it.mCell == aRow.mName) {
      holder->RaiseMinToken(id, it.mVersion);
    }
  }
  holder->SetClaimTime(aClaimedAt);
  holder->SetEvacuatedDomains(mEvacuatedDomains);
  BoundEarlierHolders(*holder);
  net::SpawnTask(mPool.Executor(0), holder->Run(aIsPreviousHolderGone));
}

auto DispatchEntry::ReleaseCell(std::string aCell) -> net::Task<void>
{
  if (const auto holder = FindHolder(aCell)) {
    co_await holder->Shutdown();
    NoteOwnClaimEnd(*holder);
    auto row = holder->Row();
    row.mHolder.clear();
    StoreTransaction transaction;
    const auto key = RowKey{ std::string(kControlTable), CellKey(aCell) };
    transaction.mExpected.push_back({ key, holder->RowVersion() });
    transaction.mWrites.push_back({ key, net::Encode(row) });
    // Until then other entries consider the cell held.
    while (true) {
      const auto reply = co_await mStore.Commit(
        transaction, base::MonotonicClock::now() + kStoreTimeout);
      if (reply.mOutcome == StoreOutcome::Done ||
          reply.mOutcome == StoreOutcome::Conflict) {
        break;
      }
      co_await net::Sleep(kRetryInterval);
    }
    mHolders.erase(aCell);
  }
  mCellsInTransition.erase(aCell);
}

auto DispatchEntry::ReleaseAllCells() -> void
{
  std::vector<std::string> held;
  held.reserve(mHolders.size());
  for (const auto& [name, it] : mHolders) {
    held.push_back(name);
  }
  for (const auto& it : held) {
    if (mCellsInTransition.insert(it).second) {
      net::SpawnTask(mPool.Executor(0), ReleaseCell(it));
    }
  }
}

auto DispatchEntry::FindHolder(const std::string& aCell) const
  -> std::shared_ptr<CellHolder>
{
  const auto it = mHolders.find(aCell);
  const auto isLive =
    it != mHolders.end() && it->second->Phase() != HolderPhase::Ended;
  return isLive ? it->second : nullptr;
}

} // namespace eelgrasspost::dispatch
