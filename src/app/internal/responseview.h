#pragma once

#include <optional>
#include <string>

#include <absl/status/statusor.h>

namespace eelgrasspost::app {

/** Kind of an entry's response, which decides how it is rendered. */
enum class ResponseView
{
  Plan,
  Submitted,
  History,
  Revision,
  Audit,
  Jobs,
};

/** Renders an entry's JSON response as human-readable text. */
auto RenderResponse(ResponseView aView, const std::string& aBody)
  -> std::string;

/** Parses a duration before aNowMs ("90s", "15m", "2h", "7d") or milliseconds
 * since the Unix epoch; returns milliseconds since the Unix epoch. */
auto ParseSince(const std::string& aText, std::int64_t aNowMs)
  -> absl::StatusOr<std::int64_t>;

} // namespace eelgrasspost::app
