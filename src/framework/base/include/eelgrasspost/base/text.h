#pragma once

#include <charconv>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <fmt/format.h>

namespace eelgrasspost::base {

/** Appends formatted values to a string. */
template<typename... Values>
auto Append(std::string& aOut, const Values&... aValues) -> void
{
  (fmt::format_to(std::back_inserter(aOut), "{}", aValues), ...);
}

/** Concatenates formatted values. */
template<typename... Values>
auto Cat(const Values&... aValues) -> std::string
{
  std::string out;
  Append(out, aValues...);
  return out;
}

/** Parses an integer; nullopt unless it takes up the whole text. */
template<typename T = std::int64_t>
auto ParseNumber(std::string_view aText) -> std::optional<T>
{
  T n{};
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, n);
  if (result.ec != std::errc() || result.ptr != end || aText.empty()) {
    return std::nullopt;
  }
  return n;
}

/** Removes whitespace at both ends. */
auto Trim(std::string_view aText) -> std::string_view;

/** Splits at a separator, trims the parts and omits empty ones. */
auto Split(std::string_view aText, char aSeparator) -> std::vector<std::string>;

/** Joins parts with a separator between them. */
auto Join(const std::vector<std::string>& aParts, std::string_view aSeparator)
  -> std::string;

auto EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight) -> bool;

/** Returns the message of a status as a std::string_view. */
inline auto MessageOf(const absl::Status& aStatus) -> std::string_view
{
  return { aStatus.message().data(), aStatus.message().size() };
}

} // namespace eelgrasspost::base
