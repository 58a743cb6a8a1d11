#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace eelgrasspost::base {

enum class SettingKind
{
  Text,
  Integer,
  Milliseconds,
  Address,
  AddressList,
};

/**
 * One setting of the INI file. A text setting without a default must be
 * given; numbers have a range. docs/settings.md is checked against these.
 */
struct SettingField
{
  std::string_view mSection;
  std::string_view mKey;
  SettingKind mKind;
  /** Written as in the file; kRequired when the file must give it. */
  std::string_view mDefault;
  std::int64_t mLowest;
  std::int64_t mHighest;
  std::string_view mHelp;
};

inline constexpr std::string_view kRequired = "(required)";

/** The checked values of a settings file, defaults filled in. */
class SettingValues
{
public:
  auto Text(std::string_view aSection, std::string_view aKey) const
    -> std::string;
  auto Integer(std::string_view aSection, std::string_view aKey) const
    -> std::int64_t;
  /** Splits a comma-separated list; empty text is an empty list. */
  auto List(std::string_view aSection, std::string_view aKey) const
    -> std::vector<std::string>;

private:
  friend auto ReadSettings(std::string_view aText,
                           std::string_view aFileName,
                           std::span<const SettingField> aFields)
    -> absl::StatusOr<SettingValues>;
  struct Value
  {
    std::string mSection;
    std::string mKey;
    std::string mText;
  };
  std::vector<Value> mValues;
};

/**
 * Parses an INI text and checks it against the fields. All mistakes are
 * reported at once, a line each, with file, section, key, value and remedy.
 */
auto ReadSettings(std::string_view aText,
                  std::string_view aFileName,
                  std::span<const SettingField> aFields)
  -> absl::StatusOr<SettingValues>;

/** Reads and checks a settings file. */
auto LoadSettings(const std::string& aPath,
                  std::span<const SettingField> aFields)
  -> absl::StatusOr<SettingValues>;

} // namespace eelgrasspost::base
