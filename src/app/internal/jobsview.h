#pragma once

#include <string>
#include <string_view>

namespace eelgrasspost::app {

/** Writes an entry's answer about jobs for a person to read. */
auto ReadableJobs(std::string_view aAnswer) -> std::string;

} // namespace eelgrasspost::app
