#pragma once

#include <chrono>
#include <ctime>

namespace eelgrasspost::base {

/** Steady clock that also counts the time for which the VM was suspended, which
 * MonotonicClock leaves out. Used for permissions that others may consider
 * expired meanwhile. */
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static auto now() -> time_point
  {
    std::timespec out{};
    clock_gettime(CLOCK_BOOTTIME, &out);
    return time_point(std::chrono::seconds(out.tv_sec) +
                      std::chrono::nanoseconds(out.tv_nsec));
  }
};
using BootTime = BootClock::time_point;

} // namespace eelgrasspost::base
