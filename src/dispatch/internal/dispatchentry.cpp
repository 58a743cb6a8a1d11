#include "dispatchentry.h"

#include <algorithm>
#include <csignal>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

namespace {

/** How long the store may keep a feed's call waiting for a change. */
constexpr auto kFeedWait = Milliseconds(2000);
/** Workers' heartbeats gather for so long; a tenth of the time in which a
 * draining worker must get no more starts. */
constexpr auto kWorkerPause = Milliseconds(250);
/** After two heartbeats a cell's room counts the jobs that were sent to it. */
constexpr auto kSentWorkAge = 2 * kHeartbeatInterval;
constexpr auto kManageInterval = Milliseconds(150);
/** A domain's workers are counted once their list has not grown for so long. */
constexpr auto kLayoutPause = Milliseconds(500);
/** After a stop signal the balancer may send connections for two more probes
 * of a second each. */
constexpr auto kLeaveTime = Milliseconds(2600);
/** Lines wait so long before they are written together. */
constexpr auto kLogInterval = Milliseconds(100);
constexpr auto kLeaveCheck = Milliseconds(50);

auto PartsOf(const DispatchSettings& aSettings) -> std::uint32_t
{
  const auto parts =
    aSettings.mStoreWritesPerS / std::max(1.0, aSettings.mStorePartWritesPerS);
  return std::max(1U, static_cast<std::uint32_t>(parts));
}

auto DoorOptions() -> net::HttpServerOptions
{
  net::HttpServerOptions out;
  out.mBodyLimit = 262144;
  return out;
}

} // namespace

DispatchEntry::DispatchEntry(net::IoPool& aPool,
                             DispatchSettings aSettings,
                             PlatformPorts aPorts)
  : mPool(aPool)
  , mSettings(std::move(aSettings))
  , mPorts(aPorts)
  , mIncarnation(static_cast<std::uint64_t>(base::WallClockMs()))
  , mParts(PartsOf(mSettings))
  , mStartedAt(base::MonotonicClock::now())
  , mLog(mSettings.mName)
  , mMessages(aPool.Size(), mSettings.mPeers.mIp)
  , mMessageServer(aPool)
  , mPeers(aPool, mSettings.mName)
  , mStore(mPorts.mStore, mMessages, mPeers, mMetrics)
  , mConfigurationWatch(mStore,
                        mPorts.mFormats.ConfigurationTable(),
                        kFeedWait,
                        Milliseconds(0))
  , mControlWatch(mStore,
                  std::string(kControlTable),
                  kFeedWait,
                  Milliseconds(0))
  , mWorkerWatch(mStore, mPorts.mFormats.WorkerTable(), kFeedWait, kWorkerPause)
  , mDoor(
      { mPorts.mFormats,
        mStore,
        mMetrics,
        mParts,
        mSettings.mDomain,
        [this] { return mConfiguration; },
        [this] { return ReachableCells(); },
        [this](JobCommand aCommand) { return Execute(std::move(aCommand)); },
        [this](const std::string& aQueue) { return CountPending(aQueue); } })
  , mDoorServer(aPool,
                DoorOptions(),
                [this](net::HttpRequest aRequest) {
                  return mDoor.Answer(std::move(aRequest));
                })
  , mReadinessServer(
      aPool,
      {},
      [this](net::HttpRequest) -> net::Task<net::HttpResponse> {
        constexpr unsigned kOk = 200;
        constexpr unsigned kUnavailable = 503;
        co_return net::HttpResponse{ IsReady() ? kOk : kUnavailable, {}, {} };
      })
  , mMetricsServer(aPool,
                   {},
                   [this](net::HttpRequest) -> net::Task<net::HttpResponse> {
                     co_return net::HttpResponse{ 200, {}, mMetrics.Render() };
                   })
  , mSignals(aPool.Executor(0), SIGTERM, SIGINT, SIGHUP)
  , mWorkersChangedAt(mStartedAt)
{
}

