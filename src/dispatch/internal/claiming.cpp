#include "claiming.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

#include <xxhash.h>

#include "eelgrasspost/base/text.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

namespace {

auto FindLive(const ClaimView& aView, const std::string& aName)
  -> const ClaimCandidate*
{
  const auto it =
    std::find_if(aView.mLive.begin(),
                 aView.mLive.end(),
                 [&](const auto& aLive) { return aLive.mName == aName; });
  return it == aView.mLive.end() ? nullptr : &*it;
}

auto IsHeld(const ClaimView& aView, const CellRow& aCell) -> bool
{
  if (aCell.mHolder.empty()) {
    return false;
  }
  const auto* live = FindLive(aView, aCell.mHolder);
  if (live && live->mIncarnation >= aCell.mHolderIncarnation) {
    return live->mIncarnation == aCell.mHolderIncarnation;
  }
  // The row names a process that has not been heard; its heartbeats may be
  // under way.
  const auto read = aView.mSinceRead.find(aCell.mName);
  return aView.mSinceStart < kClaimDelay ||
         (read != aView.mSinceRead.end() && read->second < kClaimDelay);
}

/** Whether this entry's holder of a cell has ended, though the cell is still
 * this entry's. Whoever superseded the holder by a claim has changed the row by
 * now; the pause lets the leases of any other holder of a worker expire. */
auto HasLostHolder(const ClaimView& aView, const CellRow& aCell) -> bool
{
  const auto it = aView.mSinceHolderEnded.find(aCell.mName);
  return it != aView.mSinceHolderEnded.end() &&
         it->second > aView.mUnheldClaimDelay &&
         aCell.mHolder == aView.mMyName &&
         aCell.mHolderIncarnation == aView.mMyIncarnation;
}

/** Number of cells per processor core that an entry would hold with one cell
 * more. */
auto LoadWithOneMore(const ClaimCandidate& aCandidate) -> double
{
  constexpr double kMinCpuShare = 0.001;
  return static_cast<double>(aCandidate.mHeldCells + 1) /
         std::max(kMinCpuShare, aCandidate.mCpuShare);
}

auto ChooseHolder(const ClaimView& aView, const CellRow& aCell, bool aInDomain)
  -> const ClaimCandidate*
{
  const ClaimCandidate* best = nullptr;
  const auto rank = [&](const ClaimCandidate& aCandidate) {
    return std::tuple(LoadWithOneMore(aCandidate),
                      HashOf(aCell.mName + aCandidate.mName),
                      aCandidate.mName);
  };
  for (const auto& it : aView.mLive) {
    const auto fits = !it.mIsLeaving && it.mIncarnation > 0 &&
                      (!aInDomain || it.mDomain == aCell.mDomain);
    if (fits && (!best || rank(it) < rank(*best))) {
      best = &it;
    }
  }
  return best;
}

auto SinceLastHeartbeat(const ClaimView& aView, const std::string& aDomain)
  -> Milliseconds
{
  const auto it = aView.mSinceLastHeartbeat.find(aDomain);
  return it == aView.mSinceLastHeartbeat.end() ? aView.mSinceStart : it->second;
}

} // namespace

auto HashOf(std::string_view aText) -> std::uint64_t
{
  return XXH3_64bits(aText.data(), aText.size());
}

auto CellsToClaim(const ClaimView& aView) -> std::vector<std::string>
{
  std::vector<std::string> out;
  if (aView.mAwaitsLargerEntry && aView.mSinceStart < kClaimDelay) {
    return out;
  }
  auto view = aView;
  for (const auto& it : aView.mCells) {
    if (HasLostHolder(view, it)) {
      // Other entries consider the cell held.
      const auto* me = FindLive(view, view.mMyName);
      if (me && !me->mIsLeaving) {
        out.push_back(it.mName);
      }
      continue;
    }
    if (IsHeld(view, it)) {
      continue;
    }
    const auto* chosen = ChooseHolder(view, it, true);
    if (!chosen && SinceLastHeartbeat(view, it.mDomain) > kForeignClaimDelay) {
      chosen = ChooseHolder(view, it, false);
    }
    if (!chosen) {
      continue;
    }
    if (chosen->mName == view.mMyName) {
      out.push_back(it.mName);
    }
    // Spreads the cells that are claimed in one round over the entries.
    for (auto& candidate : view.mLive) {
      candidate.mHeldCells += candidate.mName == chosen->mName ? 1 : 0;
    }
  }
  return out;
}

