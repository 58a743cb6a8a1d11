#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::routing {

/** Result of routing a request. */
enum class Outcome : std::uint8_t
{
  /** The endpoint's complete response was received. */
  Answered,
  /** No endpoint ran the request; it is safe to retry. */
  NotRun,
  /** The request may have run. */
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
  /** Correlates log lines from the caller to the endpoint. */
  std::string mRequestId;
  /** Empty if the caller sent none. */
  std::string mIdempotencyKey;
  std::string mMethod;
  /** Path and query after the service's prefix. */
  std::string mTarget;
  std::vector<net::HttpField> mFields;
  std::string mBody;
  base::MonotonicTime mDeadline;
  /** When this entry received the request; set by the router. */
  base::MonotonicTime mReceivedAt{};
};

/** How a worker or a peer is selected for a request. */
enum class ChoicePolicy : std::uint8_t
{
  /** The less loaded of two random candidates (power of two choices). */
  TwoChoices,
  /** A random candidate; a baseline for comparison. */
  Random,
  /** The candidate with the lowest known load; a baseline for comparison. */
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
  /** The endpoint's response; set when the outcome is Answered. */
  net::HttpResponse mResponse;
  /** The cause and its remedy; set for all other outcomes. */
  absl::Status mError;
};

} // namespace eelgrasspost::routing
