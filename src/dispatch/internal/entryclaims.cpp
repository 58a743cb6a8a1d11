#include "dispatchentry.h"

#include <algorithm>

#include "eelgrasspost/dispatch/peerlogevents.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

namespace {

/** An ended claim is reported, and remembered, for this time; longer than
 * another holder waits without the report. */
constexpr auto kClaimEndRetention = Milliseconds(30000);

} // namespace

auto DispatchEntry::NoteEarlierClaim(KnownCell& aKnown,
                                     const CellRow& aNext,
                                     base::BootTime aNow) -> void
{
  auto& claims = aKnown.mEarlierClaims;
  std::erase_if(claims, [&](const EarlierClaim& aClaim) {
    return aClaim.mActsUntil + kClaimEndRetention < aNow;
  });
  const auto latest = aNow + kConfirmationTimeout;
  const auto isRelease =
    aNext.mHolder.empty() && aNext.mTerm == aKnown.mRow.mTerm;
  // The row may have changed more than once since it was read last.
  const auto hasMissedClaim = aNext.mTerm > aKnown.mRow.mTerm + 1 ||
                              (aNext.mHolder.empty() && !isRelease);
  if (hasMissedClaim) {
    claims.push_back({ {}, 0, 0, aNow, latest });
  }
  if (!aKnown.mRow.mHolder.empty()) {
    // A holder that releases its cell has stopped sending orders.
    claims.push_back({ aKnown.mRow.mHolder,
                       aKnown.mRow.mHolderIncarnation,
                       aKnown.mVersion,
                       aKnown.mReadAt,
                       isRelease ? aNow : latest });
  }
}

auto DispatchEntry::LogCellChange(KnownCell& aKnown,
                                  const CellRow& aNext,
                                  bool aIsHolderGone) -> void
{
  if (aKnown.mVersion == 0) {
    return;
  }
  mMetrics.FindCounter("cell_changes_total").Add();
  mLog.Record(
    kCellChangedHands,
    { { "cell", aNext.mName },
      { "term", static_cast<std::int64_t>(aNext.mTerm) },
      { "former", aKnown.mRow.mHolder },
      { "former_incarnation",
        static_cast<std::int64_t>(aKnown.mRow.mHolderIncarnation) },
      { "former_ended", static_cast<std::int64_t>(aIsHolderGone ? 1 : 0) },
      { "holder", aNext.mHolder },
      { "incarnation", static_cast<std::int64_t>(aNext.mHolderIncarnation) } });
  if (NoteChange(aKnown.mChanges, base::MonotonicClock::now())) {
    mMetrics.FindCounter("cells_unstable_total").Add();
    mLog.Record(
      kCellUnstable,
      { { "cell", aNext.mName },
        { "changes", static_cast<std::int64_t>(aKnown.mChanges.mTimes.size()) },
        { "within_ms", kUnstableWindow.count() } });
  }
}

auto DispatchEntry::FindEndOfClaim(const EarlierClaim& aClaim) const
  -> std::optional<base::BootTime>
{
  if (const auto it = mClaimEnds.find(aClaim.mVersion);
      it != mClaimEnds.end()) {
    return it->second.mLastOrderAt;
  }
  if (const auto it = mOwnClaimEnds.find(aClaim.mVersion);
      it != mOwnClaimEnds.end()) {
    return it->second.mLastOrderAt;
  }
  if (aClaim.mHolder == mSettings.mName &&
      aClaim.mHolderIncarnation != mIncarnation) {
    return mBootStartedAt;
  }
  const auto* peer = mPeers.Find(aClaim.mHolder);
  if (peer && HasEnded(peer->mIdentity, aClaim.mHolderIncarnation)) {
    return std::max(peer->mIdentity.mSeenAt, aClaim.mReadAt);
  }
  return std::nullopt;
}

auto DispatchEntry::BoundEarlierHolders(CellHolder& aHolder) -> void
{
  const auto it = mCells.find(aHolder.Name());
  if (it == mCells.end() || it->second.mVersion != aHolder.RowVersion()) {
    return;
  }
  const auto& known = it->second;
  const auto findEnd = [&](const EarlierClaim& aClaim) {
    const auto end = FindEndOfClaim(aClaim);
    // The majority of a holder before the previous one may be of fewer members.
    return !end && aClaim.mVersion == known.mPreviousVersion
             ? aHolder.PreviousHolderActsUntil()
             : end;
  };
  aHolder.BoundEarlierHolders(
    EarlierClaimsEndAt(known.mEarlierClaims, findEnd));
}

auto DispatchEntry::NoteOwnClaimEnd(const CellHolder& aHolder) -> void
{
  mOwnClaimEnds.emplace(aHolder.RowVersion(),
                        ClaimEnd{ aHolder.LastOrderAt(), base::BootNow() });
}

auto DispatchEntry::RemoveOldClaimEnds(base::BootTime aNow) -> void
{
  const auto isOld = [&](const auto& aItem) {
    return aItem.second.mKnownSince + kClaimEndRetention < aNow;
  };
  std::erase_if(mOwnClaimEnds, isOld);
  std::erase_if(mClaimEnds, isOld);
}

} // namespace eelgrasspost::dispatch
