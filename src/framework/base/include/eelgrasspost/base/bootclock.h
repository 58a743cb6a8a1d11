#pragma once

#include <chrono>
#include <ctime>

namespace eelgrasspost::base {

/** Steady clock that also counts the time for which the VM was suspended, which
 * MonotonicClock leaves out. Used for permissions that others may consider
 * expired meanwhile. Read by BootNow(). */
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
};
using BootTime = std::chrono::time_point<BootClock>;

inline auto BootNow() -> BootTime
{
  std::timespec out{};
  clock_gettime(CLOCK_BOOTTIME, &out);
  return BootTime(std::chrono::seconds(out.tv_sec) +
                  std::chrono::nanoseconds(out.tv_nsec));
}

} // namespace eelgrasspost::base
