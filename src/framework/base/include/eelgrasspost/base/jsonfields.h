#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace eelgrasspost::base {

namespace json = boost::json;

/** Parses a JSON object; any other text is an error. */
auto ParseObject(std::string_view aText) -> absl::StatusOr<json::object>;

/** Returns the fallback if the field is absent or of another type. */
auto TextField(const json::object& aObject,
               std::string_view aKey,
               std::string_view aFallback = {}) -> std::string;
auto NumberField(const json::object& aObject,
                 std::string_view aKey,
                 std::int64_t aFallback = 0) -> std::int64_t;
auto BoolField(const json::object& aObject,
               std::string_view aKey,
               bool aFallback = false) -> bool;
/** Returns null if the field is absent or of another type. */
auto ArrayField(const json::object& aObject, std::string_view aKey)
  -> const json::array*;
auto ObjectField(const json::object& aObject, std::string_view aKey)
  -> const json::object*;

/** Serializes a value as JSON text. */
auto ToText(const json::value& aValue) -> std::string;

} // namespace eelgrasspost::base
