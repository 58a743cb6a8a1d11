#include <algorithm>

#include "controlkeys.h"
#include "dispatchentry.h"
#include "eelgrasspost/dispatch/peerlogevents.h"
#include "eelgrasspost/net/codec.h"
#include "holdertimes.h"

namespace eelgrasspost::dispatch {

namespace {

auto ConfiguredPartitions(const DispatchSettings& aSettings) -> std::uint32_t
{
  const auto partitions = aSettings.mStoreWritesPerS /
                          std::max(1.0, aSettings.mStorePartitionWritesPerS);
  return std::max(1U, static_cast<std::uint32_t>(partitions));
}

} // namespace

auto DispatchEntry::AgreeOnPartitions() -> net::Task<void>
{
  const auto configured = ConfiguredPartitions(mSettings);
  while (true) {
    const auto outcome = co_await TryAgreeOnPartitions(configured);
    if (outcome == StoreOutcome::Done) {
      break;
    }
    if (outcome != StoreOutcome::Conflict) {
      co_await net::Sleep(kRetryInterval);
    }
  }
  mLog.Record(kPartitionsAgreed,
              { { "parts", static_cast<std::int64_t>(mPartitions) },
                { "configured", static_cast<std::int64_t>(configured) } });
}

auto DispatchEntry::TryAgreeOnPartitions(std::uint32_t aConfigured)
  -> net::Task<StoreOutcome>
{
  const auto key =
    RowKey{ std::string(kControlTable), std::string(kPartitionsKey) };
  RangeQuery query;
  query.mTable = key.mTable;
  query.mFrom = key.mKey;
  query.mLimit = 1;
  const auto reply = co_await mStore.ReadRange(
    query, base::MonotonicClock::now() + kStoreTimeout);
  if (reply.mOutcome != StoreOutcome::Done) {
    co_return reply.mOutcome;
  }
  std::uint64_t version = 0;
  if (!reply.mRows.empty() && reply.mRows.front().mKey == key.mKey) {
    version = reply.mRows.front().mVersion;
    const auto row = net::Decode<PartitionsRow>(reply.mRows.front().mValue);
    if (row.ok() && row->mCount > 0) {
      mPartitions = row->mCount;
      co_return StoreOutcome::Done;
    }
  }
  const auto used = co_await CountUsedPartitions();
  if (!used) {
    co_return StoreOutcome::Unknown;
  }
  const auto count = *used > 0 ? *used : aConfigured;
  StoreTransaction transaction;
  transaction.mExpected.push_back({ key, version });
  transaction.mWrites.push_back({ key, net::Encode(PartitionsRow{ count }) });
  const auto written = co_await mStore.Commit(
    std::move(transaction), base::MonotonicClock::now() + kStoreTimeout);
  if (written.mOutcome == StoreOutcome::Done) {
    mPartitions = count;
  }
  co_return written.mOutcome;
}

auto DispatchEntry::CountUsedPartitions()
  -> net::Task<std::optional<std::uint32_t>>
{
  // Each holder writes a fence in all partitions before it reads jobs.
  for (std::uint32_t out = 0;; ++out) {
    RangeQuery query;
    query.mTable = std::string(kFenceTable);
    query.mPartition = PartitionName(out);
    query.mLimit = 1;
    const auto reply = co_await mStore.ReadRange(
      query, base::MonotonicClock::now() + kStoreTimeout);
    if (reply.mOutcome != StoreOutcome::Done) {
      co_return std::nullopt;
    }
    if (reply.mRows.empty()) {
      co_return out;
    }
  }
}

} // namespace eelgrasspost::dispatch