auto DispatchEntry::Start() -> absl::Status
{
  net::HandleTyped<JobCommand, JobReply>(
    mMessageServer,
    net::MessageKind::JobCommand,
    [this](JobCommand aCommand) -> net::Task<JobReply> {
      auto holder = FindHolder(aCommand.mCell);
      if (!holder) {
        co_return JobReply{ JobOutcome::NotHeld };
      }
      co_return co_await holder->Execute(std::move(aCommand));
    });
  net::HandleTyped<StoreRelay, StoreReply>(
    mMessageServer, net::MessageKind::StoreRelay, [this](StoreRelay aRelay) {
      return mStore.Serve(std::move(aRelay));
    });
  for (const auto& status :
       { mMessageServer.Listen(mSettings.mPeers).status(),
         mPeers.Bind(mSettings.mPeers,
                     [this](const Heartbeat& aHeartbeat) {
                       for (const auto& [name, it] : mHolders) {
                         it->Learn(aHeartbeat.mPairs);
                       }
                     }),
         mDoorServer.Listen(mSettings.mHttp).status(),
         mReadinessServer.Listen(mSettings.mReadiness).status(),
         mMetricsServer.Listen(mSettings.mMetrics).status() }) {
    if (!status.ok()) {
      return status;
    }
  }
  const auto executor = mPool.Executor(0);
  net::SpawnTask(executor, HandleSignals());
  net::SpawnTask(executor, WatchConfiguration());
  net::SpawnTask(executor, WatchControl());
  net::SpawnTask(executor, WatchWorkers());
  net::SpawnTask(executor, WriteEntryRow());
  net::SpawnTask(executor, mPeers.Run([this] { return MakeHeartbeat(); }));
  net::SpawnTask(executor, ManageCells());
  net::SpawnTask(executor, FlushLog());
  mLog.Record(kEntryStarted,
              { { "domain", mSettings.mDomain },
                { "incarnation", static_cast<std::int64_t>(mIncarnation) },
                { "http", net::ToString(mSettings.mHttp) },
                { "peers", net::ToString(mSettings.mPeers) },
                { "store", net::ToString(mSettings.mStore) },
                { "parts", static_cast<std::int64_t>(mParts) },
                { "lease_ms", mSettings.mLeaseMs } });
  return absl::OkStatus();
}

auto DispatchEntry::Run() -> void
{
  mPool.Run();
}

auto DispatchEntry::FlushLog() -> net::Task<void>
{
  while (true) {
    mLog.Flush();
    co_await net::Sleep(kLogInterval);
  }
}

auto DispatchEntry::WatchConfiguration() -> net::Task<void>
{
  const auto onRow = [this](const StoreRow& aRow) {
    if (aRow.mKey != mPorts.mFormats.ConfigurationKey()) {
      return;
    }
    auto decoded = mPorts.mFormats.DecodeConfiguration(aRow.mValue);
    const auto isNewer =
      decoded.ok() &&
      (!mConfiguration || decoded->mVersion > mConfiguration->mVersion);
    if (isNewer) {
      mConfiguration =
        std::make_shared<const Configuration>(*std::move(decoded));
      mLog.Record(
        kConfigurationInForce,
        { { "version", static_cast<std::int64_t>(mConfiguration->mVersion) },
          { "queues",
            static_cast<std::int64_t>(mConfiguration->mQueues.size()) } });
    }
  };
  co_await mConfigurationWatch.Run(
    onRow, [](const std::string&) {}, [] {});
}

auto DispatchEntry::SeeControlRow(const StoreRow& aRow) -> void
{
  if (aRow.mKey.starts_with("entry/")) {
    if (auto row = net::Decode<EntryRow>(aRow.mValue); row.ok()) {
      mPeers.Learn(*row);
    }
  } else if (aRow.mKey.starts_with("layout/")) {
    if (auto row = net::Decode<LayoutRow>(aRow.mValue); row.ok()) {
      mLayouts[row->mDomain] = *row;
    }
  } else if (aRow.mKey.starts_with("lent/")) {
    if (auto row = net::Decode<LentRow>(aRow.mValue); row.ok()) {
      SeeLoan(*row, aRow.mVersion);
    }
  } else if (aRow.mKey.starts_with("cell/")) {
    if (auto row = net::Decode<CellRow>(aRow.mValue); row.ok()) {
      SeeCell(*row, aRow.mVersion);
    }
  }
}

