#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::routing {

/** What became of a request. */
enum class Outcome : std::uint8_t
{
  /** The endpoint's whole answer is at hand. */
  Answered,
  /** No endpoint ran it; it is safe to send again. */
  NotRun,
  /** It may have run. */
  Unknown,
};

inline constexpr auto kOutcomeNames = std::array{
  base::EnumName<Outcome>{ Outcome::Answered, "answered" },
  base::EnumName<Outcome>{ Outcome::NotRun, "not_run" },
  base::EnumName<Outcome>{ Outcome::Unknown, "unknown" },
};

/** A caller's request to a service. */
struct ServiceRequest
{
  std::string mService;
  /** Identifies the request in logs from caller to endpoint. */
  std::string mRequestId;
  /** Empty when the caller gave none. */
  std::string mIdempotencyKey;
  std::string mMethod;
  /** Path and query below the service. */
  std::string mTarget;
  std::vector<net::HttpField> mFields;
  std::string mBody;
  base::MonotonicTime mDeadline;
  /** When the router of this entry got it; set by the router. */
  base::MonotonicTime mReceivedAt{};
};

/** How a worker or a peer is chosen. */
enum class ChoicePolicy : std::uint8_t
{
  /** The less loaded of two random candidates. */
  TwoChoices,
  /** Any candidate; a baseline. */
  Random,
  /** The least loaded by what is known; a baseline. */
  LeastLoaded,
};

inline constexpr auto kChoicePolicyNames = std::array{
  base::EnumName<ChoicePolicy>{ ChoicePolicy::TwoChoices, "p2c" },
  base::EnumName<ChoicePolicy>{ ChoicePolicy::Random, "random" },
  base::EnumName<ChoicePolicy>{ ChoicePolicy::LeastLoaded, "least" },
};

struct RouterOptions
{
  ChoicePolicy mPolicy = ChoicePolicy::TwoChoices;
};

struct ServiceOutcome
{
  Outcome mOutcome = Outcome::NotRun;
  /** The endpoint's answer, when answered. */
  net::HttpResponse mResponse;
  /** Why not, and the remedy, when not answered. */
  absl::Status mError;
};

} // namespace eelgrasspost::routing
