#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/dispatch/iplatform.h"

namespace eelgrasspost::dispatch {

using base::Milliseconds;

/** Delay before a command is retried at the cell's next holder. */
inline constexpr auto kHolderRetryInterval = Milliseconds(60);

/** Retry delay sent with refused requests; a takeover or a short outage is
 * usually over by then. */
inline constexpr auto kRetryAfter = Milliseconds(1000);

inline auto RemainingTimeoutMs(base::MonotonicTime aDeadline) -> std::int64_t
{
  return std::max<std::int64_t>(0, base::RemainingMs(aDeadline));
}

inline auto MakeNotRunResponse(std::string aError) -> CallerResponse
{
  CallerResponse out;
  out.mOutcome = CallerOutcome::NotRun;
  out.mRetryAfter = kRetryAfter;
  out.mError = std::move(aError);
  return out;
}

inline auto MakeAcceptedResponse() -> CallerResponse
{
  CallerResponse out;
  out.mOutcome = CallerOutcome::Accepted;
  return out;
}

/** The outcome of a request is not known by its deadline. */
inline auto MakeUncertainResponse() -> CallerResponse
{
  CallerResponse out;
  out.mOutcome = CallerOutcome::Uncertain;
  out.mError = "the outcome is not known yet; retry with the same id";
  return out;
}

} // namespace eelgrasspost::dispatch