auto DispatchEntry::SeeCell(const CellRow& aRow, std::uint64_t aVersion) -> void
{
  auto& known = mCells[aRow.mName];
  if (aVersion <= known.mVersion) {
    return;
  }
  const auto isPreviousGone = IsGone(known.mRow);
  known = { aRow, aVersion };
  const auto isMine =
    aRow.mHolder == mSettings.mName && aRow.mHolderIncarnation == mIncarnation;
  const auto holder = FindHolder(aRow.mName);
  if (holder && holder->RowVersion() < aVersion) {
    mLog.Record(kCellLost,
                { { "cell", aRow.mName },
                  { "holder", aRow.mHolder },
                  { "term", static_cast<std::int64_t>(aRow.mTerm) } });
    holder->End();
    mHolders.erase(aRow.mName);
  }
  if (isMine && !FindHolder(aRow.mName)) {
    Hold(aRow, aVersion, isPreviousGone);
  }
}

auto DispatchEntry::WatchControl() -> net::Task<void>
{
  const auto onAnswer = [this] {
    for (const auto& [name, it] : mHolders) {
      it->Confirm(mControlWatch.ConfirmedAt());
    }
  };
  co_await mControlWatch.Run(
    [this](const StoreRow& aRow) { SeeControlRow(aRow); },
    [this](const std::string& aKey) {
      constexpr std::string_view kPrefix = "entry/";
      if (aKey.starts_with(kPrefix)) {
        mPeers.Forget(aKey.substr(kPrefix.size()));
      }
    },
    onAnswer);
}

auto DispatchEntry::CellOf(const cell::WorkerRecord& aRecord) const
  -> std::optional<std::string>
{
  if (const auto loan = mLoans.find(aRecord.mId); loan != mLoans.end()) {
    return loan->second.mCell;
  }
  const auto it = mLayouts.find(aRecord.mDomain);
  if (it == mLayouts.end()) {
    return std::nullopt;
  }
  return CellOfWorker(aRecord.mId, it->second);
}

auto DispatchEntry::SeeWorkerRow(const StoreRow& aRow) -> void
{
  auto record = mPorts.mFormats.DecodeWorker(aRow.mKey, aRow.mValue);
  if (!record.ok()) {
    return;
  }
  auto& known = mWorkers[aRow.mKey];
  const auto isNew = known.mId.empty();
  if (isNew) {
    mWorkersChangedAt = base::MonotonicClock::now();
  }
  const auto isChanged = isNew || known.mState != record->mState ||
                         known.mBornMs != record->mBornMs ||
                         known.mAddress != record->mAddress ||
                         known.mService != record->mService;
  known = *std::move(record);
  if (!isChanged) {
    return;
  }
  if (const auto name = CellOf(known)) {
    if (const auto holder = FindHolder(*name)) {
      holder->SeeWorker(known);
    }
  }
}

auto DispatchEntry::WatchWorkers() -> net::Task<void>
{
  co_await mWorkerWatch.Run(
    [this](const StoreRow& aRow) { SeeWorkerRow(aRow); },
    [this](const std::string& aKey) {
      mWorkers.erase(aKey);
      for (const auto& [name, it] : mHolders) {
        it->UnlistWorker(aKey);
      }
    },
    [] {});
}

