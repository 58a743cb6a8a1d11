#pragma once

#include <optional>

#include "operatorhandler.h"

namespace eelgrasspost::app {

/** Handles a request about jobs; returns nullopt if the path does not belong to
 * them. */
auto HandleJobsRequest(OperatorContext aContext, net::HttpRequest aRequest)
  -> net::Task<std::optional<net::HttpResponse>>;

} // namespace eelgrasspost::app
