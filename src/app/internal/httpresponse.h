#pragma once

#include <absl/status/status.h>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::app {

/** Deadline of the calls that an operator's request leads to. */
auto CallDeadline() -> base::MonotonicTime;
auto JsonReply(unsigned aStatus, const base::json::object& aBody)
  -> net::HttpResponse;
/** An answer whose body is JSON text already. */
auto JsonTextReply(unsigned aStatus, std::string aText) -> net::HttpResponse;
/** {"error": KIND, "message": TEXT} with the HTTP status of its code. */
auto ErrorReply(const absl::Status& aStatus) -> net::HttpResponse;

} // namespace eelgrasspost::app