auto EarlierHoldersActUntil(const CellRow& aNext,
                            bool aIsHolderGone,
                            base::BootTime aKnownUntil,
                            base::BootTime aNow) -> base::BootTime
{
  // A holder that releases its cell has stopped sending orders.
  const auto hasStopped = aIsHolderGone || aNext.mHolder.empty();
  return hasStopped ? aKnownUntil
                    : std::max(aKnownUntil, aNow + kConfirmationTimeout);
}

auto NoteChange(CellChanges& aChanges, MonotonicTime aNow) -> bool
{
  auto& times = aChanges.mTimes;
  std::erase_if(
    times, [&](MonotonicTime aTime) { return aTime + kUnstableWindow < aNow; });
  times.push_back(aNow);
  const auto wasTold = aChanges.mToldAt != MonotonicTime{} &&
                       aChanges.mToldAt + kUnstableWindow > aNow;
  if (times.size() <= kMaxStableChanges || wasTold) {
    return false;
  }
  aChanges.mToldAt = aNow;
  return true;
}

auto EarlierClaimsEndAt(const std::vector<EarlierClaim>& aClaims,
                        const FindClaimEnd& aFindEnd) -> base::BootTime
{
  base::BootTime out{};
  for (const auto& it : aClaims) {
    const auto known = aFindEnd(it);
    out =
      std::max(out, known ? std::min(*known, it.mActsUntil) : it.mActsUntil);
  }
  return out;
}

auto IsFirstClaimant(const ClaimView& aView) -> bool
{
  const auto* me = FindLive(aView, aView.mMyName);
  CellRow any;
  any.mDomain = me ? me->mDomain : std::string();
  return me && ChooseHolder(aView, any, true) == me;
}

auto CellsToRelease(const ClaimView& aView) -> std::vector<std::string>
{
  std::vector<std::string> out;
  const auto* me = FindLive(aView, aView.mMyName);
  for (const auto& it : aView.mCells) {
    const auto isMine = it.mHolder == aView.mMyName &&
                        it.mHolderIncarnation == aView.mMyIncarnation;
    if (isMine && me && me->mDomain != it.mDomain &&
        ChooseHolder(aView, it, true)) {
      out.push_back(it.mName);
    }
  }
  return out;
}

auto CellOfWorker(std::string_view aWorker, const LayoutRow& aLayout)
  -> std::string
{
  const auto n = HashOf(aWorker) % std::max<std::uint32_t>(1, aLayout.mCells);
  return base::Cat(aLayout.mDomain, "/", n);
}

auto CellCountFor(std::size_t aWorkers, double aCpuShare) -> std::uint32_t
{
  // A holder has one thread; see docs/CAPACITY.md for what a worker costs it.
  constexpr double kWorkersPerCore = 240;
  constexpr std::size_t kMinWorkersPerCell = 24;
  const auto size = std::max(kMinWorkersPerCell,
                             static_cast<std::size_t>(std::lround(
                               kWorkersPerCore * std::min(1.0, aCpuShare))));
  return static_cast<std::uint32_t>(
    std::max<std::size_t>(1, (aWorkers + size - 1) / size));
}

auto LargestCpuShare(const ClaimView& aView, const std::string& aDomain)
  -> double
{
  std::optional<double> out;
  for (const auto& it : aView.mLive) {
    if (it.mDomain == aDomain) {
      out = std::max(out.value_or(it.mCpuShare), it.mCpuShare);
    }
  }
  const auto* me = FindLive(aView, aView.mMyName);
  return out.value_or(me ? me->mCpuShare : 1.0);
}

} // namespace eelgrasspost::dispatch
