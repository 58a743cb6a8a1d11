#include "cellholder.h"
#include "controlkeys.h"
#include "eelgrasspost/dispatch/dispatchlogevents.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

namespace {

/** How often the replies of the members are counted. */
constexpr auto kMajorityInterval = Milliseconds(100);

} // namespace

auto CellHolder::CanSendOrders() const -> bool
{
  const auto now = mContext.mBootNow();
  return mPhase == HolderPhase::Active &&
         now - mConfirmedAt < kConfirmationTimeout &&
         now - UnchallengedAt() < kIsolationTimeout;
}

auto CellHolder::UnchallengedAt() const -> base::BootTime
{
  const auto byStore = std::max(mConfirmedAt, mFencedWriteAt);
  if (mContext.mBootNow() - byStore < kClaimCheckDelay) {
    return byStore;
  }
  return std::max(byStore, MajoritySince(byStore));
}

auto CellHolder::MajoritySince(base::BootTime aConfirmedAt) const
  -> base::BootTime
{
  const auto now = mContext.mBootNow();
  if (now - mMajorityReadAt >= kMajorityInterval) {
    mMajorityReadAt = now;
    std::vector<std::string> members;
    members.reserve(mMembers.size());
    for (const auto& [id, it] : mMembers) {
      members.push_back(id);
    }
    mMajoritySince = MajorityRepliedSince(mContacts, members, aConfirmedAt);
  }
  return mMajoritySince;
}

auto CellHolder::ConfirmClaim(base::BootTime aAt) -> void
{
  mConfirmedAt = std::max(mConfirmedAt, aAt);
}

auto CellHolder::NoteFencedWrite(base::BootTime aSentAt) -> void
{
  mFencedWriteAt = std::max(mFencedWriteAt, aSentAt);
}

auto CellHolder::CheckClaimIfDue(MonotonicTime aNow) -> void
{
  const auto now = mContext.mBootNow();
  std::erase_if(mContacts, [&](const auto& aItem) {
    return !mMembers.contains(aItem.first);
  });
  const auto isDue =
    !mIsReadingClaim && aNow >= mNextClaimCheckAt &&
    now - mConfirmedAt < kConfirmationTimeout &&
    (now - UnchallengedAt() >= kClaimCheckDelay ||
     HasUnconfirmed(mContacts, std::max(mConfirmedAt, mFencedWriteAt)));
  if (isDue) {
    mIsReadingClaim = true;
    mNextClaimCheckAt = aNow + kClaimCheckInterval;
    net::SpawnTask(mContext.mExecutor, ReadClaim());
  }
}

auto CellHolder::ReadClaim() -> net::Task<void>
{
  const auto self = shared_from_this();
  RangeQuery query;
  query.mTable = std::string(kControlTable);
  query.mFrom = CellKey(mRow.mName);
  query.mLimit = 1;
  const auto sentAt = mContext.mBootNow();
  const auto reply = co_await mContext.mStore.ReadRange(
    std::move(query), base::MonotonicClock::now() + kClaimReadTimeout);
  mIsReadingClaim = false;
  const auto isMine = reply.mOutcome == StoreOutcome::Done &&
                      !reply.mRows.empty() &&
                      reply.mRows.front().mKey == CellKey(mRow.mName) &&
                      reply.mRows.front().mVersion == mRowVersion;
  if (isMine) {
    ConfirmClaim(sentAt);
  }
  CheckClaim(reply);
}

auto CellHolder::NoteAccepted(const std::string& aWorker) -> void
{
  if (!mInheritedMembers.contains(aWorker) ||
      !mAcceptedBy.insert(aWorker).second || mMajorityAcceptedAt ||
      !ExcludesMajority(mAcceptedBy.size(), mInheritedMembers.size())) {
    return;
  }
  mMajorityAcceptedAt = mContext.mBootNow();
  mContext.mLog.Record(
    kMajorityAccepted,
    { { "cell", mRow.mName },
      { "token", static_cast<std::int64_t>(mRowVersion) },
      { "accepted", static_cast<std::int64_t>(mAcceptedBy.size()) },
      { "members", static_cast<std::int64_t>(mInheritedMembers.size()) },
      { "unsettled",
        static_cast<std::int64_t>(mState.mUnreconciledWorkers.size()) } });
}

auto CellHolder::PreviousHolderActsUntil() const
  -> std::optional<base::BootTime>
{
  // The previous holder has reached no majority since, nor written or confirmed
  // anything since the fences were raised.
  return mMajorityAcceptedAt
           ? std::optional(*mMajorityAcceptedAt + kIsolationTimeout)
           : std::nullopt;
}

} // namespace eelgrasspost::dispatch
