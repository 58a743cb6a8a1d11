#pragma once

#include <absl/status/status.h>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::app {

/** Returns the deadline of calls that handle an operator's request. */
auto CallDeadline() -> base::MonotonicTime;
auto JsonResponse(unsigned aStatus, const base::json::object& aBody)
  -> net::HttpResponse;
/** Builds a response from a body that is already JSON text. */
auto JsonTextResponse(unsigned aStatus, std::string aText) -> net::HttpResponse;
/** Builds {"error": KIND, "message": TEXT} with the HTTP status that
 * corresponds to the status code. */
auto ErrorResponse(const absl::Status& aStatus) -> net::HttpResponse;

} // namespace eelgrasspost::app
