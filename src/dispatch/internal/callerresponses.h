#pragma once

#include <algorithm>
#include <cstdint>

#include "eelgrasspost/base/clock.h"
#include "eelgrasspost/dispatch/iplatform.h"

namespace eelgrasspost::dispatch {

using base::Milliseconds;

/** Delay before a command is retried at the cell's next holder. */
inline constexpr auto kHolderRetryInterval = Milliseconds(60);

inline auto RemainingTimeoutMs(base::MonotonicTime aDeadline) -> std::int64_t
{
  return std::max<std::int64_t>(0, base::RemainingMs(aDeadline));
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
