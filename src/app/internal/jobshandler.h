#pragma once

#include <optional>

#include "operatorhandler.h"

namespace eelgrasspost::app {

/** Answers a request for jobs; nothing when the path is none of theirs. */
auto AnswerJobs(OperatorParts aParts, net::HttpRequest aRequest)
  -> net::Task<std::optional<net::HttpResponse>>;

} // namespace eelgrasspost::app
