#pragma once

#include "eelgrasspost/base/logging.h"

namespace eelgrasspost::net {

inline constexpr auto kHandlerFailed = base::LogEvent{
  100,
  base::LogLevel::Error,
  "an unexpected error ended the handling of a request or message",
  "report the detail as a fault; other requests are not affected",
};

} // namespace eelgrasspost::net
