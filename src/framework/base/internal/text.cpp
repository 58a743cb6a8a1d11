#include "eelgrasspost/base/text.h"

#include <algorithm>
#include <cctype>

namespace eelgrasspost::base {

auto Trim(std::string_view aText) -> std::string_view
{
  constexpr std::string_view kBlanks = " \t\r\n";
  const auto first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = aText.find_last_not_of(kBlanks);
  return aText.substr(first, last - first + 1);
}

auto Split(std::string_view aText, char aSeparator) -> std::vector<std::string>
{
  std::vector<std::string> out;
  while (!aText.empty()) {
    const auto n = std::min(aText.find(aSeparator), aText.size());
    const auto part = Trim(aText.substr(0, n));
    if (!part.empty()) {
      out.emplace_back(part);
    }
    aText.remove_prefix(std::min(n + 1, aText.size()));
  }
  return out;
}

auto Join(const std::vector<std::string>& aParts, std::string_view aSeparator)
  -> std::string
{
  return fmt::format("{}", fmt::join(aParts, aSeparator));
}

auto EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight) -> bool
{
  return std::ranges::equal(aLeft, aRight, [](char aOne, char aOther) {
    return std::tolower(static_cast<unsigned char>(aOne)) ==
           std::tolower(static_cast<unsigned char>(aOther));
  });
}

} // namespace eelgrasspost::base
