#pragma once

#include <optional>
#include <string>
#include <vector>

#include "eelgrasspost/base/jsonfields.h"

namespace eelgrasspost::releasenote {

namespace json = base::json;

/** Mistakes of a note, each with place, field and remedy. */
using Mistakes = std::vector<std::string>;

struct NumberRange
{
  std::int64_t mLowest;
  std::int64_t mHighest;
  std::string_view mUnit;
};

/**
 * Reads the fields of one JSON object and notes every mistake: a field of the
 * wrong type, out of its range, absent, or unknown.
 */
class FieldReader
{
public:
  FieldReader(const json::object& aObject,
              std::string aPlace,
              Mistakes& aMistakes);

  /** A name of letters, digits, '-', '_' and '.'. */
  auto Name(std::string_view aKey) -> std::string;
  /** A text that must be there. */
  auto Text(std::string_view aKey) -> std::string;
  /** Without a fallback the field must be there. */
  auto Number(std::string_view aKey,
              const NumberRange& aRange,
              std::optional<std::int64_t> aFallback) -> std::int64_t;
  auto Bool(std::string_view aKey, bool aFallback) -> bool;
  /** Null when the field is absent or wrong. */
  auto Array(std::string_view aKey) -> const json::array*;
  auto Object(std::string_view aKey) -> const json::object*;
  auto Has(std::string_view aKey) const -> bool;
  /** Notes the fields that nobody asked for. */
  auto Finish() -> void;
  auto Mistake(std::string_view aKey, std::string_view aText) -> void;
  auto PlaceOf(std::string_view aKey) const -> std::string;

private:
  auto Find(std::string_view aKey) -> const json::value*;

  const json::object& mObject;
  std::string mPlace;
  Mistakes& mMistakes;
  std::vector<std::string_view> mKnown;
};

} // namespace eelgrasspost::releasenote
