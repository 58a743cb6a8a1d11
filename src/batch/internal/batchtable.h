#pragma once

#include "eelgrasspost/batch/batchmodule.h"

namespace eelgrasspost::batch {

/** Access to the table for batch jobs; counts reads, commits and written
 * rows. */
class BatchTable
{
public:
  BatchTable(platform::ITable& aTable,
             base::Metrics& aMetrics,
             base::Milliseconds aTimeout);

  auto Read(std::string aKey)
    -> net::Task<absl::StatusOr<std::optional<platform::TableRow>>>;
  /** Reads all rows with a prefix, page by page. */
  auto ScanAll(std::string aPrefix)
    -> net::Task<absl::StatusOr<std::vector<platform::TableRow>>>;
  /** Reads one page of rows with a prefix that follow a key. */
  auto ScanPage(std::string aPrefix, std::string aAfter)
    -> net::Task<absl::StatusOr<std::vector<platform::TableRow>>>;
  auto Commit(std::vector<platform::TableWrite> aWrites)
    -> net::Task<absl::Status>;

private:
  auto Deadline() const -> base::MonotonicTime;

  platform::ITable& mTable;
  base::Milliseconds mTimeout;
  base::Counter& mReads;
  base::Counter& mCommits;
  base::Counter& mRows;
};

} // namespace eelgrasspost::batch
