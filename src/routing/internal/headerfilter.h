#pragma once

#include <vector>

#include "eelgrasspost/net/http.h"

namespace eelgrasspost::routing {

/**
 * The fields of a caller's request that go on to the endpoint: without those
 * of the connection (hop-by-hop) and without those by which the system speaks
 * to endpoints, so that no caller forges a fencing token or an attempt id.
 */
auto FilterRequestFields(const std::vector<net::HttpField>& aFields)
  -> std::vector<net::HttpField>;

/** The fields of an endpoint's answer that go back to the caller. */
auto FilterResponseFields(const std::vector<net::HttpField>& aFields)
  -> std::vector<net::HttpField>;

} // namespace eelgrasspost::routing
