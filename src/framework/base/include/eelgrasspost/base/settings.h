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
  Decimal,
  Milliseconds,
  Address,
  AddressList,
};

/**
 * One setting of the INI file. A setting whose default is kRequired must be
 * given; numbers have a range. A test checks docs/settings.md against these.
 */
struct SettingField
{
  std::string_view mSection;
  std::string_view mKey;
  SettingKind mKind;
  /** Default as written in the file, or kRequired. */
  std::string_view mDefault;
  std::int64_t mMin;
  std::int64_t mMax;
  std::string_view mHelp;
};

inline constexpr std::string_view kRequired = "(required)";

/** The validated values of a settings file, with defaults for absent ones. */
class SettingValues
{
public:
  auto Text(std::string_view aSection, std::string_view aKey) const
    -> std::string;
  auto Integer(std::string_view aSection, std::string_view aKey) const
    -> std::int64_t;
  auto Decimal(std::string_view aSection, std::string_view aKey) const
    -> double;
  /** Splits a comma-separated list; an empty text is an empty list. */
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
 * Parses an INI text and validates it against the fields. All errors are
 * reported at once, one per line, with file, section, key, value and remedy.
 */
auto ReadSettings(std::string_view aText,
                  std::string_view aFileName,
                  std::span<const SettingField> aFields)
  -> absl::StatusOr<SettingValues>;

/** Reads and validates a settings file. */
auto LoadSettings(const std::string& aPath,
                  std::span<const SettingField> aFields)
  -> absl::StatusOr<SettingValues>;

} // namespace eelgrasspost::base
