#include <algorithm>

#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/dispatch/storelogevents.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"
#include "workerkeys.h"

namespace eelgrasspost::dispatch {

namespace {

constexpr auto kPollInterval = Milliseconds(5);
/** Minimum time between two removals of rows of departed workers. */
constexpr auto kMemberRemovalInterval = Milliseconds(500);
/** Rows of members in one transaction, of which each takes two of 100 items. */
constexpr std::size_t kMaxMemberRows = 45;
/** A row that the store has rejected is not sent again for this time. */
constexpr auto kRejectedMemberTime = Milliseconds(30000);

} // namespace

auto CellHolder::MemberKey(std::string_view aWorker) const -> std::string
{
  return WorkerKey(mRow.mName + "/", aWorker);
}

auto CellHolder::IsMember(const std::string& aWorker) const -> bool
{
  const auto it = mMembers.find(aWorker);
  return it != mMembers.end() && !it->second.mIsUncertain;
}

/** Runs before a worker gets its first order, so that the next holder knows of
 * the worker. Writes run one at a time. */
auto CellHolder::WriteMembers() -> net::Task<void>
{
  const auto self = shared_from_this();
  while (mIsWritingMembers) {
    co_await net::Sleep(kPollInterval);
  }
  mIsWritingMembers = true;
  if (co_await ReadUncertainMembers()) {
    co_await WriteChangedMembers();
  }
  mIsWritingMembers = false;
}

auto CellHolder::RemoveDepartedMembers(MonotonicTime aNow) -> void
{
  const auto hasDeparted =
    std::any_of(mMembers.begin(), mMembers.end(), [&](const auto& aItem) {
      return !mState.mWorkers.contains(aItem.first);
    });
  if (hasDeparted && !mIsWritingMembers && aNow >= mNextMemberRemovalAt) {
    mNextMemberRemovalAt = aNow + kMemberRemovalInterval;
    net::SpawnTask(mContext.mExecutor, WriteMembers());
  }
}

/** Reads the versions of the rows whose last write got no reply or failed. */
auto CellHolder::ReadUncertainMembers() -> net::Task<bool>
{
  const auto isAnyUncertain =
    std::any_of(mMembers.begin(), mMembers.end(), [](const auto& aItem) {
      return aItem.second.mIsUncertain;
    });
  if (!isAnyUncertain) {
    co_return true;
  }
  const auto rows = co_await ReadPrefix(std::string(kMemberTable),
                                        PartitionName(PartitionOf(mRow.mName)));
  if (!rows) {
    co_return false;
  }
  std::map<std::string, std::uint64_t> versions;
  for (const auto& it : *rows) {
    versions[it.mKey] = it.mVersion;
  }
  for (auto& [id, it] : mMembers) {
    if (it.mIsUncertain) {
      const auto found = versions.find(MemberKey(id));
      it.mVersion = found == versions.end() ? 0 : found->second;
    }
  }
  std::erase_if(mMembers, [&](const auto& aItem) {
    return aItem.second.mVersion == 0 && !mState.mWorkers.contains(aItem.first);
  });
  co_return true;
}

auto CellHolder::WriteChangedMembers() -> net::Task<void>
{
  const auto partition = PartitionOf(mRow.mName);
  const auto before = mMembers;
  StoreTransaction transaction;
  transaction.mPartition = PartitionName(partition);
  transaction.mExpected.push_back(FenceOf(partition));
  std::vector<std::string> written;
  std::vector<std::string> removed;
  auto addsRows = false;
  const auto now = base::MonotonicClock::now();
  std::erase_if(mRejectedMembers,
                [&](const auto& aItem) { return now >= aItem.second; });
  const auto maxRows = std::min(mMemberRowLimit, kMaxMemberRows);
  for (const auto& [id, it] : mState.mWorkers) {
    if (!IsMember(id) && !mRejectedMembers.contains(id) &&
        written.size() < maxRows) {
      const auto key = RowKey{ std::string(kMemberTable), MemberKey(id) };
      auto& row = mMembers[id];
      row.mIsUncertain = true;
      addsRows = addsRows || row.mVersion == 0;
      written.push_back(id);
      transaction.mExpected.push_back({ key, row.mVersion });
      transaction.mWrites.push_back({ key, net::Encode(it->mRecord) });
    }
  }
  for (auto& [id, it] : mMembers) {
    if (!mState.mWorkers.contains(id) &&
        written.size() + removed.size() < maxRows) {
      const auto key = RowKey{ std::string(kMemberTable), MemberKey(id) };
      it.mIsUncertain = true;
      removed.push_back(id);
      transaction.mExpected.push_back({ key, it.mVersion });
      transaction.mRemovals.push_back(key);
    }
  }
  if (written.empty() && removed.empty()) {
    co_return;
  }
  const auto sentAt = mContext.mBootNow();
  const auto reply = co_await mContext.mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  switch (reply.mOutcome) {
    case StoreOutcome::Done:
      NoteFencedWrite(sentAt);
      for (const auto& it : written) {
        mMembers[it] = { reply.mVersion, false };
      }
      for (const auto& it : removed) {
        mMembers.erase(it);
      }
      mMemberRowLimit = std::min(2 * maxRows, kMaxMemberRows);
      break;
    case StoreOutcome::Refused:
      mMembers = before;
      break;
    case StoreOutcome::Rejected:
      mMembers = before;
      // The row at fault is found by halving; the others are written then.
      mMemberRowLimit = std::max<std::size_t>(1, written.size() / 2);
      if (written.size() == 1 && removed.empty()) {
        RejectMember(written[0], reply);
      }
      break;
    case StoreOutcome::Conflict:
      CheckFence(reply);
      break;
    default:
      if (addsRows) {
        mMemberWritesSettledAt = base::MonotonicClock::now() + kMaxWriteDelay;
      }
  }
}

/** A worker without a row gets no orders; see IsMember. */
auto CellHolder::RejectMember(const std::string& aWorker,
                              const StoreReply& aReply) -> void
{
  mRejectedMembers[aWorker] = base::MonotonicClock::now() + kRejectedMemberTime;
  mContext.mLog.Record(kMemberRejected,
                       { { "cell", mRow.mName },
                         { "worker", aWorker },
                         { "reason", aReply.mError } });
}

} // namespace eelgrasspost::dispatch
