#pragma once

#include <vector>

#include "eelgrasspost/net/http.h"

namespace eelgrasspost::routing {

/**
 * Header fields of a caller's request to pass to the endpoint. Removes
 * hop-by-hop fields and the control fields that the entry itself sends, so that
 * a caller cannot forge a fencing token or an attempt id.
 */
auto FilterRequestFields(const std::vector<net::HttpField>& aFields)
  -> std::vector<net::HttpField>;

/** Header fields of an endpoint's response to pass to the caller. */
auto FilterResponseFields(const std::vector<net::HttpField>& aFields)
  -> std::vector<net::HttpField>;

} // namespace eelgrasspost::routing
