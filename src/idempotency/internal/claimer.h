#pragma once

#include <atomic>

#include "keyrecord.h"
#include "resolvedwrite.h"

namespace eelgrasspost::idempotency {

class Claimer : public IIdempotency
{
public:
  Claimer(IdempotencyParts aParts, IdempotencyOptions aOptions);

  auto Claim(KeyClaim aClaim) -> net::Task<ClaimResult> override;
  auto Finish(ClaimTicket aTicket, RunEnd aEnd, net::HttpResponse aAnswer)
    -> void override;
  auto Recording() const -> std::size_t override { return mRecording; }
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

  auto ClaimAtHome(KeyClaim aClaim) -> net::Task<ClaimResult>;
  auto TryToClaim(KeyClaim aClaim) -> net::Task<ClaimResult>;
  /** What a row that exists means for a caller; nothing when its version may
   * be claimed. Waits for a request under way. */
  auto JudgeExisting(KeyClaim aClaim, platform::TableRow& aRow)
    -> net::Task<std::optional<ClaimResult>>;
  auto GiveRecorded(KeyRecord aRecord, base::MonotonicTime aDeadline)
    -> net::Task<ClaimResult>;
  /** Makes sure that a claim that may have been written is released. */
  auto ReleaseLater(platform::TableWrite aClaim, KeyRecord aRecord)
    -> net::Task<void>;
  auto Record(ClaimTicket aTicket, RunEnd aEnd, net::HttpResponse aAnswer)
    -> net::Task<void>;
  auto PutAnswer(std::string aObject,
                 std::string aAnswer,
                 base::MonotonicTime aDeadline) -> net::Task<bool>;
  auto Sweep(std::string aAfter) -> net::Task<std::string>;
  auto ReadRow(std::string aRow, base::MonotonicTime aDeadline)
    -> net::Task<absl::StatusOr<std::optional<platform::TableRow>>>;
  auto Settle(platform::TableWrite aWrite, base::MonotonicTime aDeadline)
    -> net::Task<Settled>;
  auto NewToken() -> std::string;

  IdempotencyParts mParts;
  IdempotencyOptions mOptions;
  Counters mCounters;
  GroupWriter mWriter;
  std::uint64_t mTokens = 0;
  std::atomic<std::size_t> mRecording{ 0 };
};

} // namespace eelgrasspost::idempotency
