#pragma once

#include <exception>
#include <optional>
#include <string_view>

#include "eelgrasspost/base/logging.h"
#include "eelgrasspost/base/text.h"
#include "eelgrasspost/net/iopool.h"
#include "eelgrasspost/net/netlogevents.h"

namespace eelgrasspost::net {

/** Logs the exception that is being handled. */
inline auto LogHandlerError(std::string_view aWhat) -> void
{
  try {
    throw;
  } catch (const std::exception& e) {
    base::Log(kHandlerFailed, base::Cat(aWhat, ": ", e.what()));
  } catch (...) {
    base::Log(kHandlerFailed, base::Cat(aWhat, ": unknown exception"));
  }
}

/** Awaits aCall(), a handler of one request or message. An exception is logged
 * and ends only this call, which then has no value; otherwise it would end the
 * process. */
template<typename T, typename Call>
auto RunIsolated(std::string_view aWhat, Call aCall) -> Task<std::optional<T>>
{
  try {
    co_return co_await aCall();
  } catch (...) {
    LogHandlerError(aWhat);
  }
  co_return std::nullopt;
}

} // namespace eelgrasspost::net
