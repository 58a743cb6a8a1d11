#include "eelgrasspost/base/jsonfields.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "eelgrasspost/base/text.h"

namespace eelgrasspost::base {

auto ParseObject(std::string_view aText) -> absl::StatusOr<json::object>
{
  boost::system::error_code ec;
  auto value = json::parse({ aText.data(), aText.size() }, ec);
  if (ec) {
    return absl::InvalidArgumentError(
      Cat("the text is not JSON (", ec.message(), "); check its syntax"));
  }
  if (!value.is_object()) {
    return absl::InvalidArgumentError(
      "the text is JSON but not an object; write { ... }");
  }
  return std::move(value).as_object();
}

auto TextField(const json::object& aObject,
               std::string_view aKey,
               std::string_view aFallback) -> std::string
{
  const auto* it = aObject.if_contains({ aKey.data(), aKey.size() });
  if (it == nullptr || !it->is_string()) {
    return std::string(aFallback);
  }
  const auto& text = it->get_string();
  return { text.data(), text.size() };
}

auto NumberField(const json::object& aObject,
                 std::string_view aKey,
                 std::int64_t aFallback) -> std::int64_t
{
  const auto* it = aObject.if_contains({ aKey.data(), aKey.size() });
  if (it == nullptr) {
    return aFallback;
  }
  boost::system::error_code ec;
  const auto n = it->to_number<std::int64_t>(ec);
  return ec ? aFallback : n;
}

auto BoolField(const json::object& aObject,
               std::string_view aKey,
               bool aFallback) -> bool
{
  const auto* it = aObject.if_contains({ aKey.data(), aKey.size() });
  return it != nullptr && it->is_bool() ? it->get_bool() : aFallback;
}

auto ArrayField(const json::object& aObject, std::string_view aKey)
  -> const json::array*
{
  const auto* it = aObject.if_contains({ aKey.data(), aKey.size() });
  return it == nullptr ? nullptr : it->if_array();
}

auto ObjectField(const json::object& aObject, std::string_view aKey)
  -> const json::object*
{
  const auto* it = aObject.if_contains({ aKey.data(), aKey.size() });
  return it == nullptr ? nullptr : it->if_object();
}

auto ToText(const json::value& aValue) -> std::string
{
  return json::serialize(aValue);
}

} // namespace eelgrasspost::base
