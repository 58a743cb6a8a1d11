#pragma once

#include <absl/status/status.h>

#include "eelgrasspost/base/jsonfields.h"
#include "eelgrasspost/net/http.h"

namespace eelgrasspost::app {

auto JsonReply(unsigned aStatus, const base::json::object& aBody)
  -> net::HttpResponse;
/** {"error": KIND, "message": TEXT} with the HTTP status of its code. */
auto ErrorReply(const absl::Status& aStatus) -> net::HttpResponse;

} // namespace eelgrasspost::app
