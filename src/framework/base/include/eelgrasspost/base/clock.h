#pragma once

#include <chrono>
#include <cstdint>

namespace eelgrasspost::base {

/** Clock of leases and deadlines. Its values must not be compared between VMs.
 */
using MonotonicClock = std::chrono::steady_clock;
using MonotonicTime = MonotonicClock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/** Wall clock time of this VM in milliseconds since the Unix epoch; for display
 * and audit only. */
inline auto WallClockMs() -> std::int64_t
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(now).count();
}

/** Returns the whole milliseconds until a time; negative if it has passed. */
inline auto RemainingMs(MonotonicTime aUntil) -> std::int64_t
{
  auto left = aUntil - MonotonicClock::now();
  return std::chrono::duration_cast<Milliseconds>(left).count();
}

} // namespace eelgrasspost::base
