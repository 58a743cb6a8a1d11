#include "dispatchentry.h"

#include <algorithm>

#include "cellchoice.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/cell/load.h"
#include "eelgrasspost/dispatch/peerlogevents.h"
#include "eelgrasspost/net/codec.h"

namespace eelgrasspost::dispatch {

namespace {

/** A heartbeat that arrives this long after a job was sent includes the job,
 * which is stored and reported by then. */
constexpr auto kUnreportedWorkTimeout = Milliseconds(100);
/** Keeps heartbeats well below the packet size. */
constexpr std::size_t kMaxEstimates = 16;

} // namespace

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

auto DispatchEntry::AddUnreportedWork(const std::string& aCell,
                                      std::int64_t aReservedCpuMillis,
                                      std::int64_t aBestEffortCpuMillis) const
  -> void
{
  auto& sent = mUnreportedWork[aCell];
  sent.mReservedCpuMillis += aReservedCpuMillis;
  sent.mBestEffortCpuMillis += aBestEffortCpuMillis;
  sent.mLastAt = base::MonotonicClock::now();
}

auto DispatchEntry::HandleHeartbeat(const Heartbeat& aHeartbeat) -> void
{
  const auto now = base::MonotonicClock::now();
  for (const auto& it : aHeartbeat.mCells) {
    RemoveReported(mSentJobs, it.mName, now);
    const auto sent = mUnreportedWork.find(it.mName);
    if (sent != mUnreportedWork.end() &&
        now - sent->second.mLastAt > kUnreportedWorkTimeout) {
      mUnreportedWork.erase(sent);
    }
  }
  RecordPending(mPendingCounts, aHeartbeat);
  OnEvacuationNotices(aHeartbeat.mEvacuations);
  OnDrainNotices(aHeartbeat);
  for (const auto& [name, it] : mHolders) {
    it->ImportEstimates(aHeartbeat.mEstimates);
  }
  const auto bootNow = base::BootNow();
  for (const auto& it : aHeartbeat.mEndedClaims) {
    mClaimEnds.emplace(
      it.mVersion,
      ClaimEnd{ bootNow - Milliseconds(it.mSinceLastOrderMs), bootNow });
  }
}

auto DispatchEntry::Execute(JobCommand aCommand) -> net::Task<JobReply>
{
  if (aCommand.mKind == JobCommandKind::Submit) {
    // Only steps without predecessors start at once.
    std::int64_t reserving = 0;
    std::int64_t bestEffort = 0;
    for (const auto& it : aCommand.mJob.mSpec.mSteps) {
      if (it.mAfter.empty()) {
        (it.mIsBestEffort ? bestEffort : reserving) +=
          it.mNeed.mCpuMillis * it.mCount;
      }
    }
    AddUnreportedWork(aCommand.mCell, reserving, bestEffort);
  }
  const auto& spec = aCommand.mJob.mSpec;
  const auto mayWait =
    mSettings.mHasOverflow && aCommand.mKind == JobCommandKind::Submit &&
    !aCommand.mMustStartAtOnce && cell::IsSubjectToAdmission(spec);
  if (!mayWait) {
    co_return co_await Route(std::move(aCommand));
  }
  const auto demand = cell::DemandOf(spec, aCommand.mJob.mQueue);
  const auto cell = aCommand.mCell;
  AddSent(mSentJobs, cell, demand, 1, base::MonotonicClock::now());
  const auto reply = co_await Route(std::move(aCommand));
  if (reply.mOutcome != JobOutcome::Done &&
      reply.mOutcome != JobOutcome::Uncertain) {
    AddSent(mSentJobs, cell, demand, -1, base::MonotonicClock::now());
  }
  co_return reply;
}

auto DispatchEntry::Route(JobCommand aCommand) -> net::Task<JobReply>
{
  if (FindHolder(aCommand.mCell)) {
    co_return co_await ExecuteLocally(std::move(aCommand));
  }
  const auto address = HolderAddress(aCommand.mCell);
  if (!address) {
    co_return JobReply{ JobOutcome::CellNotHeld };
  }
  const auto deadline =
    base::MonotonicClock::now() + Milliseconds(aCommand.mTimeoutMs);
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
                        ? JobOutcome::CellNotHeld
                        : JobOutcome::Uncertain };
}

