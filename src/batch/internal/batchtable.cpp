#include "batchtable.h"

namespace eelgrasspost::batch {

namespace {

using platform::TableUse;

constexpr std::size_t kRowsPerPage = 500;

} // namespace

BatchTable::BatchTable(platform::ITable& aTable,
                       base::Metrics& aMetrics,
                       base::Milliseconds aTimeout)
  : mTable(aTable)
  , mTimeout(aTimeout)
  , mReads(aMetrics.FindCounter("batch_store_reads_total"))
  , mCommits(aMetrics.FindCounter("batch_store_commits_total"))
  , mRows(aMetrics.FindCounter("batch_store_rows_written_total"))
{
}

auto BatchTable::Deadline() const -> base::MonotonicTime
{
  return base::MonotonicClock::now() + mTimeout;
}

auto BatchTable::Read(std::string aKey)
  -> net::Task<absl::StatusOr<std::optional<platform::TableRow>>>
{
  mReads.Add();
  return mTable.Read(TableUse::Batch, std::move(aKey), Deadline());
}

auto BatchTable::ScanPage(std::string aPrefix, std::string aAfter)
  -> net::Task<absl::StatusOr<std::vector<platform::TableRow>>>
{
  mReads.Add();
  return mTable.Scan(TableUse::Batch,
                     std::move(aPrefix),
                     std::move(aAfter),
                     kRowsPerPage,
                     Deadline());
}

auto BatchTable::ScanAll(std::string aPrefix)
  -> net::Task<absl::StatusOr<std::vector<platform::TableRow>>>
{
  std::vector<platform::TableRow> out;
  std::string after;
  while (true) {
    auto page = co_await ScanPage(aPrefix, after);
    if (!page.ok()) {
      co_return page.status();
    }
    const auto isLast = page->size() < kRowsPerPage;
    for (auto& it : *page) {
      out.push_back(std::move(it));
    }
    if (isLast) {
      co_return out;
    }
    after = out.back().mKey;
  }
}

auto BatchTable::Commit(std::vector<platform::TableWrite> aWrites)
  -> net::Task<absl::Status>
{
  mCommits.Add();
  mRows.Add(aWrites.size());
  return mTable.Commit(TableUse::Batch, std::move(aWrites), Deadline());
}

} // namespace eelgrasspost::batch
