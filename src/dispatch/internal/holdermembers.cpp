#include <algorithm>

#include "cellholder.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/codec.h"
#include "eelgrasspost/net/iopool.h"
#include "holdertimes.h"
#include "storeaccess.h"

namespace eelgrasspost::dispatch {

namespace {

constexpr auto kPollInterval = Milliseconds(5);
/** Minimum time between two removals of rows of departed workers. */
constexpr auto kMemberRemovalInterval = Milliseconds(500);

} // namespace

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
      const auto found = versions.find(JobKey(id));
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
  // Each row takes two of the 100 items of a transaction.
  constexpr std::size_t kMaxRows = 45;
  for (const auto& [id, it] : mState.mWorkers) {
    if (!IsMember(id) && written.size() < kMaxRows) {
      const auto key = RowKey{ std::string(kMemberTable), JobKey(id) };
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
        written.size() + removed.size() < kMaxRows) {
      const auto key = RowKey{ std::string(kMemberTable), JobKey(id) };
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
      break;
    case StoreOutcome::Refused:
    case StoreOutcome::Rejected:
      mMembers = before;
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

} // namespace eelgrasspost::dispatch