auto DispatchEntry::ExecuteLocally(JobCommand aCommand) -> net::Task<JobReply>
{
  const auto holder = FindHolder(aCommand.mCell);
  if (!holder) {
    co_return JobReply{ JobOutcome::CellNotHeld };
  }
  const auto isLongRunning = aCommand.mKind == JobCommandKind::Submit &&
                             cell::IsLongRunning(aCommand.mJob.mSpec);
  const auto reply = co_await holder->Execute(std::move(aCommand));
  if (isLongRunning) {
    // A long-running job occupies capacity for long; the other entries should
    // know before they send the next one.
    mPeers.SendSoon();
  }
  co_return reply;
}

/** Prefers cells of the own domain, as workers of other domains add latency. */
auto DispatchEntry::FindTransferSources(const std::string& aDomain) const
  -> std::vector<std::string>
{
  auto cells = ReachableCells();
  std::erase_if(cells,
                [](const CellStatus& aCell) { return !aCell.mIsActive; });
  const auto rank = [&](const CellStatus& aCell) {
    return std::pair(!aCell.mName.starts_with(aDomain + "/"),
                     -aCell.mFreeCpuMillis);
  };
  std::sort(
    cells.begin(), cells.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  std::vector<std::string> out;
  out.reserve(cells.size());
  for (const auto& it : cells) {
    out.push_back(it.mName);
  }
  return out;
}

auto DispatchEntry::FindCellWithCapacity(const std::string& aFrom,
                                         const cell::MigratableJob& aJob) const
  -> std::optional<std::string>
{
  auto out = ChooseCellWithCapacity(ReachableCells(), aFrom, aJob);
  if (out) {
    AddUnreportedWork(
      *out, aJob.mReservingCpuMillis, aJob.mBestEffortCpuMillis);
  }
  return out;
}

auto DispatchEntry::FindEmptierCell(const std::string& aFrom,
                                    const cell::MigratableJob& aJob) const
  -> std::optional<std::string>
{
  auto out = ChooseEmptierCell(ReachableCells(), aFrom, aJob);
  if (out) {
    AddUnreportedWork(
      *out, aJob.mReservingCpuMillis, aJob.mBestEffortCpuMillis);
  }
  return out;
}

auto DispatchEntry::PlanMoves(const std::string& aFrom,
                              const std::vector<OverflowCandidate>& aCandidates,
                              std::size_t aMaxMoves) const
  -> std::vector<OverflowMove>
{
  auto out = PlanOverflow(ReachableCells(), aFrom, aCandidates, aMaxMoves);
  const auto now = base::MonotonicClock::now();
  for (const auto& it : out) {
    AddUnreportedWork(
      it.mCell, it.mJob.mReservingCpuMillis, it.mJob.mBestEffortCpuMillis);
    AddSent(mSentJobs, it.mCell, it.mDemand, it.mSenders, now);
    AddSent(mSentJobs, aFrom, it.mDemand, -1, now);
  }
  return out;
}

auto DispatchEntry::FindHostCell(const std::string& aFrom,
                                 const HostQuery& aQuery) const
  -> std::optional<std::string>
{
  return ChooseHostCell(ReachableCells(), aFrom, aQuery);
}

auto DispatchEntry::ReachableCells() const -> std::vector<CellStatus>
{
  std::vector<CellStatus> out;
  for (const auto& [name, it] : mHolders) {
    if (it->Phase() != HolderPhase::Ended) {
      out.push_back(it->GetStatus());
    }
  }
  const auto now = base::MonotonicClock::now();
  for (const auto& [name, it] : mPeers.All()) {
    if (mPeers.IsAlive(it, now)) {
      for (const auto& cell : it.mLastHeartbeat.mCells) {
        if (!FindHolder(cell.mName)) {
          out.push_back(cell);
          out.back().mAge =
            std::chrono::duration_cast<Milliseconds>(now - it.mLastHeartbeatAt);
        }
      }
    }
  }
  for (auto& it : out) {
    if (FindHolder(it.mName)) {
      RemoveReported(mSentJobs, it.mName, now);
    }
    it.mSentBacklogs = SentBacklogs(mSentJobs, it.mName);
    const auto sent = mUnreportedWork.find(it.mName);
    // The status of local cells already includes this work.
    if (sent != mUnreportedWork.end() && !FindHolder(it.mName)) {
      it.mFreeCpuMillis -= sent->second.mReservedCpuMillis;
      it.mBestEffortCpuMillis += sent->second.mBestEffortCpuMillis;
    }
  }
  return out;
}

auto DispatchEntry::CountPending(const std::string& aQueue) -> std::uint64_t
{
  std::uint64_t out = 0;
  std::set<std::string> own;
  std::string cells;
  for (const auto& [name, it] : mHolders) {
    // The jobs of a cell that is being taken over are not all loaded yet.
    if (it->Phase() == HolderPhase::Active) {
      const auto count = cell::CountPending(it->State(), aQueue);
      out += count;
      own.insert(name);
      cells += base::Cat(cells.empty() ? "" : " ", name, "=", count);
    }
  }
  const auto queue = HashOf(aQueue);
  const auto now = base::MonotonicClock::now();
  for (const auto& [name, it] : mPendingCounts) {
    const auto count = it.mCounts.find(queue);
    if (!own.contains(name) && count != it.mCounts.end()) {
      const auto age =
        std::chrono::duration_cast<Milliseconds>(now - it.mReportedAt).count();
      cells +=
        base::Cat(cells.empty() ? "" : " ", name, "=", count->second, "@", age);
    }
  }
  out += dispatch::CountPending(mPendingCounts, own, queue);
  mLog.Record(kPendingCounted,
              { { "queue", aQueue },
                { "pending", static_cast<std::int64_t>(out) },
                { "cells", cells } });
  return out;
}

auto DispatchEntry::MakeHeartbeat() -> Heartbeat
{
  Heartbeat out;
  out.mName = mSettings.mName;
  out.mIncarnation = mIncarnation;
  out.mDomain = mSettings.mDomain;
  out.mPeers = mSettings.mPeers;
  out.mCpuShare = mSettings.mCpuShare;
  out.mIsLeaving = mIsLeaving;
  out.mReachesStore = mStore.IsDirectlyReachable();
  for (const auto& [name, it] : mHolders) {
    if (it->Phase() == HolderPhase::Ended) {
      continue;
    }
    out.mCells.push_back(it->GetStatus());
    std::map<std::uint64_t, std::uint32_t> pending;
    const auto estimates = it->ExportEstimates(
      std::max<std::size_t>(1, kMaxEstimates / mHolders.size()));
    for (const auto& [other, holder] : mHolders) {
      if (holder != it) {
        holder->ImportEstimates(estimates);
      }
    }
    out.mEstimates.insert(
      out.mEstimates.end(), estimates.begin(), estimates.end());
    for (const auto& [id, job] : it->State().mJobs) {
      if (!job->mHasStarted && !cell::IsFinal(job->mState)) {
        ++pending[HashOf(job->mStored.mQueue.mName)];
      }
    }
    for (const auto& [hash, n] : pending) {
      out.mPending.push_back(
        { static_cast<std::uint16_t>(out.mCells.size() - 1), hash, n });
    }
  }
  for (const auto& [domain, it] : mEvacuations) {
    out.mEvacuations.push_back(it);
  }
  out.mDraining = TakeNotices(mDrainNotices, base::MonotonicClock::now());
  const auto now = base::BootNow();
  for (const auto& [version, it] : mOwnClaimEnds) {
    const auto since =
      std::chrono::duration_cast<Milliseconds>(now - it.mLastOrderAt);
    out.mEndedClaims.push_back({ version, since.count() });
  }
  return out;
}

auto DispatchEntry::IsReady() const -> bool
{
  if (mIsLeaving || !mConfiguration || mPartitions == 0) {
    return false;
  }
  const auto cells = ReachableCells();
  return std::any_of(cells.begin(), cells.end(), [](const CellStatus& aCell) {
    return aCell.mIsActive;
  });
}

} // namespace eelgrasspost::dispatch
