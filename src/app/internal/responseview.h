#pragma once

#include <optional>
#include <string>

#include <absl/status/statusor.h>

namespace eelgrasspost::app {

/** How an entry's answer is shown to a person. */
enum class AnswerView
{
  Plan,
  Submitted,
  History,
  Revision,
  Audit,
  Jobs,
};

/** Turns an entry's JSON answer into lines for a person. */
auto RenderAnswer(AnswerView aView, const std::string& aBody) -> std::string;

/** Reads "90s", "15m", "2h", "7d" before a time, or milliseconds since the
 * Unix epoch; gives milliseconds since the Unix epoch. */
auto ParseSince(const std::string& aText, std::int64_t aNowMs)
  -> absl::StatusOr<std::int64_t>;

} // namespace eelgrasspost::app
