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

/** State of an idempotency key in the table. */
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
  /** Of the attempt that claimed the key. */
  std::string mToken;
  std::string mDigest;
  /** By the claimant's wall clock; for expiry only. */
  std::int64_t mClaimedMs = 0;
  /** Encoded answer, when it is small. */
  std::string mAnswer;
  /** Key of the encoded answer in the object store, when it is large. */
  std::string mObject;
};

auto EncodeRecord(const KeyRecord& aRecord) -> std::string;
auto DecodeRecord(std::string_view aText) -> absl::StatusOr<KeyRecord>;

/** Answers as text without bytes that a table could refuse. */
auto EncodeAnswer(const net::HttpResponse& aAnswer) -> std::string;
auto DecodeAnswer(std::string_view aText) -> absl::StatusOr<net::HttpResponse>;

inline constexpr std::string_view kRowPrefix = "idempotency/";

/** Row of a key; begins with a hash, so that rows spread evenly. */
auto RowOf(std::string_view aService, std::string_view aKey) -> std::string;

/** What to do about a key whose row exists. */
enum class ClaimStep : std::uint8_t
{
  /** Nothing ran under it: claim it by a write on the row's version. */
  ClaimAnew,
  GiveRecorded,
  WaitForFirst,
  SayUnknown,
  SayReused,
};

auto DecideClaim(const KeyRecord& aRecord, std::string_view aDigest)
  -> ClaimStep;

auto IsExpired(const KeyRecord& aRecord,
               std::int64_t aNowMs,
               base::Milliseconds aRetention) -> bool;

} // namespace eelgrasspost::idempotency
