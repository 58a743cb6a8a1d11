#pragma once

#include <chrono>
#include <cstdint>

namespace eelgrasspost::base {

/** The clock by which leases and deadlines are judged; never compared between
 * two VMs. */
using MonotonicClock = std::chrono::steady_clock;
using MonotonicTime = MonotonicClock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/** Milliseconds since the Unix epoch by this VM's wall clock; for display and
 * audit only. */
inline auto WallClockMs() -> std::int64_t
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(now).count();
}

/** Whole milliseconds from now until a time; negative when it has passed. */
inline auto RemainingMs(MonotonicTime aUntil) -> std::int64_t
{
  auto left = aUntil - MonotonicClock::now();
  return std::chrono::duration_cast<Milliseconds>(left).count();
}

} // namespace eelgrasspost::base
