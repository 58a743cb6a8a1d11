#include <algorithm>

#include "controlkeys.h"
#include "dispatchentry.h"
#include "eelgrasspost/dispatch/peerlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "holdertimes.h"
#include "rangepages.h"

namespace eelgrasspost::dispatch {

auto DispatchEntry::RegisterEntry() -> net::Task<void>
{
  co_await AgreeOnPartitions();
  const auto clockMs = static_cast<std::uint64_t>(base::WallClockMs());
  while (mIncarnation == 0) {
    const auto former = co_await ReadEntryRow();
    if (former) {
      // The clock may have been set back since the former process started.
      const auto incarnation = std::max(former->mIncarnation + 1, clockMs);
      // A write without a reply must not succeed after the next one.
      const auto reply = co_await WriteEntryRow(incarnation, former->mVersion);
      if (reply.mOutcome == StoreOutcome::Done) {
        mIncarnation = incarnation;
        mEntryRowVersion = reply.mVersion;
        mLog.Record(kEntryRegistered,
                    { { "incarnation", static_cast<std::int64_t>(incarnation) },
                      { "former_incarnation",
                        static_cast<std::int64_t>(former->mIncarnation) },
                      { "clock_ms", static_cast<std::int64_t>(clockMs) } });
        mPeers.SendSoon();
        co_return;
      }
    }
    co_await net::Sleep(kRetryInterval);
  }
}

auto DispatchEntry::ReadEntryRow() -> net::Task<std::optional<RegisteredRow>>
{
  RangeQuery query;
  query.mTable = std::string(kControlTable);
  query.mFrom = EntryKey(mSettings.mName);
  query.mLimit = 1;
  const auto reply = co_await mStore.ReadRange(
    query, base::MonotonicClock::now() + kStoreTimeout);
  if (reply.mOutcome != StoreOutcome::Done) {
    co_return std::nullopt;
  }
  RegisteredRow out;
  if (!reply.mRows.empty() && reply.mRows.front().mKey == query.mFrom) {
    const auto& row = reply.mRows.front();
    out.mVersion = row.mVersion;
    if (const auto entry = net::Decode<EntryRow>(row.mValue); entry.ok()) {
      out.mIsReadable = true;
      out.mIncarnation = entry->mIncarnation;
      co_return out;
    }
  }
  const auto held = co_await ReadHeldIncarnation();
  if (!held) {
    co_return std::nullopt;
  }
  out.mIncarnation = *held;
  co_return out;
}

auto DispatchEntry::ReadHeldIncarnation()
  -> net::Task<std::optional<std::uint64_t>>
{
  std::uint64_t out = 0;
  RangeQuery query;
  query.mTable = std::string(kControlTable);
  query.mFrom = std::string(kCellPrefix);
  query.mBefore = query.mFrom;
  ++query.mBefore.back();
  for (auto hasMore = true; hasMore;) {
    const auto reply = co_await mStore.ReadRange(
      query, base::MonotonicClock::now() + kStoreTimeout);
    if (reply.mOutcome != StoreOutcome::Done) {
      co_return std::nullopt;
    }
    for (const auto& it : reply.mRows) {
      const auto cell = net::Decode<CellRow>(it.mValue);
      if (cell.ok() && cell->mHolder == mSettings.mName) {
        out = std::max(out, cell->mHolderIncarnation);
      }
    }
    hasMore = ContinueAfter(query, reply);
  }
  co_return out;
}

auto DispatchEntry::WriteEntryRow(std::uint64_t aIncarnation,
                                  std::uint64_t aVersion)
  -> net::Task<StoreReply>
{
  const auto key =
    RowKey{ std::string(kControlTable), EntryKey(mSettings.mName) };
  const auto row = EntryRow{ mSettings.mName,
                             aIncarnation,
                             mSettings.mDomain,
                             mSettings.mPeers,
                             mSettings.mCpuShare };
  StoreTransaction transaction;
  transaction.mExpected.push_back({ key, aVersion });
  transaction.mWrites.push_back({ key, net::Encode(row) });
  co_return co_await mStore.Commit(std::move(transaction),
                                   base::MonotonicClock::now() + kStoreTimeout);
}

auto DispatchEntry::KeepEntryRow() -> net::Task<void>
{
  if (mIncarnation == 0 || std::exchange(mIsKeepingEntryRow, true)) {
    co_return;
  }
  for (auto isKept = false; !isKept;) {
    const auto row = co_await ReadEntryRow();
    // A higher one would be of a later process under this name.
    isKept = row && row->mIsReadable && row->mIncarnation >= mIncarnation;
    if (row && !isKept) {
      const auto reply = co_await WriteEntryRow(mIncarnation, row->mVersion);
      isKept = reply.mOutcome == StoreOutcome::Done;
      if (isKept) {
        mEntryRowVersion = reply.mVersion;
        mLog.Record(
          kEntryRowReplaced,
          { { "incarnation", static_cast<std::int64_t>(mIncarnation) },
            { "found", static_cast<std::int64_t>(row->mIncarnation) } });
      }
    }
    if (!isKept) {
      co_await net::Sleep(kRetryInterval);
    }
  }
  mIsKeepingEntryRow = false;
}

auto DispatchEntry::OnEntryRow(const StoreRow& aRow) -> void
{
  const auto row = net::Decode<EntryRow>(aRow.mValue);
  if (aRow.mKey == EntryKey(mSettings.mName)) {
    const auto isOwn = row.ok() && row->mIncarnation == mIncarnation;
    if (!isOwn && aRow.mVersion > mEntryRowVersion) {
      net::SpawnTask(mPool.Executor(0), KeepEntryRow());
    }
  } else if (row.ok() && aRow.mKey == EntryKey(row->mName)) {
    mPeers.Update(*row);
  }
}

} // namespace eelgrasspost::dispatch
