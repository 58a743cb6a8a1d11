#pragma once

#include <optional>
#include <string>
#include <vector>

#include "eelgrasspost/base/jsonfields.h"

namespace eelgrasspost::releasenote {

namespace json = base::json;

/** Errors found in a note, each with the path of the field and a remedy. */
using ValidationErrors = std::vector<std::string>;

struct NumberRange
{
  std::int64_t mMin;
  std::int64_t mMax;
  std::string_view mUnit;
};

/**
 * Reads the fields of one JSON object and collects all errors: a field that has
 * the wrong type, is out of range, missing or unknown.
 */
class FieldReader
{
public:
  FieldReader(const json::object& aObject,
              std::string aPath,
              ValidationErrors& aErrors);

  /** Reads a name of letters, digits, '-', '_' and '.'. */
  auto Name(std::string_view aKey) -> std::string;
  /** Reads a required string. */
  auto Text(std::string_view aKey) -> std::string;
  /** Reads a number; the field is required if there is no fallback. */
  auto Number(std::string_view aKey,
              const NumberRange& aRange,
              std::optional<std::int64_t> aFallback) -> std::int64_t;
  auto Bool(std::string_view aKey, bool aFallback) -> bool;
  /** Returns null if the field is missing or has the wrong type. */
  auto Array(std::string_view aKey) -> const json::array*;
  auto Object(std::string_view aKey) -> const json::object*;
  auto Has(std::string_view aKey) const -> bool;
  /** Adds an error for each field that was not read. */
  auto ReportUnknownFields() -> void;
  auto AddError(std::string_view aKey, std::string_view aText) -> void;
  auto PathOf(std::string_view aKey) const -> std::string;

private:
  auto Find(std::string_view aKey) -> const json::value*;

  const json::object& mObject;
  std::string mPath;
  ValidationErrors& mErrors;
  std::vector<std::string_view> mKnownKeys;
};

} // namespace eelgrasspost::releasenote
