#include "eelgrasspost/base/settings.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include "eelgrasspost/base/text.h"
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace eelgrasspost::base {

namespace {

using Tree = boost::property_tree::ptree;

auto FindField(std::span<const SettingField> aFields,
               std::string_view aSection,
               std::string_view aKey) -> const SettingField*
{
  auto it = std::ranges::find_if(aFields, [&](const SettingField& aField) {
    return aField.mSection == aSection && aField.mKey == aKey;
  });
  return it == aFields.end() ? nullptr : &*it;
}

auto CheckAddress(std::string_view aText) -> std::optional<std::string>
{
  auto colon = aText.rfind(':');
  if (colon == std::string_view::npos ||
      !ParseNumber<std::uint16_t>(aText.substr(colon + 1))) {
    return "write IP:PORT, such as 127.0.0.1:8080";
  }
  return std::nullopt;
}

auto CheckNumber(const SettingField& aField, std::string_view aText)
  -> std::optional<std::string>
{
  const auto n = ParseNumber(aText);
  if (!n || *n < aField.mMin || *n > aField.mMax) {
    return Cat("write a whole number from ",
               aField.mMin,
               " to ",
               aField.mMax,
               aField.mKind == SettingKind::Milliseconds ? " (milliseconds)"
                                                         : "");
  }
  return std::nullopt;
}

auto CheckDecimal(const SettingField& aField, std::string_view aText)
  -> std::optional<std::string>
{
  const auto n = ParseNumber<double>(aText);
  if (!n || *n < static_cast<double>(aField.mMin) ||
      *n > static_cast<double>(aField.mMax)) {
    return Cat("write a decimal number from ",
               aField.mMin,
               " to ",
               aField.mMax,
               ", such as 0.5");
  }
  return std::nullopt;
}

auto CheckAddressList(std::string_view aText) -> std::optional<std::string>
{
  for (const auto& it : Split(aText, ',')) {
    if (auto remedy = CheckAddress(it)) {
      return Cat(*remedy, "; separate several by commas");
    }
  }
  return std::nullopt;
}

/** Returns the remedy if a value is invalid for its field. */
auto CheckValue(const SettingField& aField, std::string_view aText)
  -> std::optional<std::string>
{
  switch (aField.mKind) {
    case SettingKind::Text:
      return std::nullopt;
    case SettingKind::Integer:
    case SettingKind::Milliseconds:
      return CheckNumber(aField, aText);
    case SettingKind::Decimal:
      return CheckDecimal(aField, aText);
    case SettingKind::Address:
      return CheckAddress(aText);
    case SettingKind::AddressList:
      return CheckAddressList(aText);
  }
  return std::nullopt;
}

auto CheckUnknownKeys(const Tree& aTree,
                      std::string_view aFileName,
                      std::span<const SettingField> aFields,
                      std::vector<std::string>& aErrors) -> void
{
  for (const auto& [section, keys] : aTree) {
    if (keys.empty()) {
      aErrors.push_back(
        Cat(aFileName, ": ", section, ": put this key below a [section] line"));
    }
    for (const auto& [key, value] : keys) {
      if (FindField(aFields, section, key) == nullptr) {
        aErrors.push_back(Cat(aFileName,
                              ": [",
                              section,
                              "] ",
                              key,
                              " = ",
                              value.data(),
                              ": unknown setting; remove it or see "
                              "docs/settings.md for its name"));
      }
    }
  }
}

} // namespace

auto SettingValues::Text(std::string_view aSection, std::string_view aKey) const
  -> std::string
{
  for (const auto& it : mValues) {
    if (it.mSection == aSection && it.mKey == aKey) {
      return it.mText;
    }
  }
  return {};
}

auto SettingValues::Integer(std::string_view aSection,
                            std::string_view aKey) const -> std::int64_t
{
  return ParseNumber(Text(aSection, aKey)).value_or(0);
}

auto SettingValues::Decimal(std::string_view aSection,
                            std::string_view aKey) const -> double
{
  return ParseNumber<double>(Text(aSection, aKey)).value_or(0);
}

auto SettingValues::List(std::string_view aSection, std::string_view aKey) const
  -> std::vector<std::string>
{
  return Split(Text(aSection, aKey), ',');
}

auto ReadSettings(std::string_view aText,
                  std::string_view aFileName,
                  std::span<const SettingField> aFields)
  -> absl::StatusOr<SettingValues>
{
  Tree tree;
  try {
    auto in = std::istringstream(std::string(aText));
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& e) {
    return absl::InvalidArgumentError(
      Cat(aFileName,
          ": line ",
          e.line(),
          ": ",
          e.message(),
          "; write `key = value` lines below [section] lines"));
  }
  std::vector<std::string> errors;
  CheckUnknownKeys(tree, aFileName, aFields, errors);
  SettingValues values;
  for (const auto& field : aFields) {
    auto path = Tree::path_type(Cat(field.mSection, "/", field.mKey), '/');
    auto given = tree.get_optional<std::string>(path);
    auto where = Cat(aFileName, ": [", field.mSection, "] ", field.mKey);
    if (!given && field.mDefault == kRequired) {
      errors.push_back(Cat(where, ": missing; add it: ", field.mHelp));
      continue;
    }
    auto text = given ? *given : std::string(field.mDefault);
    if (auto remedy = CheckValue(field, text)) {
      errors.push_back(Cat(where, " = ", text, ": ", *remedy));
    }
    values.mValues.push_back(
      { std::string(field.mSection), std::string(field.mKey), text });
  }
  if (!errors.empty()) {
    return absl::InvalidArgumentError(Join(errors, "\n"));
  }
  return values;
}

auto LoadSettings(const std::string& aPath,
                  std::span<const SettingField> aFields)
  -> absl::StatusOr<SettingValues>
{
  auto in = std::ifstream(aPath);
  if (!in) {
    return absl::NotFoundError(
      Cat(aPath, ": cannot be read; give the path of an existing INI file"));
  }
  std::stringstream text;
  text << in.rdbuf();
  return ReadSettings(text.str(), aPath, aFields);
}

} // namespace eelgrasspost::base
