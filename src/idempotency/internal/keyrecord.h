#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::idempotency {

/** State of an idempotency key as stored in the table. */
enum class KeyState : std::uint8_t
{
  Claimed,
  Answered,
  NotRun,
  Unknown,
};

inline constexpr auto kKeyStateNames = std::array{
  base::EnumName<KeyState>{ KeyState::Claimed, "claimed" },
  base::EnumName<KeyState>{ KeyState::Answered, "answered" },
  base::EnumName<KeyState>{ KeyState::NotRun, "not_run" },
  base::EnumName<KeyState>{ KeyState::Unknown, "unknown" },
};

/** The row of one idempotency key. */
struct KeyRecord
{
  KeyState mState = KeyState::Claimed;
  /** Unique token of the attempt that claimed the key. */
  std::string mToken;
  std::string mDigest;
  /** Time of the last write by the claimant's wall clock; for expiry only. */
  std::int64_t mClaimedMs = 0;
  /** Encoded response, if it is small. */
  std::string mResponse;
  /** Object store key of the encoded response, if it is large. */
  std::string mObject;
};

auto EncodeRecord(const KeyRecord& aRecord) -> std::string;
auto DecodeRecord(std::string_view aText) -> absl::StatusOr<KeyRecord>;

/** Encodes a response as base64, since the table may reject binary values. */
auto EncodeResponse(const net::HttpResponse& aResponse) -> std::string;
auto DecodeResponse(std::string_view aText)
  -> absl::StatusOr<net::HttpResponse>;

inline constexpr std::string_view kRowPrefix = "idempotency/";

/** Row key of an idempotency key; starts with a hash to spread rows evenly. */
auto RowKeyOf(std::string_view aService, std::string_view aKey) -> std::string;

/** What to do with a claim whose key already has a row. */
enum class ClaimAction : std::uint8_t
{
  /** No request ran under the key: claim it by a write on the row's version. */
  ClaimAgain,
  ReplayRecorded,
  WaitForFirst,
  ReportUnknown,
  ReportReused,
};

auto ChooseClaimAction(const KeyRecord& aRecord, std::string_view aDigest)
  -> ClaimAction;

auto IsExpired(const KeyRecord& aRecord,
               std::int64_t aNowMs,
               base::Milliseconds aRetention) -> bool;

} // namespace eelgrasspost::idempotency
