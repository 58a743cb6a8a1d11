#pragma once

#include <cstdint>
#include <string>

#include <absl/status/status.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::idempotency {

/** Asks to run a request under an idempotency key. */
struct ClaimRequest
{
  std::string mService;
  std::string mKey;
  /** Detects that a key is reused for a different request. */
  std::string mDigest;
  base::MonotonicTime mDeadline;
};

enum class ClaimOutcome : std::uint8_t
{
  /** The caller holds the claim and may dispatch the request once. */
  Claimed,
  /** The first request under the key was answered; its response is replayed. */
  Recorded,
  /** The key was used for a different request. */
  OtherRequest,
  /** The first request under the key may have run; its response is unknown. */
  Unknown,
  /** The key could not be claimed; nothing was dispatched. */
  Refused,
};

/** Identifies a claim; passed to IIdempotency::Finish. */
struct ClaimHandle
{
  std::string mRow;
  std::string mToken;
  std::string mDigest;
  /** Row version that the claim wrote. */
  std::uint64_t mVersion = 0;
};

struct ClaimResult
{
  ClaimOutcome mOutcome = ClaimOutcome::Refused;
  /** Set if Claimed. */
  ClaimHandle mHandle;
  /** Set if Recorded. */
  net::HttpResponse mResponse;
  /** Reason and remedy for all other outcomes. */
  absl::Status mError;
};

/** Outcome of a claimed request. */
enum class RequestOutcome : std::uint8_t
{
  Answered,
  NotRun,
  Unknown,
};

} // namespace eelgrasspost::idempotency
