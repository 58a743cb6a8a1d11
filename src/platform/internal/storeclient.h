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

  auto SetEntries(std::size_t aCount) -> void override;
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
  struct UseCounters
  {
    base::Counter* mReads;
    base::Counter* mWrites;
    base::Counter* mConflicts;
    base::Counter* mUnknowns;
    base::Counter* mRefused;
    base::Counter* mRetries;
  };

  auto Of(TableUse aUse) -> UseCounters&;
  /** Waits for a token; kStoreBusy when none comes in time. */
  auto Admit(UseBuckets& aBuckets, TableUse aUse, base::MonotonicTime aDeadline)
    -> net::Task<absl::Status>;
  /** Whether to try again; waits for the backoff if so. */
  auto MayRetry(TableUse aUse, int aRetry, base::MonotonicTime aDeadline)
    -> net::Task<bool>;
  auto OnAnswer() -> void;
  auto AttemptDeadline(base::MonotonicTime aDeadline) const
    -> base::MonotonicTime;
  /** Reads the rows of a commit back and judges it. */
  auto Settle(TableUse aUse,
              const std::vector<TableWrite>& aWrites,
              base::MonotonicTime aDeadline) -> net::Task<CommitVerdict>;

  ITable& mTable;
  StoreClientOptions mOptions;
  std::array<UseCounters, kTableUses> mCounters;
  std::mutex mMutex;
  UseBuckets mReadBuckets;
  UseBuckets mWriteBuckets;
  RetryBudget mRetries;
  std::minstd_rand mRandom;
};

} // namespace eelgrasspost::platform