auto DispatchEntry::WriteEntryRow() -> net::Task<void>
{
  const auto row = EntryRow{
    mSettings.mName, mIncarnation, mSettings.mDomain, mSettings.mPeers
  };
  while (true) {
    StoreTransaction transaction;
    transaction.mWrites.push_back(
      { { std::string(kControlTable), "entry/" + mSettings.mName },
        net::Encode(row) });
    const auto reply = co_await mStore.Commit(
      std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
    if (reply.mOutcome == StoreOutcome::Done) {
      co_return;
    }
    co_await net::Sleep(kRetryPause);
  }
}

auto DispatchEntry::IsGone(const CellRow& aRow) const -> bool
{
  if (aRow.mHolder.empty()) {
    return true;
  }
  if (aRow.mHolder == mSettings.mName) {
    return aRow.mHolderIncarnation != mIncarnation;
  }
  const auto* peer = mPeers.Find(aRow.mHolder);
  return peer && peer->mRow.mIncarnation > aRow.mHolderIncarnation;
}

auto DispatchEntry::MakeView(MonotonicTime aNow) const -> ClaimView
{
  ClaimView out;
  out.mMyName = mSettings.mName;
  out.mMyIncarnation = mIncarnation;
  out.mSinceStart = std::chrono::duration_cast<Milliseconds>(aNow - mStartedAt);
  out.mLive.push_back({ mSettings.mName,
                        mIncarnation,
                        mSettings.mDomain,
                        mIsLeaving,
                        mHolders.size() });
  for (const auto& [name, it] : mPeers.All()) {
    if (it.mSeenAt != MonotonicTime{}) {
      const auto silence =
        std::chrono::duration_cast<Milliseconds>(aNow - it.mSeenAt);
      const auto [slot, isNew] =
        out.mDomainSilence.emplace(it.mRow.mDomain, silence);
      slot->second = std::min(slot->second, silence);
    }
    if (mPeers.IsAlive(it, aNow)) {
      out.mLive.push_back({ name,
                            it.mRow.mIncarnation,
                            it.mRow.mDomain,
                            it.mLast.mIsLeaving,
                            it.mLast.mCells.size() });
    }
  }
  for (const auto& [name, it] : mCells) {
    out.mCells.push_back(it.mRow);
  }
  return out;
}

auto DispatchEntry::ManageCells() -> net::Task<void>
{
  while (true) {
    co_await net::Sleep(kManageInterval);
    const auto now = base::MonotonicClock::now();
    if (!mControlWatch.IsLoaded() || !mWorkerWatch.IsLoaded()) {
      continue;
    }
    std::erase_if(mHolders, [](const auto& aItem) {
      return aItem.second->Phase() == HolderPhase::Ended;
    });
    ManageLayouts(now);
    const auto view = MakeView(now);
    for (const auto& it : CellsToClaim(view)) {
      if (!mIsLeaving && mBusyCells.insert(it).second) {
        net::SpawnTask(mPool.Executor(0), Claim(it));
      }
    }
    for (const auto& it : CellsToReturn(view)) {
      if (mBusyCells.insert(it).second) {
        net::SpawnTask(mPool.Executor(0), Return(it));
      }
    }
  }
}

auto DispatchEntry::ManageLayouts(MonotonicTime aNow) -> void
{
  if (aNow - mWorkersChangedAt < kLayoutPause) {
    return;
  }
  std::map<std::string, std::size_t> counts;
  for (const auto& [id, it] : mWorkers) {
    ++counts[it.mDomain];
  }
  for (const auto& [domain, n] : counts) {
    if (!mLayouts.contains(domain) && mBusyLayouts.insert(domain).second) {
      net::SpawnTask(mPool.Executor(0), CreateLayout(domain, CellsFor(n)));
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
    add("cell/" + row.mName, net::Encode(row));
  }
  co_await mStore.Commit(std::move(transaction),
                         base::MonotonicClock::now() + kStoreTimeout);
  // Whoever was first, the feed shows the layout.
  co_await net::Sleep(kRetryPause);
  mBusyLayouts.erase(aDomain);
}

auto DispatchEntry::Claim(std::string aCell) -> net::Task<void>
{
  const auto known = mCells.at(aCell);
  auto row = known.mRow;
  row.mHolder = mSettings.mName;
  row.mHolderIncarnation = mIncarnation;
  ++row.mTerm;
  StoreTransaction transaction;
  const auto key = RowKey{ std::string(kControlTable), "cell/" + aCell };
  transaction.mExpected.push_back({ key, known.mVersion });
  transaction.mWrites.push_back({ key, net::Encode(row) });
  const auto reply = co_await mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  if (reply.mOutcome == StoreOutcome::Done) {
    SeeCell(row, reply.mVersion);
  } else if (reply.mOutcome != StoreOutcome::Conflict) {
    co_await net::Sleep(kRetryPause);
  }
  mBusyCells.erase(aCell);
}

auto DispatchEntry::Hold(const CellRow& aRow,
                         std::uint64_t aVersion,
                         bool aIsPreviousGone) -> void
{
  const auto cell = aRow.mName;
  const auto context = HolderContext{
    mSettings,
    mStore,
    mPorts.mWorkers,
    mMetrics,
    mLog,
    mPool.Executor(0),
    mIncarnation,
    mParts,
    [this, cell](const cell::MovableJob& aJob) { return FindRoom(cell, aJob); },
    [this](JobCommand aCommand) { return Execute(std::move(aCommand)); },
    [this, domain = aRow.mDomain] { return FindLenders(domain); }
  };
  mLog.Record(kCellClaimed,
              { { "cell", aRow.mName },
                { "term", static_cast<std::int64_t>(aRow.mTerm) },
                { "token", static_cast<std::int64_t>(aVersion) },
                { "previous_gone",
                  static_cast<std::int64_t>(aIsPreviousGone ? 1 : 0) } });
  auto holder = std::make_shared<CellHolder>(context, aRow, aVersion);
  mHolders[aRow.mName] = holder;
  std::vector<cell::WorkerRecord> workers;
  for (const auto& [id, it] : mWorkers) {
    if (CellOf(it) == aRow.mName) {
      workers.push_back(it);
    }
  }
  for (const auto& [id, it] : mLoans) {
    if (it.mCell == aRow.mName) {
      holder->RaiseToken(id, it.mVersion);
    }
  }
  net::SpawnTask(mPool.Executor(0),
                 holder->Run(std::move(workers), aIsPreviousGone));
}

auto DispatchEntry::Return(std::string aCell) -> net::Task<void>
{
  if (const auto holder = FindHolder(aCell)) {
    co_await holder->Finish();
    auto row = holder->Row();
    row.mHolder.clear();
    StoreTransaction transaction;
    const auto key = RowKey{ std::string(kControlTable), "cell/" + aCell };
    transaction.mExpected.push_back({ key, holder->RowVersion() });
    transaction.mWrites.push_back({ key, net::Encode(row) });
    co_await mStore.Commit(std::move(transaction),
                           base::MonotonicClock::now() + kStoreTimeout);
    mHolders.erase(aCell);
  }
  mBusyCells.erase(aCell);
}

auto DispatchEntry::FindHolder(const std::string& aCell) const
  -> std::shared_ptr<CellHolder>
{
  const auto it = mHolders.find(aCell);
  const auto isLive =
    it != mHolders.end() && it->second->Phase() != HolderPhase::Ended;
  return isLive ? it->second : nullptr;
}

auto DispatchEntry::HolderAddress(const std::string& aCell) const
  -> std::optional<net::Address>
{
  const auto now = base::MonotonicClock::now();
  const auto it = mCells.find(aCell);
  if (it == mCells.end()) {
    return std::nullopt;
  }
  const auto* peer = mPeers.Find(it->second.mRow.mHolder);
  if (!peer || !mPeers.IsAlive(*peer, now)) {
    return std::nullopt;
  }
  return peer->mRow.mPeers;
}

auto DispatchEntry::NoteSentWork(const JobCommand& aCommand) -> void
{
  const auto now = base::MonotonicClock::now();
  auto& sent = mSentWork[aCommand.mCell];
  if (now - sent.mSince > kSentWorkAge) {
    sent = { 0, 0, now };
  }
  // The first step tells what comes at once.
  for (const auto& it : aCommand.mJob.mSpec.mSteps) {
    if (!it.mAfter.empty()) {
      continue;
    }
    const auto cpu = it.mNeed.mCpuMillis * it.mCount;
    (it.mIsFilling ? sent.mFilling : sent.mReserving) += cpu;
  }
}

auto DispatchEntry::Execute(JobCommand aCommand) -> net::Task<JobReply>
{
  if (aCommand.mKind == JobCommandKind::Submit ||
      aCommand.mKind == JobCommandKind::Import) {
    NoteSentWork(aCommand);
  }
  if (const auto holder = FindHolder(aCommand.mCell)) {
    co_return co_await holder->Execute(std::move(aCommand));
  }
  const auto address = HolderAddress(aCommand.mCell);
  if (!address) {
    co_return JobReply{ JobOutcome::NotHeld };
  }
  const auto deadline =
    base::MonotonicClock::now() + Milliseconds(aCommand.mPatienceMs);
  const auto reply =
    co_await net::CallTyped<JobReply>(mMessages,
                                      *address,
                                      net::MessageKind::JobCommand,
                                      std::move(aCommand),
                                      deadline);
  if (reply.mStatus.ok()) {
    co_return reply.mReply;
  }
  co_return JobReply{ reply.mProgress == net::SendProgress::NothingSent
                        ? JobOutcome::NotHeld
                        : JobOutcome::Uncertain };
}

auto DispatchEntry::SeeLoan(const LentRow& aRow, std::uint64_t aVersion) -> void
{
  auto& loan = mLoans[aRow.mWorker];
  if (aVersion <= loan.mVersion) {
    return;
  }
  loan = { aRow.mCell, aVersion };
  const auto holder = FindHolder(aRow.mCell);
  const auto worker = mWorkers.find(aRow.mWorker);
  if (holder) {
    holder->RaiseToken(aRow.mWorker, aVersion);
    if (worker != mWorkers.end()) {
      holder->SeeWorker(worker->second);
    }
  }
}

/** Cells of the own domain first: a loan across domains costs latency. */
auto DispatchEntry::FindLenders(const std::string& aDomain) const
  -> std::vector<std::string>
{
  auto cells = ReachableCells();
  std::erase_if(cells, [](const HeldCell& aCell) { return !aCell.mIsActive; });
  const auto rank = [&](const HeldCell& aCell) {
    return std::pair(!aCell.mName.starts_with(aDomain + "/"),
                     -aCell.mFreeCpuMillis);
  };
  std::sort(cells.begin(), cells.end(), [&](const auto& a, const auto& b) {
    return rank(a) < rank(b);
  });
  std::vector<std::string> out;
  for (const auto& it : cells) {
    out.push_back(it.mName);
  }
  return out;
}

auto DispatchEntry::FindRoom(const std::string& aFrom,
                             const cell::MovableJob& aJob) const
  -> std::optional<std::string>
{
  std::optional<std::string> out;
  std::int64_t bestRoom = 0;
  for (const auto& it : ReachableCells()) {
    if (it.mName == aFrom || !it.mIsActive || it.mWaitingCpuMillis > 0) {
      continue;
    }
    // A fragment of the room is lost to the sizes of tasks and workers.
    constexpr double kUsableRoom = 0.8;
    const auto free = static_cast<std::int64_t>(
                        static_cast<double>(it.mFreeCpuMillis) * kUsableRoom) -
                      aJob.mReservingCpuMillis;
    const auto left =
      it.mLeftoverCpuMillis - it.mFillingCpuMillis - aJob.mFillingCpuMillis;
    const auto room = aJob.mReservingCpuMillis > 0 ? free : left;
    if (free >= 0 && left >= 0 && (!out || room > bestRoom)) {
      out = it.mName;
      bestRoom = room;
    }
  }
  return out;
}

auto DispatchEntry::ReachableCells() const -> std::vector<HeldCell>
{
  std::vector<HeldCell> out;
  for (const auto& [name, it] : mHolders) {
    if (it->Phase() != HolderPhase::Ended) {
      out.push_back(it->Describe());
    }
  }
  const auto now = base::MonotonicClock::now();
  for (const auto& [name, it] : mPeers.All()) {
    if (mPeers.IsAlive(it, now)) {
      for (const auto& cell : it.mLast.mCells) {
        if (!FindHolder(cell.mName)) {
          out.push_back(cell);
        }
      }
    }
  }
  for (auto& it : out) {
    const auto sent = mSentWork.find(it.mName);
    // Work held here is part of the figures already.
    if (sent != mSentWork.end() && !FindHolder(it.mName) &&
        now - sent->second.mSince <= kSentWorkAge) {
      it.mFreeCpuMillis -= sent->second.mReserving;
      it.mFillingCpuMillis += sent->second.mFilling;
    }
  }
  return out;
}

auto DispatchEntry::CountPending(const std::string& aQueue) const
  -> std::uint64_t
{
  std::uint64_t out = 0;
  for (const auto& [name, it] : mHolders) {
    out += cell::CountPending(it->State(), aQueue);
  }
  const auto hash = HashOf(aQueue);
  const auto now = base::MonotonicClock::now();
  for (const auto& [name, it] : mPeers.All()) {
    if (!mPeers.IsAlive(it, now)) {
      continue;
    }
    for (const auto& pending : it.mLast.mPending) {
      out += pending.mQueueHash == hash ? pending.mCount : 0;
    }
  }
  return out;
}

auto DispatchEntry::MakeHeartbeat() const -> Heartbeat
{
  Heartbeat out;
  out.mName = mSettings.mName;
  out.mIncarnation = mIncarnation;
  out.mDomain = mSettings.mDomain;
  out.mPeers = mSettings.mPeers;
  out.mIsLeaving = mIsLeaving;
  out.mReachesStore = mStore.ReachesDirectly();
  std::map<std::uint64_t, std::uint32_t> pending;
  for (const auto& [name, it] : mHolders) {
    if (it->Phase() == HolderPhase::Ended) {
      continue;
    }
    out.mCells.push_back(it->Describe());
    it->Teach(out.mPairs);
    for (const auto& [id, job] : it->State().mJobs) {
      if (!job->mHasStarted && !cell::IsFinal(job->mState)) {
        ++pending[HashOf(job->mStored.mQueue.mName)];
      }
    }
  }
  for (const auto& [hash, n] : pending) {
    out.mPending.push_back({ hash, n });
  }
  return out;
}

auto DispatchEntry::IsReady() const -> bool
{
  if (mIsLeaving || !mConfiguration) {
    return false;
  }
  const auto cells = ReachableCells();
  return std::any_of(cells.begin(), cells.end(), [](const HeldCell& aCell) {
    return aCell.mIsActive;
  });
}

auto DispatchEntry::HandleSignals() -> net::Task<void>
{
  while (true) {
    const auto number =
      co_await mSignals.async_wait(boost::asio::use_awaitable);
    mLog.Record(number == SIGHUP ? kReloadAsked : kStopAsked,
                { { "signal", static_cast<std::int64_t>(number) } });
    if (number != SIGHUP && !mIsLeaving) {
      net::SpawnTask(mPool.Executor(0), Leave());
    }
  }
}

/** Hands the cells on, answers what still comes, then ends the process. */
auto DispatchEntry::Leave() -> net::Task<void>
{
  mIsLeaving = true;
  const auto startedAt = base::MonotonicClock::now();
  std::vector<std::string> held;
  for (const auto& [name, it] : mHolders) {
    held.push_back(name);
  }
  for (const auto& it : held) {
    if (mBusyCells.insert(it).second) {
      net::SpawnTask(mPool.Executor(0), Return(it));
    }
  }
  co_await net::Sleep(kLeaveTime);
  mDoorServer.StopAccepting();
  const auto last = startedAt + Milliseconds(mSettings.mGraceMs) * 4 / 5;
  while (base::MonotonicClock::now() < last) {
    mDoorServer.CloseQuiet();
    if (mDoorServer.Connections() == 0) {
      break;
    }
    co_await net::Sleep(kLeaveCheck);
  }
  mLog.Flush();
  mPool.Stop();
}

auto MakeDispatchEntry(net::IoPool& aPool,
                       DispatchSettings aSettings,
                       PlatformPorts aPorts) -> std::unique_ptr<IDispatchEntry>
{
  return std::make_unique<DispatchEntry>(aPool, std::move(aSettings), aPorts);
}

} // namespace eelgrasspost::dispatch
