#include <array>

#include "pages.h"

namespace eelgrasspost::app {

namespace {

constexpr auto kEvents = std::array<base::LogEvent, 0>{};

} // namespace

auto AllLogEvents() -> std::span<const base::LogEvent>
{
  return kEvents;
}

} // namespace eelgrasspost::app
