#pragma once

#include <cstdint>
#include <string>

#include <absl/status/status.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::idempotency {

/** A caller's wish to run a request under an idempotency key. */
struct KeyClaim
{
  std::string mService;
  std::string mKey;
  /** Tells two requests under one key apart. */
  std::string mDigest;
  base::MonotonicTime mDeadline;
};

enum class ClaimVerdict : std::uint8_t
{
  /** The key is this caller's; the request may be dispatched once. */
  Claimed,
  /** The first request under the key was answered; here is its answer. */
  Recorded,
  /** The key was used with another request. */
  OtherRequest,
  /** The first request under the key may have run; its answer is not known. */
  Unknown,
  /** The key could not be claimed; nothing was dispatched. */
  Refused,
};

/** Proof of a claim; handed back when the request has ended. */
struct ClaimTicket
{
  std::string mRow;
  std::string mToken;
  std::string mDigest;
  /** Version of the row that holds the claim. */
  std::uint64_t mVersion = 0;
};

struct ClaimResult
{
  ClaimVerdict mVerdict = ClaimVerdict::Refused;
  /** When claimed. */
  ClaimTicket mTicket;
  /** When recorded. */
  net::HttpResponse mAnswer;
  /** Why not, and the remedy, in the other cases. */
  absl::Status mError;
};

/** How a claimed request ended. */
enum class RunEnd : std::uint8_t
{
  Answered,
  NotRun,
  Unknown,
};

} // namespace eelgrasspost::idempotency
