#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace eelgrasspost::base {

/** One row of a table that names the values of an enumeration. */
template<typename E>
struct EnumName
{
  E mValue;
  std::string_view mName;
};

/** Returns the name of a value, or "unknown" if the table lacks it. */
template<typename E, std::size_t N>
constexpr auto NameOf(const std::array<EnumName<E>, N>& aTable, E aValue)
  -> std::string_view
{
  for (const auto& it : aTable) {
    if (it.mValue == aValue) {
      return it.mName;
    }
  }
  return "unknown";
}

/** Returns the value that has a name, or nullopt if the table lacks it. */
template<typename E, std::size_t N>
constexpr auto ValueOf(const std::array<EnumName<E>, N>& aTable,
                       std::string_view aName) -> std::optional<E>
{
  for (const auto& it : aTable) {
    if (it.mName == aName) {
      return it.mValue;
    }
  }
  return std::nullopt;
}

} // namespace eelgrasspost::base
