#pragma once

#include <string>
#include <string_view>

namespace eelgrasspost::app {

/** Renders an entry's JSON response about jobs as human-readable text. */
auto RenderJobs(std::string_view aBody) -> std::string;

} // namespace eelgrasspost::app
