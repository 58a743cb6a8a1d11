#pragma once

#include <atomic>

#include "keyrecord.h"
#include "resolvedwrite.h"

namespace eelgrasspost::idempotency {

class Claimer : public IIdempotency
{
public:
  Claimer(IdempotencyDependencies aDependencies, IdempotencyOptions aOptions);

  auto Claim(ClaimRequest aRequest) -> net::Task<ClaimResult> override;
  auto Finish(ClaimHandle aHandle,
              RequestOutcome aOutcome,
              net::HttpResponse aResponse) -> void override;
  auto PendingRecordCount() const -> std::size_t override
  {
    return mPendingRecords;
  }
  auto Run() -> net::Task<void> override;

private:
  struct Counters
  {
    base::Counter& mClaims;
    base::Counter& mRecorded;
    base::Counter& mUnknown;
    base::Counter& mRefused;
    base::Counter& mRecordFailures;
  };

  auto ClaimOnExecutor(ClaimRequest aRequest) -> net::Task<ClaimResult>;
  auto TryToClaim(ClaimRequest aRequest) -> net::Task<ClaimResult>;
  /** Returns the result for a key whose row exists, or nullopt if the row's
   * version may be claimed. Waits for a first request that is still running. */
  auto EvaluateExisting(ClaimRequest aRequest, platform::TableRow& aRow)
    -> net::Task<std::optional<ClaimResult>>;
  auto ReplayRecorded(KeyRecord aRecord, base::MonotonicTime aDeadline)
    -> net::Task<ClaimResult>;
  /** Releases a claim with unknown outcome, so that it does not stay claimed if
   * it was or will be applied. */
  auto ReleaseUnresolvedClaim(platform::TableWrite aClaim, KeyRecord aRecord)
    -> net::Task<void>;
  auto Record(ClaimHandle aHandle,
              RequestOutcome aOutcome,
              net::HttpResponse aResponse) -> net::Task<void>;
  auto PutResponse(std::string aObject,
                   std::string aResponse,
                   base::MonotonicTime aDeadline) -> net::Task<bool>;
  auto Sweep(std::string aAfter) -> net::Task<std::string>;
  auto ReadRow(std::string aRow, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::optional<platform::TableRow>>>;
  auto WriteResolved(platform::TableWrite aWrite, base::MonotonicTime aDeadline)
    -> net::Task<ResolvedWrite>;
  auto NewToken() -> std::string;

  IdempotencyDependencies mDependencies;
  IdempotencyOptions mOptions;
  Counters mCounters;
  WriteBatcher mWriter;
  std::uint64_t mTokenCount = 0;
  std::atomic<std::size_t> mPendingRecords{ 0 };
};

} // namespace eelgrasspost::idempotency
