#pragma once

#include <mutex>

#include "eelgrasspost/platform/storeclient.h"

namespace eelgrasspost::platform {

class StoreClient : public IStoreClient
{
public:
  StoreClient(ITable& aTable,
              base::Metrics& aMetrics,
              StoreClientOptions aOptions);

  auto SetEntryCount(std::size_t aCount) -> void override;
  auto Read(TableUse aUse, std::string aKey, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::optional<TableRow>>> override;
  auto Scan(TableUse aUse,
            std::string aPrefix,
            std::string aAfter,
            std::size_t aLimit,
            base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::vector<TableRow>>> override;
  auto Commit(TableUse aUse,
              std::vector<TableWrite> aWrites,
              base::MonotonicTime aDeadline)
    -> net::Task<absl::Status> override;

private:
  struct TableUseCounters
  {
    base::Counter* mReads;
    base::Counter* mWrites;
    base::Counter* mConflicts;
    base::Counter* mUnknowns;
    base::Counter* mRefused;
    base::Counter* mRetries;
  };

  auto CountersOf(TableUse aUse) -> TableUseCounters&;
  /** Waits for a token; fails with kStoreBusy if the deadline would pass. */
  auto Admit(TableUseBuckets& aBuckets,
             TableUse aUse,
             base::MonotonicTime aDeadline) -> net::Task<absl::Status>;
  /** Returns whether to retry, after waiting for the backoff if so. */
  auto WaitToRetry(TableUse aUse, int aRetry, base::MonotonicTime aDeadline)
    -> net::Task<bool>;
  auto RecordSuccess() -> void;
  auto AttemptDeadline(base::MonotonicTime aDeadline) const
    -> base::MonotonicTime;
  /** Resolves the outcome of a commit by reading its rows back. */
  auto ResolveCommit(TableUse aUse,
                     const std::vector<TableWrite>& aWrites,
                     base::MonotonicTime aDeadline) -> net::Task<CommitOutcome>;

  ITable& mTable;
  StoreClientOptions mOptions;
  std::array<TableUseCounters, kTableUseCount> mCounters;
  std::mutex mMutex;
  TableUseBuckets mReadBuckets;
  TableUseBuckets mWriteBuckets;
  RetryBudget mRetries;
  std::minstd_rand mRandom;
};

} // namespace eelgrasspost::platform
